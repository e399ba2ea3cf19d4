package testdouble

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Mode is how a partner behaves.
type Mode int

// The modes of a partner.
const (
	Healthy             Mode = iota // runs calls, within its limits
	Unresponsive                    // reads calls and says nothing, runs nothing
	ResetBeforeRun                  // resets the connection once the call has come; nothing has run
	ResetAfterRun                   // the same, but the call has run
	InternalError                   // 500, nothing has run
	Unavailable                     // 503 with the wait, if one is told
	RefusingConnections             // refuses connections, and those that are open break
)

// PartnerConfig sets a partner.
type PartnerConfig struct {
	Dest               int
	Kind               string        // empty: small-partner
	Zone               string        // empty: here
	EndpointZones      []string      // of its endpoints, one by one, where they lie in several
	Endpoints          int           // 0: 1
	Rate               float64       // calls a second that it takes, over all endpoints; 0: no limit
	Burst              float64       // calls at once above the rate; 0: 1
	MaxConcurrentCalls int           // calls served at once; 0: any number
	RetryAfter         time.Duration // told by refusals; 0: none
	ServiceTime        time.Duration // how long a call takes
	ColdRateShare      float64       // share of the rate that it has at once after an outage; 0: it returns warm
	WarmUpTime         time.Duration // until it is warm
	OverloadFactor     float64       // sent more than this multiple of the present rate over a second while cold, it falls silent for good; 0: never
	Now                func() time.Time
	OnCall             func(Call)        // not nil: told of each call as it comes and as it ends
	OnMessage          func(body []byte) // not nil: told of each message that runs, in place of the ledger
}

// Call is what a partner sees of a call, as it comes and as it ends.
type Call struct {
	Dest       int
	IDs        []string
	Completed  bool
	OK         bool          // Ended: it ran, and that was answered
	MayHaveRun bool          // Ended: it may have run
	RetryAfter time.Duration // Ended: told
}

// Partner is a destination with its endpoints.
type Partner struct {
	set    PartnerConfig
	ledger *EffectLog
	ends   []*endpoint

	mu       sync.Mutex
	random   *rand.Rand
	mode     Mode
	lowered  float64 // part of the rate that it takes
	share    float64 // of the calls that the mode is for
	tokens   float64
	filled   time.Time
	warmAt   time.Time
	recent   []time.Time // calls of the last second, while cold
	out      int
	release  chan struct{} // closed when silence ends
	early    int           // calls while a told wait ran
	waitTil  time.Time
	rejected int
	fell     bool
}

// zone is where an endpoint lies.
func (p *Partner) zone(i int) string {
	if i < len(p.set.EndpointZones) && p.set.EndpointZones[i] != "" {
		return p.set.EndpointZones[i]
	}
	return p.set.Zone
}

type endpoint struct {
	id, addr string
	server   *http.Server
}

func newPartner(set PartnerConfig, seed uint64, l *EffectLog) (*Partner, error) {
	if set.Kind == "" {
		set.Kind = "small-partner"
	}
	if set.Zone == "" {
		set.Zone = "here"
	}
	if set.Now == nil {
		set.Now = time.Now
	}
	set.Endpoints, set.Burst = max(1, set.Endpoints), max(1, set.Burst)
	p := &Partner{set: set, ledger: l, random: rand.New(rand.NewPCG(seed, uint64(set.Dest))), release: make(chan struct{}), tokens: set.Burst, lowered: 1}
	for i := range set.Endpoints {
		e := &endpoint{id: fmt.Sprintf("p%d-%d", set.Dest, i)}
		for try := 1; ; try++ { // somebody else may take a port before it is listened at
			addr, err := ReserveAddr()
			if err == nil {
				e.addr = addr
				err = p.listen(e)
			}
			if err == nil {
				break
			}
			if try == 5 {
				return nil, err
			}
		}
		p.ends = append(p.ends, e)
	}
	return p, nil
}

