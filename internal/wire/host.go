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
	"oatfold/internal/figures"
	"oatfold/internal/handover"
	"oatfold/internal/handover/sequence"
	"oatfold/internal/index"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/peers"
	"oatfold/internal/peers/members"
	"oatfold/internal/plugin"
	"oatfold/internal/plugin/limits"
	"oatfold/internal/sites"
	"oatfold/policy"
)

const (
	eventRoom  = 1024
	idleShare  = 0.8 // of the time after which an idle connection is closed by the other side
	upkeepTurn = time.Second

	// The known list may be old: what discovery's agent has by now counts as told to us, so that the first
	// step waits a moment for its answer. Guards against sends to endpoints that left while we were down.
	listPatience = 300 * time.Millisecond

	// endBefore is by how much the module's time for a message ends before the message's: what its clients see as its end comes
	// earlier than what is counted from the first byte that was read.
	endBefore = 10 * time.Millisecond

	unknownAge = 24 * time.Hour // longer than any partner drops repeats
)

// Host carries the decision module: one goroutine owns the module, the message table and the journal;
// connections send it events. It never waits for a socket.
type Host struct {
	set         policy.Settings
	relay       *policy.Relay
	table       *memory.Table
	journal     *journal.Journal
	log         *slog.Logger
	pool        *peers.Gossiper // what this relay tells others and hears of them
	notes       *GossipSocket   // nil: it tells none
	sharing     int             // relays that may be calling, as the module was told last; 0: nothing
	among       Among           // what it is among the relays
	view        atomic.Pointer[members.View]
	viewAt      policy.Time // when that was made
	choices     atomic.Pointer[Choices]
	choicesAt   policy.Time  // when that was made
	watch       *sites.Watch // nil: no plan for sites
	sites       atomic.Pointer[Sites]
	sitesAt     policy.Time   // when they are looked at again
	sitesView   *members.View // that the watch was last told of
	sitesHome   string
	zones       []string // names, by number
	byHand      chan SiteCommand
	dialTimeout time.Duration
	dates       clock.Scale // of what is left to other processes
	start       time.Time
	seed        int64 // of this relay's own draws
	generation  int64 // of the pool config; -1: none
	events      chan any
	notices     chan pendingNotification
	unsent      []pendingNotification // notices that did not fit the channel yet
	agent       atomic.Pointer[string]
	watching    context.Context // of the watch in force
	unwatch     context.CancelFunc

	replies   []heldReply // hand-ins of this turn, answered once it is in the journal
	begun     []*call     // calls of this turn, made once it is in the journal
	pending   []policy.Event
	arrivals  []*memory.Message
	listening atomic.Int32       // connections that are listened to behind the end of their calls
	leaving   atomic.Int32       // a leaveStage, which connections look at as they write
	turns     map[string][]*turn // by subject, in the order in which they were taken on
	endpoints map[string]*endpoint
	gates     map[int]*backoff
	routes    map[string]*backoff // of routes apart that have left the list and still bind
	targets   peers.ReportKeys
	calls     map[*call]struct{}
	kindOf    map[string]policy.Kind
	classes   map[string]policy.Class // by name, as the settings have them now
	plugins   *plugin.Holder
	kinds     map[int]string // of destinations
	lastStep  policy.Time
	wakeAt    policy.Time // 0: none asked for
	upkeepAt  policy.Time
	firstBy   policy.Time               // the first step waits until then for the pool config
	holdTil   policy.Time               // and the first of a module that starts anew for the end of told waits
	standby   bool                      // another process of this relay makes the steps
	giving    func([]byte) error        // another process takes this one's place: what is not out goes there
	left      []*memory.Message         // that are still to be given
	waits     []handover.Wait           // that the other process has yet to hear of, or this one's module
	toldOut   int                       // calls out as it was told last
	lent      []policy.InheritedCall    // calls that the process before still has out
	learned   policy.LearnedState       // of the process before, until the steps begin
	drained   bool                      // that one was drained
	elsewhere map[string]struct{}       // ids that it took on and keeps
	sequence  sequence.Sequencer        // what waits for messages that other processes still owe
	toldOwes  []sequence.Message        // what this one still owes, as it was told last
	parked    []*call                   // that wait for the answer to a notice
	awaited   awaitedNotices            // whose answers they wait for
	adopted   []chan<- struct{}         // closed once what was taken over is in the journal
	quiet     bool                      // no further steps: the rest stays in the journal
	listed    bool                      // discovery has told its whole list in this life
	reports   bool                      // answers may hold load reports
	idleMost  int                       // connections to endpoints that may stand idle
	idle      index.List[*endpointConn] // these, the one that was used longest ago first
	expiries  index.Heap[itemExpiry]    // messages whose own time is up before their call's
	figures   *figures.Set
	refused   int // hand-ins turned away since the last log line
}

