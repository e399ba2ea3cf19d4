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

// Mode selects how a partner answers calls.
type Mode int

// The modes of a partner.
const (
	Healthy             Mode = iota // runs calls within its limits
	Unresponsive                    // reads calls, runs nothing and never responds
	ResetBeforeRun                  // resets the connection after reading the call, which does not run
	ResetAfterRun                   // resets the connection after the call has run
	InternalError                   // responds 500; the call does not run
	Unavailable                     // responds 429 with Wait-Ms if RetryAfter is set, else 503
	RefusingConnections             // closes its listeners and all open connections
)

// PartnerConfig configures a partner. Zero values stand for the defaults given.
type PartnerConfig struct {
	Dest               int
	Kind               string            // empty: small-partner
	Zone               string            // empty: here
	EndpointZones      []string          // zone of each endpoint by index; missing or empty: Zone
	Endpoints          int               // number of endpoints; 0: 1
	Rate               float64           // calls per second over all endpoints; 0: no limit
	Burst              float64           // size of the token bucket in calls; 0: 1
	MaxConcurrentCalls int               // over all endpoints; 0: no limit
	RetryAfter         time.Duration     // sent with rejections; 0: none
	ServiceTime        time.Duration     // duration of a call
	ColdRateShare      float64           // share of Rate available right after an outage; 0: no warm-up
	WarmUpTime         time.Duration     // time after an outage until the full rate is available
	OverloadFactor     float64           // multiple of the current rate that makes it collapse in warm-up; 0: none
	Now                func() time.Time  // nil: time.Now
	OnCall             func(Call)        // called when a call arrives and when it completes; may be nil
	OnMessage          func(body []byte) // called for each message that runs, in place of the effect log; may be nil
}

// Call describes a call that a partner receives, on arrival and on completion. OK, GivenUp,
// MayHaveRun and RetryAfter hold on completion.
type Call struct {
	Dest       int
	IDs        []string
	ArrivedAt  time.Time
	Completed  bool
	OK         bool          // it ran and was answered with success
	GivenUp    bool          // its connection was closed before it could be answered
	MayHaveRun bool          // false only after a rejection with 429 or 503
	RetryAfter time.Duration // sent with the response
}

// Partner is a test double of a destination with its endpoints.
type Partner struct {
	config    PartnerConfig
	effectLog *EffectLog
	endpoints []*endpoint

	mu              sync.Mutex
	random          *rand.Rand
	mode            Mode
	rateShare       float64 // factor applied to the rate
	modeShare       float64 // share of the calls that mode applies to
	tokens          float64
	refilledAt      time.Time
	warmAt          time.Time
	recentCalls     []time.Time // calls of the last second during warm-up
	inFlight        int
	released        chan struct{} // closed to end unresponsive calls
	earlyCalls      int           // calls before retryAfterUntil
	retryAfterUntil time.Time
	rejectedCalls   int
	collapsed       bool
}

// endpointZone returns the zone of the endpoint with that index.
func (p *Partner) endpointZone(i int) string {
	if i < len(p.config.EndpointZones) && p.config.EndpointZones[i] != "" {
		return p.config.EndpointZones[i]
	}
	return p.config.Zone
}

// endpoint is one listener of a partner.
type endpoint struct {
	id, addr string
	server   *http.Server
}

// newPartner fills in the defaults of config and starts the endpoints.
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
	p := &Partner{config: config, effectLog: effectLog, random: rand.New(rand.NewPCG(seed, uint64(config.Dest))),
		released: make(chan struct{}), tokens: config.Burst, rateShare: 1}
	for i := range config.Endpoints {
		e := &endpoint{id: fmt.Sprintf("p%d-%d", config.Dest, i)}
		for attempt := 1; ; attempt++ { // another process may take the reserved port first
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

// listen starts to serve at the address of an endpoint.
func (p *Partner) listen(e *endpoint) error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: p}
	go e.server.Serve(ln)
	return nil
}

// close ends waiting calls and stops the endpoints.
func (p *Partner) close() {
	p.mu.Lock()
	p.endUnresponsiveCalls()
	p.mu.Unlock()
	for _, e := range p.endpoints {
		e.server.Close()
	}
}

// endUnresponsiveCalls ends the calls that wait in mode Unresponsive. The caller holds mu.
func (p *Partner) endUnresponsiveCalls() {
	close(p.released)
	p.released = make(chan struct{})
}