func (p *Partner) listen(e *endpoint) error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: p}
	go e.server.Serve(ln)
	return nil
}

func (p *Partner) close() {
	p.mu.Lock()
	p.end()
	p.mu.Unlock()
	for _, e := range p.ends {
		e.server.Close()
	}
}

// end lets calls that were kept silent go. The caller holds mu.
func (p *Partner) end() {
	close(p.release)
	p.release = make(chan struct{})
}

// EndpointIDs names the endpoints as discovery does.
func (p *Partner) EndpointIDs() (ids []string) {
	for _, e := range p.ends {
		ids = append(ids, e.id)
	}
	return ids
}

// Addresses are where the endpoints listen.
func (p *Partner) Addresses() (all []string) {
	for _, e := range p.ends {
		all = append(all, e.addr)
	}
	return all
}

// SetMode puts a mode in force for that share of the calls (1: all). Calls that were kept silent break. A partner that
// comes back from an outage is cold, if it is set so.
func (p *Partner) SetMode(m Mode, share float64) error {
	p.mu.Lock()
	was := p.mode
	if p.mode, p.share = m, share; m == Healthy && was != Healthy && p.set.ColdRateShare > 0 {
		p.warmAt, p.recent = p.set.Now().Add(p.set.WarmUpTime), nil
	}
	p.end()
	p.mu.Unlock()
	if (m == RefusingConnections) == (was == RefusingConnections) {
		return nil
	}
	for _, e := range p.ends {
		if m == RefusingConnections {
			e.server.Close()
		} else if err := p.listen(e); err != nil {
			return err
		}
	}
	return nil
}

// EarlyCalls counts calls that came while a wait that this partner had told ran, but for the first 100 ms of it.
func (p *Partner) EarlyCalls() int { p.mu.Lock(); defer p.mu.Unlock(); return p.early }

// RejectedCalls counts calls turned away above a limit.
func (p *Partner) RejectedCalls() int { p.mu.Lock(); defer p.mu.Unlock(); return p.rejected }

// Collapsed tells whether it was pushed over while it was cold.
func (p *Partner) Collapsed() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.fell }

// SetRateShare has it take that part of its rate from now on; 1: all of it.
func (p *Partner) SetRateShare(part float64) {
	p.mu.Lock()
	p.lowered = part
	p.mu.Unlock()
}

// rate is what it can take now. The caller holds mu.
func (p *Partner) rate(now time.Time) float64 {
	return p.usual(now) * p.lowered
}

func (p *Partner) usual(now time.Time) float64 {
	if p.set.Rate == 0 || !now.Before(p.warmAt) || p.set.WarmUpTime == 0 {
		return p.set.Rate
	}
	warm := 1 - p.warmAt.Sub(now).Seconds()/p.set.WarmUpTime.Seconds()
	return p.set.Rate * (p.set.ColdRateShare + (1-p.set.ColdRateShare)*warm)
}

// admit says what becomes of a call.
func (p *Partner) admit() (Mode, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.set.Now()
	if p.fell {
		return Unresponsive, false
	}
	if p.mode != Healthy && p.random.Float64() < p.share {
		if p.mode == Unavailable {
			p.told(now)
		}
		return p.mode, false
	}
	if now.Before(p.waitTil) && now.After(p.waitTil.Add(100*time.Millisecond-p.set.RetryAfter)) {
		p.early++
	}
	rate := p.rate(now)
	if p.set.OverloadFactor > 0 && now.Before(p.warmAt) {
		for len(p.recent) > 0 && now.Sub(p.recent[0]) > time.Second {
			p.recent = p.recent[1:]
		}
		if p.recent = append(p.recent, now); float64(len(p.recent)) > max(2, p.set.OverloadFactor*rate) {
			p.fell = true
			return Unresponsive, false
		}
	}
	if rate > 0 {
		if !p.filled.IsZero() {
			p.tokens = min(p.set.Burst, p.tokens+rate*now.Sub(p.filled).Seconds())
		}
		if p.filled = now; p.tokens < 1 {
			p.rejected++
			p.told(now)
			return Unavailable, false
		}
		p.tokens--
	}
	if p.set.MaxConcurrentCalls > 0 && p.out >= p.set.MaxConcurrentCalls {
		p.rejected++
		p.told(now)
		return Unavailable, false
	}
	p.out++
	return Healthy, true
}

