package wire

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"oatfold/internal/choice"
	"oatfold/internal/clock"
	"oatfold/internal/handover"
	"oatfold/internal/handover/sequence"
	"oatfold/internal/index"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/metrics"
	"oatfold/internal/peers"
	"oatfold/internal/peers/members"
	"oatfold/internal/plugin"
	"oatfold/internal/plugin/limits"
	"oatfold/internal/sites"
	"oatfold/policy"
)

const (
	eventQueueSize      = 1024
	idleTimeoutFraction = 0.8 // of the time after which an idle connection is closed by the other side
	maintenanceInterval = time.Second

	// The known list may be old: what discovery's agent has by now counts as told to us, so that the first
	// step waits a moment for its answer. Guards against sends to endpoints that left while we were down.
	endpointListTimeout = 300 * time.Millisecond

	// deadlineMargin is by how much the module's time for a message ends before the message's: what its clients see as its end comes
	// earlier than what is counted from the first byte that was read.
	deadlineMargin = 10 * time.Millisecond

	unknownRiskAge = 24 * time.Hour // longer than any partner drops repeats
)

// Host carries the decision module: one goroutine owns the module, the message table and the journal;
// connections send it events. It never waits for a socket.
type Host struct {
	settings              policy.Settings
	relay                 *policy.Relay
	table                 *memory.Table
	journal               *journal.Journal
	log                   *slog.Logger
	gossiper              *peers.Gossiper // what this relay tells others and hears of them
	gossipSocket          *GossipSocket   // nil: it tells none
	reportedRelays        int             // relays that may be calling, as the module was told last; 0: nothing
	identity              FleetIdentity   // what it is among the relays
	membersView           atomic.Pointer[members.View]
	membersViewAt         policy.Time // when that was made
	choicesView           atomic.Pointer[Choices]
	choicesViewAt         policy.Time  // when that was made
	siteWatch             *sites.Watch // nil: no plan for sites
	sitesStatus           atomic.Pointer[Sites]
	nextSitesCheck        policy.Time   // when they are looked at again
	sitesMembersView      *members.View // that the watch was last told of
	homeZone              string
	zoneNames             []string // names, by number
	siteCommands          chan SiteCommand
	dialTimeout           time.Duration
	dateScale             clock.Scale // of what is left to other processes
	startedAt             time.Time
	seed                  int64 // of this relay's own draws
	listGeneration        int64 // of the pool config; -1: none
	events                chan any
	notifications         chan pendingNotification
	unqueuedNotifications []pendingNotification // notices that did not fit the channel yet
	agentAddr             atomic.Pointer[string]
	watchCtx              context.Context // of the watch in force
	cancelWatch           context.CancelFunc

	uncommittedReplies        []pendingReply // hand-ins of this turn, answered once it is in the journal
	uncommittedCalls          []*call        // calls of this turn, made once it is in the journal
	pendingEvents             []policy.Event
	arrivals                  []*memory.Message
	lateListeners             atomic.Int32             // connections that are listened to behind the end of their calls
	shutdownStage             atomic.Int32             // a leaveStage, which connections look at as they write
	orderedQueues             map[string][]*queueEntry // by subject, in the order in which they were taken on
	endpoints                 map[string]*endpoint
	destBackoffs              map[int]*backoff
	removedRouteBackoffs      map[string]*backoff // of routes apart that have left the list and still bind
	targets                   peers.ReportKeys
	calls                     map[*call]struct{}
	kindSettings              map[string]policy.Kind
	classes                   map[string]policy.Class // by name, as the settings have them now
	plugins                   *plugin.Holder
	destKinds                 map[int]string // of destinations
	lastStepAt                policy.Time
	wakeAt                    policy.Time // 0: none asked for
	maintenanceAt             policy.Time
	awaitListUntil            policy.Time               // the first step waits until then for the pool config
	stepsBlockedUntil         policy.Time               // and the first of a module that starts anew for the end of told waits
	standby                   bool                      // another process of this relay makes the steps
	sendToSuccessor           func([]byte) error        // another process takes this one's place: what is not out goes there
	untransferred             []*memory.Message         // that are still to be given
	untransferredWaits        []handover.RetryAfter     // that the other process has yet to hear of, or this one's module
	reportedInFlight          int                       // calls out as it was told last
	inheritedCalls            []policy.InheritedCall    // calls that the process before still has out
	inheritedState            policy.LearnedState       // of the process before, until the steps begin
	inheritedDrain            bool                      // that one was drained
	ownedElsewhere            map[string]struct{}       // ids that it took on and keeps
	sequencer                 sequence.Sequencer        // what waits for messages that other processes still owe
	reportedOwed              []sequence.Message        // what this one still owes, as it was told last
	callsAwaitingNotification []*call                   // that wait for the answer to a notice
	unansweredNotifications   unansweredNotifications   // whose answers they wait for
	uncommittedTransfers      []chan<- struct{}         // closed once what was taken over is in the journal
	stepsStopped              bool                      // no further steps: the rest stays in the journal
	listReceived              bool                      // discovery has told its whole list in this life
	loadReports               bool                      // answers may hold load reports
	maxIdleConns              int                       // connections to endpoints that may stand idle
	idleConns                 index.List[*endpointConn] // these, the one that was used longest ago first
	expiries                  index.Heap[itemExpiry]    // messages whose own time is up before their call's
	metrics                   *metrics.Set
	rejectedCount             int // hand-ins turned away since the last log line
}

