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
	eventQueueSize      = 1024 // events that may wait for the host, and notifications for the notifier
	idleTimeoutFraction = 0.8  // of the peer's idle timeout, so that this side closes first
	maintenanceInterval = time.Second

	// endpointListTimeout bounds the wait of the first step for discovery's current endpoint list.
	// Endpoints may have left the stored list while this process was down.
	endpointListTimeout = 300 * time.Millisecond

	// deadlineMargin is taken off a message's deadline for the policy engine. Clients count from
	// when they send a request, which is earlier than when its first byte is read here.
	deadlineMargin = 10 * time.Millisecond

	unknownAttemptAge = 24 * time.Hour // longer than any partner deduplicates
)

// Host runs the policy engine. One goroutine owns the engine, the message table and the journal;
// connections send it events. It never blocks on a socket.
type Host struct {
	settings     policy.Settings
	relay        *policy.Relay
	table        *memory.Table
	journal      *journal.Journal
	log          *slog.Logger
	gossiper     *peers.Gossiper // state shared with the other relays
	gossipSocket *GossipSocket   // nil: disabled
	// number of calling relays, as last reported to the policy engine; 0: not reported
	reportedRelays       int
	identity             FleetIdentity
	membersView          atomic.Pointer[members.View]
	membersViewAt        policy.Time // when membersView was published
	choicesView          atomic.Pointer[Choices]
	choicesViewAt        policy.Time  // when choicesView was published
	siteWatch            *sites.Watch // nil: no site plan
	sitesStatus          atomic.Pointer[Sites]
	nextSitesCheck       policy.Time
	sitesMembersView     *members.View // last view passed to siteWatch
	homeZone             string
	zoneNames            []string         // indexed by zone number
	siteCommands         chan SiteCommand // from operators
	dialTimeout          time.Duration
	dateScale            clock.Scale // for times written for other processes
	startedAt            time.Time
	seed                 int64 // for this relay's random numbers
	listGeneration       int64 // of the endpoint list; -1: none
	events               chan any
	notifications        chan pendingNotification
	waitingNotifications []pendingNotification // notifications that are not in the channel yet
	agentAddr            atomic.Pointer[string]
	watchCtx             context.Context // of the current discovery watch
	cancelWatch          context.CancelFunc

	uncommittedReplies []pendingReply           // answered once this iteration's records are in the journal
	uncommittedCalls   []*call                  // dispatched once this iteration's records are in the journal
	pendingEvents      []policy.Event           // for the next policy step
	arrivals           []*memory.Message        // for the next policy step
	lateListeners      atomic.Int32             // connections that are read after their call has timed out
	shutdownStage      atomic.Int32             // a shutdownStage, read by connections before they write
	orderedQueues      map[string][]*queueEntry // by ordering key, in order of acceptance
	endpoints          map[string]*endpoint     // by id
	destBackoffs       map[int]*backoff         // by destination
	// by endpoint id, of separate routes that left the list while a Retry-After was in force
	removedRouteBackoffs      map[string]*backoff
	reportKeys                peers.ReportKeys
	calls                     map[*call]struct{} // in flight or waiting to be made
	kindSettings              map[string]policy.Kind
	classes                   map[string]policy.Class // current settings, by name
	plugins                   *plugin.Holder
	destKinds                 map[int]string // partner types, by destination
	lastStepAt                policy.Time
	wakeAt                    policy.Time // 0: no wake-up requested
	maintenanceAt             policy.Time
	awaitListUntil            policy.Time            // the first step waits until then for the endpoint list
	stepsBlockedUntil         policy.Time            // the first step after a policy restart waits until then
	standby                   bool                   // another process of this relay runs the policy engine
	leavingProcess            *leavingProcess        // writes files for the next process; nil: no handover in progress
	pendingElsewhere          int                    // messages that processes before this one may still hold
	untransferred             []*memory.Message      // messages that are still to be transferred
	untransferredRetryAfters  []handover.RetryAfter  // for the next process, or for this one's policy engine
	reportedInFlight          int                    // calls in flight, as last reported to the next process
	inheritedCalls            []policy.InheritedCall // calls that the previous process still has in flight
	inheritedState            policy.LearnedState    // from the previous process, until Activate
	leaving                   bool                   // the fleet is told that this relay leaves or is drained
	inheritedIncarnation      uint32                 // of the previous process in the fleet; 0: unknown
	ownedElsewhere            map[string]struct{}    // ids of messages that the previous process accepted and keeps
	sequencer                 sequence.Sequencer     // holds messages while another process owes earlier ones
	reportedOwed              []sequence.Message     // messages still owed, as last reported to the next process
	callsAwaitingNotification []*call                // calls that wait for the platform to acknowledge a notification
	unansweredNotifications   unansweredNotifications
	uncommittedTransfers      []chan<- struct{}         // closed once the transferred messages are in the journal
	stepsStopped              bool                      // no further policy steps; messages stay in the journal
	listReceived              bool                      // discovery has sent its list to this process
	loadReports               bool                      // responses may hold load reports
	maxIdleConns              int                       // limit of idle connections to endpoints
	idleConns                 index.List[*endpointConn] // least recently used first
	expiries                  index.Heap[itemExpiry]    // messages whose deadline precedes their call's
	unstepped                 unsteppedDeadlines        // of messages that no policy step completes at present
	metrics                   *metrics.Set
	rejectedCount             int // requests rejected since the last log line
}