// EndpointIDs returns the instance ids of the endpoints in discovery.
func (p *Partner) EndpointIDs() (ids []string) {
	for _, e := range p.endpoints {
		ids = append(ids, e.id)
	}
	return ids
}

// Addresses returns the host:port of each endpoint.
func (p *Partner) Addresses() (all []string) {
	for _, e := range p.endpoints {
		all = append(all, e.addr)
	}
	return all
}

// SetMode applies a mode to a share of the calls, from 0 to 1. It aborts the calls that wait in
// mode Unresponsive. A change back to Healthy starts the warm-up, if one is configured. It fails
// where an endpoint can't listen again after RefusingConnections.
func (p *Partner) SetMode(m Mode, share float64) error {
	p.mu.Lock()
	previous := p.mode
	if p.mode, p.modeShare = m, share; m == Healthy && previous != Healthy && p.config.ColdRateShare > 0 {
		p.warmAt, p.recentCalls = p.config.Now().Add(p.config.WarmUpTime), nil
	}
	p.endUnresponsiveCalls()
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

// EarlyCalls counts calls before the end of a Retry-After that this partner sent. Calls in its
// first 100 ms don't count: they may have been sent before it arrived.
func (p *Partner) EarlyCalls() int { p.mu.Lock(); defer p.mu.Unlock(); return p.earlyCalls }

// RejectedCalls counts calls rejected because of the rate or concurrency limit.
func (p *Partner) RejectedCalls() int { p.mu.Lock(); defer p.mu.Unlock(); return p.rejectedCalls }

// Collapsed reports whether overload during warm-up made the partner unresponsive for good.
func (p *Partner) Collapsed() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.collapsed }

// SetRateShare multiplies the configured rate by share from now on; 1 restores it.
func (p *Partner) SetRateShare(share float64) {
	p.mu.Lock()
	p.rateShare = share
	p.mu.Unlock()
}

// currentRate returns the present rate in calls per second. The caller holds mu.
func (p *Partner) currentRate(now time.Time) float64 {
	return p.warmUpRate(now) * p.rateShare
}

// warmUpRate returns the rate without rateShare: it rises linearly during warm-up. The caller holds
// mu.
func (p *Partner) warmUpRate(now time.Time) float64 {
	if p.config.Rate == 0 || !now.Before(p.warmAt) || p.config.WarmUpTime == 0 {
		return p.config.Rate
	}
	warmUpProgress := 1 - p.warmAt.Sub(now).Seconds()/p.config.WarmUpTime.Seconds()
	return p.config.Rate * (p.config.ColdRateShare + (1-p.config.ColdRateShare)*warmUpProgress)
}

// admit decides how to answer a call, and whether it counts as in flight.
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
		if p.recentCalls = append(p.recentCalls, now); float64(len(p.recentCalls)) >
			max(2, p.config.OverloadFactor*rate) {
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

// startRetryAfter starts the period in which calls count as early. The caller holds mu.
func (p *Partner) startRetryAfter(now time.Time) {
	if p.config.RetryAfter > 0 {
		p.retryAfterUntil = now.Add(p.config.RetryAfter)
	}
}

// ServeHTTP answers calls with one message, or with a batch if the path is /hook/batch.
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
			p.effectLog.record(p.config.Dest, items[i].ID, items[i].Key, r.Header.Get("X-Form"), items[i].Body,
				p.config.Now())
			items[i] = entry{ID: items[i].ID, State: "ok"}
		}
	}
	call := Call{Dest: p.config.Dest, MayHaveRun: true}
	if p.config.OnCall != nil {
		for _, it := range items {
			call.IDs = append(call.IDs, it.ID)
		}
		call.ArrivedAt = time.Now()
		p.config.OnCall(call)
		call.Completed = true
		defer func() {
			call.GivenUp = r.Context().Err() != nil
			p.config.OnCall(call)
		}()
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

// callRecorder stores in call how it is answered, before the response is written.
type callRecorder struct {
	http.ResponseWriter
	call *Call
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *callRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader records a rejection and its Retry-After and writes the header.
func (w *callRecorder) WriteHeader(status int) {
	if status == 429 || status == 503 {
		w.call.MayHaveRun = false
		if ms, err := strconv.Atoi(w.Header().Get("Wait-Ms")); err == nil {
			w.call.RetryAfter = time.Duration(ms) * time.Millisecond
		}
	}
	w.ResponseWriter.WriteHeader(status)
}