// HostConfig is what a host is made from.
type HostConfig struct {
	Settings       policy.Settings
	Seed           int64
	ConnectTimeout time.Duration
	IdleMost       int  // connections to endpoints that may stand idle
	Reports        bool // answers may hold load reports
	Known          memory.EndpointList
	DiskBytes      int64 // that the journal may take; read by Reload
	Table          *memory.Table
	Journal        *journal.Journal
	Plugins        *plugin.Holder // nil: none
	Notes          *GossipSocket  // nil: this relay tells others nothing
	Among          Among          // what it is among them
	Zones          []string       // names of zones, by number
	Home           string         // this relay's own; empty: not known
	Sites          *sites.Plan    // nil: none
	Figures        *figures.Set   // nil: nobody reads them
	Standby        bool           // no steps until Activate
	Dates          clock.Scale    // of what is left to other processes
	Log            *slog.Logger
}

// Among is what a relay is among the relays of its fleet.
type Among struct {
	Me      int  // its number
	Members bool // it asks who lives
	Choices choice.Options
	Zone    int // members.NoZone: not known
}

// NewHost returns a host that holds again what the table holds.
func NewHost(c HostConfig) (*Host, error) {
	start := time.Now()
	c.Settings.ClockOffset = time.Duration(start.UnixNano())
	relay, err := policy.New(c.Settings, c.Seed)
	if err != nil {
		return nil, err
	}
	h := &Host{set: c.Settings, relay: relay, table: c.Table, journal: c.Journal, log: c.Log, plugins: c.Plugins, seed: c.Seed,
		reports: c.Reports, dialTimeout: c.ConnectTimeout, dates: c.Dates, idleMost: c.IdleMost, start: start, events: make(chan any, eventRoom),
		notices: make(chan pendingNotification, eventRoom), endpoints: map[string]*endpoint{}, gates: map[int]*backoff{}, routes: map[string]*backoff{},
		calls: map[*call]struct{}{}, turns: map[string][]*turn{}, awaited: awaitedNotices{}, kindOf: map[string]policy.Kind{}, kinds: map[int]string{}, figures: c.Figures}
	h.zones, h.byHand = c.Zones, make(chan SiteCommand, siteCommandQueueSize)
	h.name(c.Settings)
	h.pool = peers.New(0, 0, c.Seed)
	if h.notes = c.Notes; h.notes != nil {
		h.joinFleet(c.Among)
	}
	h.lastStep = -c.Settings.Tick
	h.applyEndpointList(c.Known, policy.ListRestored)
	if c.Sites != nil {
		h.applySitePlan(c.Sites, c.Home)
	}
	h.firstBy = listPatience
	h.standby, h.quiet = c.Standby, c.Standby
	h.restore(false)
	return h, nil
}

// name keeps what is looked up by name.
func (h *Host) name(s policy.Settings) {
	h.classes, h.kindOf = map[string]policy.Class{}, map[string]policy.Kind{}
	for _, c := range s.Classes {
		h.classes[c.Name] = c
	}
	for _, k := range s.Kinds {
		h.kindOf[k.Name] = k
	}
	h.figures.Classes(slices.Collect(maps.Keys(h.classes)))
}