// HostConfig is what a host is made from.
type HostConfig struct {
	Settings       policy.Settings
	Seed           int64
	ConnectTimeout time.Duration
	MaxIdleConns   int  // connections to endpoints that may stand idle
	LoadReports    bool // answers may hold load reports
	KnownEndpoints memory.EndpointList
	JournalBytes   int64 // that the journal may take; read by Reload
	Table          *memory.Table
	Journal        *journal.Journal
	Plugins        *plugin.Holder // nil: none
	GossipSocket   *GossipSocket  // nil: this relay tells others nothing
	Identity       FleetIdentity  // what it is among them
	ZoneNames      []string       // names of zones, by number
	HomeZone       string         // this relay's own; empty: not known
	Sites          *sites.Plan    // nil: none
	Metrics        *metrics.Set   // nil: nobody reads them
	Standby        bool           // no steps until Activate
	DateScale      clock.Scale    // of what is left to other processes
	Log            *slog.Logger
}

// FleetIdentity is what a relay is among the relays of its fleet.
type FleetIdentity struct {
	Number            int  // its number
	MembershipEnabled bool // it asks who lives
	Choices           choice.Options
	Zone              int // members.NoZone: not known
}

// NewHost returns a host that holds again what the table holds.
func NewHost(c HostConfig) (*Host, error) {
	start := time.Now()
	c.Settings.ClockOffset = time.Duration(start.UnixNano())
	relay, err := policy.New(c.Settings, c.Seed)
	if err != nil {
		return nil, err
	}
	h := &Host{settings: c.Settings, relay: relay, table: c.Table, journal: c.Journal, log: c.Log, plugins: c.Plugins, seed: c.Seed,
		loadReports: c.LoadReports, dialTimeout: c.ConnectTimeout, dateScale: c.DateScale, maxIdleConns: c.MaxIdleConns, startedAt: start, events: make(chan any, eventQueueSize),
		notifications: make(chan pendingNotification, eventQueueSize), endpoints: map[string]*endpoint{}, destBackoffs: map[int]*backoff{}, removedRouteBackoffs: map[string]*backoff{},
		calls: map[*call]struct{}{}, orderedQueues: map[string][]*queueEntry{}, unansweredNotifications: unansweredNotifications{}, kindSettings: map[string]policy.Kind{}, destKinds: map[int]string{}, metrics: c.Metrics}
	h.zoneNames, h.siteCommands = c.ZoneNames, make(chan SiteCommand, siteCommandQueueSize)
	h.indexSettings(c.Settings)
	h.gossiper = peers.New(0, 0, c.Seed)
	if h.gossipSocket = c.GossipSocket; h.gossipSocket != nil {
		h.joinFleet(c.Identity)
	}
	h.lastStepAt = -c.Settings.Tick
	h.applyEndpointList(c.KnownEndpoints, policy.ListRestored)
	if c.Sites != nil {
		h.applySitePlan(c.Sites, c.HomeZone)
	}
	h.awaitListUntil = endpointListTimeout
	h.standby, h.stepsStopped = c.Standby, c.Standby
	h.restore(false)
	return h, nil
}

// indexSettings keeps what is looked up by name.
func (h *Host) indexSettings(s policy.Settings) {
	h.classes, h.kindSettings = map[string]policy.Class{}, map[string]policy.Kind{}
	for _, c := range s.Classes {
		h.classes[c.Name] = c
	}
	for _, k := range s.Kinds {
		h.kindSettings[k.Name] = k
	}
	h.metrics.AddClasses(slices.Collect(maps.Keys(h.classes)))
}

// Events is where connections report.
func (h *Host) Events() chan<- any { return h.events }