// HostConfig configures a Host.
type HostConfig struct {
	Settings       policy.Settings
	Seed           int64
	ConnectTimeout time.Duration
	MaxIdleConns   int  // limit of idle connections to endpoints
	LoadReports    bool // responses may hold load reports
	KnownEndpoints memory.EndpointList
	Table          *memory.Table
	Journal        *journal.Journal
	Plugins        *plugin.Holder // nil: no plug-ins
	GossipSocket   *GossipSocket  // nil: no gossip
	Identity       FleetIdentity
	ZoneNames      []string     // indexed by zone number
	HomeZone       string       // empty: unknown
	Sites          *sites.Plan  // nil: no site plan
	Metrics        *metrics.Set // nil: not recorded
	Standby        bool         // no policy steps until Activate
	DateScale      clock.Scale  // for times written for other processes
	Log            *slog.Logger
}

// FleetIdentity is a relay's place in its fleet.
type FleetIdentity struct {
	Number            int
	MembershipEnabled bool // it tracks which relays are alive
	Choices           choice.Options
	Zone              int // members.NoZone: unknown
}

// NewHost returns a host with the recovered messages of the table.
func NewHost(config HostConfig) (*Host, error) {
	start := time.Now()
	config.Settings.ClockOffset = time.Duration(start.UnixNano())
	relay, err := policy.New(config.Settings, config.Seed)
	if err != nil {
		return nil, err
	}
	h := &Host{
		settings:                config.Settings,
		relay:                   relay,
		table:                   config.Table,
		journal:                 config.Journal,
		log:                     config.Log,
		plugins:                 config.Plugins,
		seed:                    config.Seed,
		loadReports:             config.LoadReports,
		dialTimeout:             config.ConnectTimeout,
		dateScale:               config.DateScale,
		maxIdleConns:            config.MaxIdleConns,
		startedAt:               start,
		events:                  make(chan any, eventQueueSize),
		notifications:           make(chan pendingNotification, eventQueueSize),
		endpoints:               map[string]*endpoint{},
		destBackoffs:            map[int]*backoff{},
		removedRouteBackoffs:    map[string]*backoff{},
		calls:                   map[*call]struct{}{},
		orderedQueues:           map[string][]*queueEntry{},
		unansweredNotifications: unansweredNotifications{},
		kindSettings:            map[string]policy.Kind{},
		destKinds:               map[int]string{},
		metrics:                 config.Metrics,
	}
	h.zoneNames, h.siteCommands = config.ZoneNames, make(chan SiteCommand, siteCommandQueueSize)
	h.indexSettings(config.Settings)
	h.journal.SetMaxAttempts(config.Settings.MaxAttempts)
	h.gossiper = peers.New(0, 0, config.Seed)
	if h.gossipSocket = config.GossipSocket; h.gossipSocket != nil {
		h.joinFleet(config.Identity)
	}
	h.lastStepAt = -config.Settings.Tick
	h.applyEndpointList(config.KnownEndpoints, policy.ListRestored)
	if config.Sites != nil {
		h.applySitePlan(config.Sites, config.HomeZone)
	}
	h.awaitListUntil = endpointListTimeout
	h.standby, h.stepsStopped = config.Standby, config.Standby
	h.restore(false)
	return h, nil
}