// Events is where connections report.
func (h *Host) Events() chan<- any { return h.events }

// Watch starts what talks to the platform: the watch of the pool config and the notices. It comes before Run.
func (h *Host) Watch(discovery string) {
	h.follow(discovery)
	go runNotifier(&h.agent, h.notices, h.events, h.log)
	if h.notes != nil {
		go h.notes.receiveLoop(h.events)
		go h.notes.sendLoop()
	}
}

// follow moves the watch and the notices to that address, unless they are there.
func (h *Host) follow(discovery string) {
	if at := h.agent.Load(); at != nil && *at == discovery {
		return
	}
	if h.unwatch != nil {
		h.unwatch()
	}
	h.agent.Store(&discovery)
	h.watching, h.unwatch = context.WithCancel(context.Background())
	go watchEndpointList(h.watching, listWatcher{addr: discovery, generation: h.generation, fleetSize: h.set.Relays, polled: h.set.MustSubscribe, seed: h.seed}, h.events, h.log)
}

// Reload puts a new configuration in force, which was checked: settings and limits at once, and discovery's new
// address. What is held, out or known stays; the pool config stays until the new address has told its own.
func (h *Host) Reload(c HostConfig, discovery string) (err error) {
	h.Do(func(h *Host) {
		c.Settings.ClockOffset = h.set.ClockOffset
		if err = h.relay.Reconfigure(c.Settings); err != nil {
			return
		}
		h.set, h.reports, h.dialTimeout, h.idleMost, h.sharing = c.Settings, c.Reports, c.ConnectTimeout, c.IdleMost, 0
		h.name(c.Settings)
		h.journal.SetBudget(c.DiskBytes)
		h.follow(discovery)
		h.pending = append(h.pending, policy.TimerFired{})
	})
	return err
}

func (h *Host) now() policy.Time { return time.Since(h.start) }

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
		h.owe(m)
		return false
	}
	if m.MemoryOnly && m.Body == nil {
		// Its body was lost with the process: it can't be sent any more.
		h.finish(m.Number, h.failureNotification(limits.Refuse, m))
		return false
	}
	class, known := h.classes[m.Class]
	if !known {
		// Guards against holding for ever what the module would not know: the settings have lost its class.
		h.log.Warn("class is not in the settings any more, its message is ended", "class", m.Class, "message", m.ID)
		h.finish(m.Number, h.failureNotification(limits.Refuse, m))
		return false
	}
	m.Recovered = true
	// Guards against a clock that was set back between two lives: no message has longer than its class.
	if m.Deadline.Sub(wall) > class.Deadline {
		m.Deadline = wall.Add(class.Deadline)
	}
	h.onward(m, true)
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
			h.take(e)
		case <-timer.C:
		}
		// All that has come in goes into this step, in the order of arrival: a told wait or a drain is known
		// before any later send.
		for more := true; more; {
			select {
			case e := <-h.events:
				h.take(e)
			default:
				more = false
			}
		}
		// Guards against clients that wait for the module: what came in is written and answered before its step.
		h.unpark(h.now())
		h.commit()
		if h.standby {
			h.pending = nil // Activate tells the module all
		}
		h.release(h.sequence.Ready())
		if h.giving != nil {
			h.left, h.arrivals = append(h.left, h.arrivals...), nil
		}
		now := h.now()
		h.expireItems(now)
		h.expireHeld(now)
		if h.wakeAt > 0 && now >= h.wakeAt {
			h.wakeAt, h.pending = 0, append(h.pending, policy.TimerFired{})
		}
		h.share(now)
		h.updateSites(now)
		if h.due() && now >= h.stepAt() {
			h.step(now)
		}
		if now >= h.upkeepAt {
			h.upkeep(now)
		}
		h.commit()
		h.figures.InProgress(h.table.PendingCount())
		h.flushNotices()
		timer.Reset(max(0, h.next()-h.now()))
	}
}