// StartPlatformClient starts what talks to the platform: the watch of the pool config and the notices. It comes before Run.
func (h *Host) StartPlatformClient(discovery string) {
	h.useDiscovery(discovery)
	go runNotifier(&h.agentAddr, h.notifications, h.events, h.log)
	if h.gossipSocket != nil {
		go h.gossipSocket.receiveLoop(h.events)
		go h.gossipSocket.sendLoop()
	}
}

// useDiscovery moves the watch and the notices to that address, unless they are there.
func (h *Host) useDiscovery(discovery string) {
	if at := h.agentAddr.Load(); at != nil && *at == discovery {
		return
	}
	if h.cancelWatch != nil {
		h.cancelWatch()
	}
	h.agentAddr.Store(&discovery)
	h.watchCtx, h.cancelWatch = context.WithCancel(context.Background())
	go watchEndpointList(h.watchCtx, listWatcher{addr: discovery, generation: h.listGeneration, fleetSize: h.settings.Relays, polled: h.settings.MustSubscribe, seed: h.seed}, h.events, h.log)
}

// Reload puts a new configuration in force, which was checked: settings and limits at once, and discovery's new
// address. What is held, out or known stays; the pool config stays until the new address has told its own.
func (h *Host) Reload(c HostConfig, discovery string) (err error) {
	h.Do(func(h *Host) {
		c.Settings.ClockOffset = h.settings.ClockOffset
		if err = h.relay.Reconfigure(c.Settings); err != nil {
			return
		}
		h.settings, h.loadReports, h.dialTimeout, h.maxIdleConns, h.reportedRelays = c.Settings, c.LoadReports, c.ConnectTimeout, c.MaxIdleConns, 0
		h.indexSettings(c.Settings)
		h.journal.SetBudget(c.JournalBytes)
		h.useDiscovery(discovery)
		h.pendingEvents = append(h.pendingEvents, policy.TimerFired{})
	})
	return err
}

func (h *Host) now() policy.Time { return time.Since(h.startedAt) }

// restore hands what an earlier life left to the module, in the order in which it was taken on; notices are
// owed from the first time on.
func (h *Host) restore(again bool) {
	var all []*memory.Message
	for _, m := range h.table.All() {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *memory.Message) int { return int(int64(a.Number) - int64(b.Number)) })
	open, wall := 0, time.Now()
	for _, m := range all {
		if m.Notification != nil && again || m.InFlight != nil || m.Unanswered {
			continue // its notice is on the way; its call's end, or its client's answer, will bring it
		}
		if h.resume(m, wall) {
			open++
		}
	}
	if len(all) > 0 {
		h.log.Info("restored", "messages", open, "notices", len(all)-open)
	}
}

// resume goes on with a message of an earlier life, and tells whether it has yet to end.
func (h *Host) resume(m *memory.Message, wall time.Time) bool {
	if m.Notification != nil {
		h.queueNotification(m)
		return false
	}
	if m.MemoryOnly && m.Body == nil {
		// Its body was lost with the process: it can't be sent any more.
		h.completeByNotification(m.Number, h.failureNotification(limits.Refuse, m))
		return false
	}
	class, known := h.classes[m.Class]
	if !known {
		// Guards against holding for ever what the module would not know: the settings have lost its class.
		h.log.Warn("class is not in the settings any more, its message is ended", "class", m.Class, "message", m.ID)
		h.completeByNotification(m.Number, h.failureNotification(limits.Refuse, m))
		return false
	}
	m.Recovered = true
	// Guards against a clock that was set back between two lives: no message has longer than its class.
	if m.Deadline.Sub(wall) > class.Deadline {
		m.Deadline = wall.Add(class.Deadline)
	}
	h.passToPolicy(m, true)
	return true
}

// command is run by the host's goroutine.
type command func(h *Host)

// Run handles events until stop is closed.
func (h *Host) Run(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case e := <-h.events:
			h.handleEvent(e)
		case <-timer.C:
		}
		// All that has come in goes into this step, in the order of arrival: a told wait or a drain is known
		// before any later send.
		for more := true; more; {
			select {
			case e := <-h.events:
				h.handleEvent(e)
			default:
				more = false
			}
		}
		// Guards against clients that wait for the module: what came in is written and answered before its step.
		h.startUnblockedCalls(h.now())
		h.commit()
		if h.standby {
			h.pendingEvents = nil // Activate tells the module all
		}
		h.releaseHeld(h.sequencer.Ready())
		if h.sendToSuccessor != nil {
			h.untransferred, h.arrivals = append(h.untransferred, h.arrivals...), nil
		}
		now := h.now()
		h.expireItems(now)
		h.expireHeld(now)
		if h.wakeAt > 0 && now >= h.wakeAt {
			h.wakeAt, h.pendingEvents = 0, append(h.pendingEvents, policy.TimerFired{})
		}
		h.exchangeGossip(now)
		h.updateSites(now)
		if h.stepDue() && now >= h.stepAt() {
			h.step(now)
		}
		if now >= h.maintenanceAt {
			h.maintain(now)
		}
		h.commit()
		h.metrics.SetInProgress(h.table.PendingCount())
		h.flushNotifications()
		timer.Reset(max(0, h.nextWakeup()-h.now()))
	}
}