// indexSettings rebuilds the lookup tables of classes and partner types.
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

// Events returns the channel on which connections report.
func (h *Host) Events() chan<- any { return h.events }

// StartPlatformClient starts the discovery watch, the outcome notifications and the gossip. It is
// called before Run.
func (h *Host) StartPlatformClient(discovery string) {
	h.useDiscovery(discovery)
	go runNotifier(&h.agentAddr, h.notifications, h.events, h.log)
	if h.gossipSocket != nil {
		go h.gossipSocket.receiveLoop(h.events)
		go h.gossipSocket.sendLoop()
	}
}

// useDiscovery moves the watch and the notifications to an address, unless it is in use already.
func (h *Host) useDiscovery(discovery string) {
	if at := h.agentAddr.Load(); at != nil && *at == discovery {
		return
	}
	h.endWatch()
	h.agentAddr.Store(&discovery)
	h.watchCtx, h.cancelWatch = context.WithCancel(context.Background())
	go watchEndpointList(h.watchCtx, listWatcher{addr: discovery, generation: h.listGeneration,
		fleetSize: h.settings.Relays, polled: h.settings.MustSubscribe, seed: h.seed}, h.events, h.log)
}

// endWatch ends the discovery watch, if there is one.
func (h *Host) endWatch() {
	if h.cancelWatch != nil {
		h.cancelWatch()
	}
}

// Reload applies a validated configuration: settings and limits at once, then discovery's address.
// Pending messages, calls in flight and the journal's share of the disk stay; the endpoint list
// stays until the new address has sent its own.
func (h *Host) Reload(config HostConfig, discovery string) (err error) {
	h.Do(func(h *Host) {
		config.Settings.ClockOffset = h.settings.ClockOffset
		if err = h.relay.Reconfigure(config.Settings); err != nil {
			return
		}
		h.settings, h.loadReports, h.dialTimeout, h.maxIdleConns, h.reportedRelays = config.Settings,
			config.LoadReports, config.ConnectTimeout, config.MaxIdleConns, 0
		h.indexSettings(config.Settings)
		h.journal.SetMaxAttempts(config.Settings.MaxAttempts)
		h.limitIdleConns()
		h.useDiscovery(discovery)
		h.pendingEvents = append(h.pendingEvents, policy.TimerFired{})
	})
	return err
}

// now returns the time since the host was created, the clock of the policy engine.
func (h *Host) now() policy.Time { return time.Since(h.startedAt) }

// restore passes recovered messages to the policy engine in order of acceptance, and queues the
// notifications that are owed. afterPanic is set when the policy engine restarts, since those
// notifications and the calls in flight are then already under way.
func (h *Host) restore(afterPanic bool) {
	var all []*memory.Message
	for _, m := range h.table.All() {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *memory.Message) int { return int(int64(a.Number) - int64(b.Number)) })
	pending, wall := 0, time.Now()
	for _, m := range all {
		if m.Notification != nil && afterPanic || m.InFlight != nil || m.Unanswered {
			continue // its notification, call or response is under way and will report
		}
		if h.resume(m, wall) {
			pending++
		}
	}
	if len(all) > 0 {
		h.log.Info("restored", "messages", pending, "notices", len(all)-pending)
	}
}

// resume continues a recovered message and reports whether it is still to be completed.
func (h *Host) resume(m *memory.Message, wall time.Time) bool {
	if m.Notification != nil {
		h.queueNotification(m)
		return false
	}
	if m.MemoryOnly && m.Body == nil {
		// Its body was lost with the process, so it cannot be sent any more.
		h.completeByNotification(m.Number, h.failureNotification(limits.Refuse, m))
		return false
	}
	class, known := h.classes[m.Class]
	if !known {
		// The policy engine does not know the class, so the message would stay pending for ever.
		h.log.Warn("class is no longer in the settings; completing its message", "class", m.Class, "message", m.ID)
		h.completeByNotification(m.Number, h.failureNotification(limits.Refuse, m))
		return false
	}
	m.Recovered = true
	// Bounds the deadline by the class, in case the clock was set back since the last run.
	if m.Deadline.Sub(wall) > class.Deadline {
		m.Deadline = wall.Add(class.Deadline)
	}
	h.passToPolicy(m, true)
	return true
}