func (h *Host) due() bool { return !h.quiet && len(h.pending)+len(h.arrivals) > 0 }

// stepAt is when the next step may come.
func (h *Host) stepAt() policy.Time { return max(h.lastStep+h.set.Tick, h.firstBy, h.holdTil) }

// next is when the loop has to look again without an event.
func (h *Host) next() policy.Time {
	at := h.upkeepAt
	if h.due() {
		at = min(at, h.stepAt())
	}
	if h.wakeAt > 0 && !h.quiet {
		at = min(at, max(h.wakeAt, h.stepAt()))
	}
	if e := h.expiries.First(); e != nil {
		at = min(at, e.At())
	}
	if h.pool.Active() && !h.quiet {
		at = min(at, h.pool.NextTick())
	}
	if len(h.unsent) > 0 {
		at = min(at, h.now()+h.set.Tick)
	}
	if h.watch != nil {
		at = min(at, h.sitesAt)
	}
	return h.parkedUntil(h.heldUntil(at))
}

func (h *Host) take(e any) {
	switch e := e.(type) {
	case handIn:
		m, v := h.handIn(e)
		h.replies = append(h.replies, heldReply{e.reply, v, m})
	case handedIn:
		if m := h.table.Get(e.num); m != nil {
			h.inTurn(m, e.told)
		}
	case callResult:
		h.handleCallResult(e)
	case lateRetryAfter:
		h.handleLateRetryAfter(e)
	case endpointListUpdate:
		if e.watchCtx != h.watching {
			return // Guards against late news of an address that a reload has replaced
		}
		kind := policy.ListChanges
		if e.Complete {
			kind = policy.ListSnapshot
		}
		h.listed, h.firstBy = true, 0
		h.applyEndpointList(e.EndpointList, kind)
	case gossipReceived:
		out, err := h.pool.Receive(h.now(), e.from, e.payload)
		if err != nil {
			h.log.Debug("note not taken", "from", e.from, "err", err)
		}
		h.sendGossip(out)
	case notificationsAccepted:
		for _, num := range e.nums {
			if m := h.table.Get(num); m != nil {
				h.over(m)
			}
		}
	case command:
		e(h)
	}
}

// --- upkeep, start and stop ---

// upkeep closes connections well before the other side would.
func (h *Host) upkeep(now policy.Time) {
	h.upkeepAt = now + upkeepTurn
	if h.set.IdleConnTimeout > 0 {
		limit := time.Duration(float64(h.set.IdleConnTimeout) * idleShare)
		for h.idle.Len() > 0 && time.Since(h.idle.First().Value.lastUsed) > limit {
			h.closeOldestIdleConn()
		}
	}
	h.journal.Maintain()
	if h.refused > 0 {
		h.log.Warn("hand-ins turned away", "count", h.refused, "held", h.table.PendingCount())
		h.refused = 0
	}
}

// Do runs f on the host's goroutine and waits for it.
func (h *Host) Do(f func(*Host)) {
	done := make(chan struct{})
	h.events <- command(func(h *Host) { f(h); close(done) })
	<-done
}

// Leave tells the module that the process ends soon: what may not be repeated waits for the next start.
func (h *Host) Leave() {
	h.leaving.Store(shutdownNoUnsafeCalls)
	h.Do(func(h *Host) { h.pending = append(h.pending, policy.Stopping{}) })
}

// Quiet ends the steps: calls out are still finished, the rest stays in the journal.
func (h *Host) Quiet() {
	h.leaving.Store(shutdownNoCalls)
	h.Do(func(h *Host) { h.quiet = true })
}

// Load counts the messages held and the calls out.
func (h *Host) Load() (held, out int) {
	h.Do(func(h *Host) { held, out = len(h.table.All()), len(h.calls) })
	return held, out
}