func (p *Partner) told(now time.Time) {
	if p.set.RetryAfter > 0 {
		p.waitTil = now.Add(p.set.RetryAfter)
	}
}

// ServeHTTP answers calls, with one message or with several.
func (p *Partner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	type entry struct {
		ID    string `json:"id"`
		Key   string `json:"key,omitempty"`
		Body  []byte `json:"body,omitempty"`
		State string `json:"state,omitempty"`
	}
	items := []entry{{ID: r.Header.Get("X-Correlation-Id"), Key: r.Header.Get("Idempotency-Key"), Body: body}}
	if r.URL.Path == "/hook/batch" && (json.Unmarshal(body, &items) != nil || len(items) == 0) || items[0].ID == "" {
		w.WriteHeader(400)
		return
	}
	run := func() {
		for i := range items {
			if p.set.OnMessage != nil {
				p.set.OnMessage(items[i].Body)
				items[i] = entry{ID: items[i].ID, State: "ok"}
				continue
			}
			p.ledger.book(p.set.Dest, items[i].ID, items[i].Key, r.Header.Get("X-Form"), items[i].Body, p.set.Now())
			items[i] = entry{ID: items[i].ID, State: "ok"}
		}
	}
	seen := Call{Dest: p.set.Dest, MayHaveRun: true}
	if p.set.OnCall != nil {
		for _, it := range items {
			seen.IDs = append(seen.IDs, it.ID)
		}
		p.set.OnCall(seen)
		seen.Completed = true
		defer func() { p.set.OnCall(seen) }()
		w = &watched{w, &seen}
	}
	p.mu.Lock()
	release := p.release
	p.mu.Unlock()
	mode, in := p.admit()
	p.ledger.news.tell()
	if in {
		defer func() { p.mu.Lock(); p.out--; p.mu.Unlock() }()
	}
	switch mode {
	case Unresponsive:
		select {
		case <-release:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case ResetBeforeRun, ResetAfterRun, RefusingConnections:
		if mode == ResetAfterRun {
			run()
		}
		if sock, _, err := http.NewResponseController(w).Hijack(); err == nil {
			sock.(*net.TCPConn).SetLinger(0)
			sock.Close()
		}
		return
	case InternalError:
		w.WriteHeader(500)
		return
	case Unavailable:
		if p.set.RetryAfter > 0 {
			w.Header().Set("Wait-Ms", strconv.FormatInt(p.set.RetryAfter.Milliseconds(), 10))
			w.WriteHeader(429)
			return
		}
		w.WriteHeader(503)
		return
	}
	if p.set.ServiceTime > 0 {
		time.Sleep(p.set.ServiceTime)
	}
	run()
	seen.OK = true
	if r.URL.Path == "/hook/batch" {
		json.NewEncoder(w).Encode(items)
	}
}

// watched notes what a call is answered, before the answer goes out: what comes after it is sent in knowledge of it.
type watched struct {
	http.ResponseWriter
	seen *Call
}

// Unwrap is for http.ResponseController.
func (w *watched) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *watched) WriteHeader(status int) {
	if status == 429 || status == 503 {
		w.seen.MayHaveRun = false
		if ms, err := strconv.Atoi(w.Header().Get("Wait-Ms")); err == nil {
			w.seen.RetryAfter = time.Duration(ms) * time.Millisecond
		}
	}
	w.ResponseWriter.WriteHeader(status)
}