func (h *Host) stepDue() bool { return !h.stepsStopped && len(h.pendingEvents)+len(h.arrivals) > 0 }

// stepAt is when the next step may come.
func (h *Host) stepAt() policy.Time {
	return max(h.lastStepAt+h.settings.Tick, h.awaitListUntil, h.stepsBlockedUntil)
}

// nextWakeup is when the loop has to look again without an event.
func (h *Host) nextWakeup() policy.Time {
	at := h.maintenanceAt
	if h.stepDue() {
		at = min(at, h.stepAt())
	}
	if h.wakeAt > 0 && !h.stepsStopped {
		at = min(at, max(h.wakeAt, h.stepAt()))
	}
	if e := h.expiries.First(); e != nil {
		at = min(at, e.At())
	}
	if h.gossiper.Active() && !h.stepsStopped {
		at = min(at, h.gossiper.NextTick())
	}
	if len(h.unqueuedNotifications) > 0 {
		at = min(at, h.now()+h.settings.Tick)
	}
	if h.siteWatch != nil {
		at = min(at, h.nextSitesCheck)
	}
	return h.earliestWaitingCallDeadline(h.earliestHeldDeadline(at))
}

func (h *Host) handleEvent(e any) {
	switch e := e.(type) {
	case submitRequest:
		m, v := h.submit(e)
		h.uncommittedReplies = append(h.uncommittedReplies, pendingReply{e.reply, v, m})
	case submitAnswered:
		if m := h.table.Get(e.num); m != nil {
			h.clientAnsweredInOrder(m, e.delivered)
		}
	case callResult:
		h.handleCallResult(e)
	case lateRetryAfter:
		h.handleLateRetryAfter(e)
	case endpointListUpdate:
		if e.watchCtx != h.watchCtx {
			return // Guards against late news of an address that a reload has replaced
		}
		kind := policy.ListChanges
		if e.Complete {
			kind = policy.ListSnapshot
		}
		h.listReceived, h.awaitListUntil = true, 0
		h.applyEndpointList(e.EndpointList, kind)
	case gossipReceived:
		out, err := h.gossiper.Receive(h.now(), e.from, e.payload)
		if err != nil {
			h.log.Debug("note not taken", "from", e.from, "err", err)
		}
		h.sendGossip(out)
	case notificationsAccepted:
		for _, num := range e.nums {
			if m := h.table.Get(num); m != nil {
				h.complete(m)
			}
		}
	case command:
		e(h)
	}
}

// --- upkeep, start and stop ---

// maintain closes connections well before the other side would.
func (h *Host) maintain(now policy.Time) {
	h.maintenanceAt = now + maintenanceInterval
	if h.settings.IdleConnTimeout > 0 {
		limit := time.Duration(float64(h.settings.IdleConnTimeout) * idleTimeoutFraction)
		for h.idleConns.Len() > 0 && time.Since(h.idleConns.First().Value.lastUsed) > limit {
			h.closeOldestIdleConn()
		}
	}
	h.journal.Maintain()
	if h.rejectedCount > 0 {
		h.log.Warn("hand-ins turned away", "count", h.rejectedCount, "held", h.table.PendingCount())
		h.rejectedCount = 0
	}
}

// Do runs f on the host's goroutine and waits for it.
func (h *Host) Do(f func(*Host)) {
	done := make(chan struct{})
	h.events <- command(func(h *Host) { f(h); close(done) })
	<-done
}

// PrepareStop tells the module that the process ends soon: what may not be repeated waits for the next start.
func (h *Host) PrepareStop() {
	h.shutdownStage.Store(shutdownNoUnsafeCalls)
	h.Do(func(h *Host) { h.pendingEvents = append(h.pendingEvents, policy.Stopping{}) })
}

// StopSteps ends the steps: calls out are still finished, the rest stays in the journal.
func (h *Host) StopSteps() {
	h.shutdownStage.Store(shutdownNoCalls)
	h.Do(func(h *Host) { h.stepsStopped = true })
}

// Load counts the messages held and the calls out.
func (h *Host) Load() (held, out int) {
	h.Do(func(h *Host) { held, out = len(h.table.All()), len(h.calls) })
	return held, out
}
