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
	config    PartnerConfig
	effectLog *EffectLog
	endpoints []*endpoint

	mu              sync.Mutex
	random          *rand.Rand
	mode            Mode
	rateShare       float64 // part of the rate that it takes
	modeShare       float64 // of the calls that the mode is for
	tokens          float64
	refilledAt      time.Time
	warmAt          time.Time
	recentCalls     []time.Time // calls of the last second, while cold
	inFlight        int
	released        chan struct{} // closed when silence ends
	earlyCalls      int           // calls while a told wait ran
	retryAfterUntil time.Time
	rejectedCalls   int
	collapsed       bool
}

// endpointZone is where an endpoint lies.
func (p *Partner) endpointZone(i int) string {
	if i < len(p.config.EndpointZones) && p.config.EndpointZones[i] != "" {
		return p.config.EndpointZones[i]
	}
	return p.config.Zone
}

type endpoint struct {
	id, addr string
	server   *http.Server
}

func newPartner(config PartnerConfig, seed uint64, effectLog *EffectLog) (*Partner, error) {
	if config.Kind == "" {
		config.Kind = "small-partner"
	}
	if config.Zone == "" {
		config.Zone = "here"
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	config.Endpoints, config.Burst = max(1, config.Endpoints), max(1, config.Burst)
	p := &Partner{config: config, effectLog: effectLog, random: rand.New(rand.NewPCG(seed, uint64(config.Dest))), released: make(chan struct{}), tokens: config.Burst, rateShare: 1}
	for i := range config.Endpoints {
		e := &endpoint{id: fmt.Sprintf("p%d-%d", config.Dest, i)}
		for attempt := 1; ; attempt++ { // somebody else may take a port before it is listened at
			addr, err := ReserveAddr()
			if err == nil {
				e.addr = addr
				err = p.listen(e)
			}
			if err == nil {
				break
			}
			if attempt == 5 {
				return nil, err
			}
		}
		p.endpoints = append(p.endpoints, e)
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
	p.releaseHeldCalls()
	p.mu.Unlock()
	for _, e := range p.endpoints {
		e.server.Close()
	}
}

// releaseHeldCalls lets calls that were kept silent go. The caller holds mu.
func (p *Partner) releaseHeldCalls() {
	close(p.released)
	p.released = make(chan struct{})
}

// EndpointIDs names the endpoints as discovery does.
func (p *Partner) EndpointIDs() (ids []string) {
	for _, e := range p.endpoints {
		ids = append(ids, e.id)
	}
	return ids
}

// Addresses are where the endpoints listen.
func (p *Partner) Addresses() (all []string) {
	for _, e := range p.endpoints {
		all = append(all, e.addr)
	}
	return all
}

// SetMode puts a mode in force for that share of the calls (1: all). Calls that were kept silent break. A partner that
// comes back from an outage is cold, if it is set so.
func (p *Partner) SetMode(m Mode, share float64) error {
	p.mu.Lock()
	previous := p.mode
	if p.mode, p.modeShare = m, share; m == Healthy && previous != Healthy && p.config.ColdRateShare > 0 {
		p.warmAt, p.recentCalls = p.config.Now().Add(p.config.WarmUpTime), nil
	}
	p.releaseHeldCalls()
	p.mu.Unlock()
	if (m == RefusingConnections) == (previous == RefusingConnections) {
		return nil
	}
	for _, e := range p.endpoints {
		if m == RefusingConnections {
			e.server.Close()
		} else if err := p.listen(e); err != nil {
			return err
		}
	}
	return nil
}

// EarlyCalls counts calls that came while a wait that this partner had told ran, but for the first 100 ms of it.
func (p *Partner) EarlyCalls() int { p.mu.Lock(); defer p.mu.Unlock(); return p.earlyCalls }

// RejectedCalls counts calls turned away above a limit.
func (p *Partner) RejectedCalls() int { p.mu.Lock(); defer p.mu.Unlock(); return p.rejectedCalls }

// Collapsed tells whether it was pushed over while it was cold.
func (p *Partner) Collapsed() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.collapsed }

// SetRateShare has it take that part of its rate from now on; 1: all of it.
func (p *Partner) SetRateShare(share float64) {
	p.mu.Lock()
	p.rateShare = share
	p.mu.Unlock()
}

// currentRate is what it can take now. The caller holds mu.
func (p *Partner) currentRate(now time.Time) float64 {
	return p.warmUpRate(now) * p.rateShare
}

func (p *Partner) warmUpRate(now time.Time) float64 {
	if p.config.Rate == 0 || !now.Before(p.warmAt) || p.config.WarmUpTime == 0 {
		return p.config.Rate
	}
	warmUpProgress := 1 - p.warmAt.Sub(now).Seconds()/p.config.WarmUpTime.Seconds()
	return p.config.Rate * (p.config.ColdRateShare + (1-p.config.ColdRateShare)*warmUpProgress)
}

// admit says what becomes of a call.
func (p *Partner) admit() (Mode, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	if p.collapsed {
		return Unresponsive, false
	}
	if p.mode != Healthy && p.random.Float64() < p.modeShare {
		if p.mode == Unavailable {
			p.startRetryAfter(now)
		}
		return p.mode, false
	}
	if now.Before(p.retryAfterUntil) && now.After(p.retryAfterUntil.Add(100*time.Millisecond-p.config.RetryAfter)) {
		p.earlyCalls++
	}
	rate := p.currentRate(now)
	if p.config.OverloadFactor > 0 && now.Before(p.warmAt) {
		for len(p.recentCalls) > 0 && now.Sub(p.recentCalls[0]) > time.Second {
			p.recentCalls = p.recentCalls[1:]
		}
		if p.recentCalls = append(p.recentCalls, now); float64(len(p.recentCalls)) > max(2, p.config.OverloadFactor*rate) {
			p.collapsed = true
			return Unresponsive, false
		}
	}
	if rate > 0 {
		if !p.refilledAt.IsZero() {
			p.tokens = min(p.config.Burst, p.tokens+rate*now.Sub(p.refilledAt).Seconds())
		}
		if p.refilledAt = now; p.tokens < 1 {
			p.rejectedCalls++
			p.startRetryAfter(now)
			return Unavailable, false
		}
		p.tokens--
	}
	if p.config.MaxConcurrentCalls > 0 && p.inFlight >= p.config.MaxConcurrentCalls {
		p.rejectedCalls++
		p.startRetryAfter(now)
		return Unavailable, false
	}
	p.inFlight++
	return Healthy, true
}

func (p *Partner) startRetryAfter(now time.Time) {
	if p.config.RetryAfter > 0 {
		p.retryAfterUntil = now.Add(p.config.RetryAfter)
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
			if p.config.OnMessage != nil {
				p.config.OnMessage(items[i].Body)
				items[i] = entry{ID: items[i].ID, State: "ok"}
				continue
			}
			p.effectLog.record(p.config.Dest, items[i].ID, items[i].Key, r.Header.Get("X-Form"), items[i].Body, p.config.Now())
			items[i] = entry{ID: items[i].ID, State: "ok"}
		}
	}
	call := Call{Dest: p.config.Dest, MayHaveRun: true}
	if p.config.OnCall != nil {
		for _, it := range items {
			call.IDs = append(call.IDs, it.ID)
		}
		p.config.OnCall(call)
		call.Completed = true
		defer func() { p.config.OnCall(call) }()
		w = &callRecorder{w, &call}
	}
	p.mu.Lock()
	released := p.released
	p.mu.Unlock()
	mode, admitted := p.admit()
	p.effectLog.changes.notify()
	if admitted {
		defer func() { p.mu.Lock(); p.inFlight--; p.mu.Unlock() }()
	}
	switch mode {
	case Unresponsive:
		select {
		case <-released:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case ResetBeforeRun, ResetAfterRun, RefusingConnections:
		if mode == ResetAfterRun {
			run()
		}
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		return
	case InternalError:
		w.WriteHeader(500)
		return
	case Unavailable:
		if p.config.RetryAfter > 0 {
			w.Header().Set("Wait-Ms", strconv.FormatInt(p.config.RetryAfter.Milliseconds(), 10))
			w.WriteHeader(429)
			return
		}
		w.WriteHeader(503)
		return
	}
	if p.config.ServiceTime > 0 {
		time.Sleep(p.config.ServiceTime)
	}
	run()
	call.OK = true
	if r.URL.Path == "/hook/batch" {
		json.NewEncoder(w).Encode(items)
	}
}

// callRecorder notes what a call is answered, before the answer goes out: what comes after it is sent in knowledge of it.
type callRecorder struct {
	http.ResponseWriter
	call *Call
}

// Unwrap is for http.ResponseController.
func (w *callRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *callRecorder) WriteHeader(status int) {
	if status == 429 || status == 503 {
		w.call.MayHaveRun = false
		if ms, err := strconv.Atoi(w.Header().Get("Wait-Ms")); err == nil {
			w.call.RetryAfter = time.Duration(ms) * time.Millisecond
		}
	}
	w.ResponseWriter.WriteHeader(status)
}