// command is a function to run on the host's goroutine.
type command func(h *Host)

// Run handles events until stop is closed. Then it ends the discovery watch.
func (h *Host) Run(stop <-chan struct{}) {
	defer h.endWatch()
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
		// Handle all queued events first, so that a Retry-After or a drain is known before the next
		// send, unless so many large messages arrive that their records need to be written.
		for more := true; more && !h.journal.BatchFull(); {
			select {
			case e := <-h.events:
				h.handleEvent(e)
			default:
				more = false
			}
		}
		// Requests are recorded and answered before the policy step, so that clients don't wait for
		// it.
		h.startUnblockedCalls(h.now())
		h.commit()
		if h.standby {
			h.pendingEvents = nil // Activate reports everything to the policy engine
		}
		h.releaseHeld(h.sequencer.Ready())
		if h.leavingProcess != nil {
			h.untransferred, h.arrivals = append(h.untransferred, h.arrivals...), nil
		}
		now := h.now()
		h.expireItems(now)
		h.expireHeld(now)
		h.expireUnstepped(now)
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

// stepDue reports whether events or messages wait for a policy step.
func (h *Host) stepDue() bool { return !h.stepsStopped && len(h.pendingEvents)+len(h.arrivals) > 0 }

// stepAt returns the earliest time of the next policy step.
func (h *Host) stepAt() policy.Time {
	return max(h.lastStepAt+h.settings.Tick, h.awaitListUntil, h.stepsBlockedUntil)
}

// nextWakeup returns when the loop has to run without an event.
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
	if e := h.unstepped.due.First(); e != nil {
		at = min(at, e.At())
	}
	if h.gossiper.Active() && !h.stepsStopped {
		at = min(at, h.gossiper.NextTick())
	}
	if len(h.waitingNotifications) > 0 {
		at = min(at, h.now()+h.settings.Tick)
	}
	if h.siteWatch != nil {
		at = min(at, h.nextSitesCheck)
	}
	return h.earliestWaitingCallDeadline(h.earliestHeldDeadline(at))
}

// handleEvent handles one event of a connection, the platform or another relay, or runs a command.
func (h *Host) handleEvent(e any) {
	switch e := e.(type) {
	case submitRequest:
		m, result := h.submit(e)
		h.uncommittedReplies = append(h.uncommittedReplies, pendingReply{e.reply, result, m})
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
			return // the update is from an address that a reload has replaced
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
			h.log.Debug("ignored a gossip message", "from", e.from, "err", err)
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

// --- maintenance, start and stop ---

// maintain closes idle connections before the peer does, and runs the journal's maintenance.
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
		h.log.Warn("rejected requests", "count", h.rejectedCount, "held", h.table.PendingCount())
		h.rejectedCount = 0
	}
}

// Do runs f on the host's goroutine and waits for it.
func (h *Host) Do(f func(*Host)) {
	done := make(chan struct{})
	h.events <- command(func(h *Host) { f(h); close(done) })
	<-done
}

// PrepareStop tells the policy engine that the process is stopping: no further attempt is made at
// messages that must not run twice.
func (h *Host) PrepareStop() {
	h.shutdownStage.Store(shutdownNoUnsafeCalls)
	h.Do(func(h *Host) { h.pendingEvents = append(h.pendingEvents, policy.Stopping{}) })
}

// StopSteps ends the policy steps. Calls in flight are finished; other messages stay in the
// journal.
func (h *Host) StopSteps() {
	h.shutdownStage.Store(shutdownNoCalls)
	h.Do(func(h *Host) {
		h.stepsStopped = true
		h.watchAllDeadlines()
	})
}

// Load counts the pending messages and the calls in flight.
func (h *Host) Load() (pending, inFlight int) {
	h.Do(func(h *Host) { pending, inFlight = len(h.table.All()), len(h.calls) })
	return pending, inFlight
}
