package testdouble

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Notification is what a relay told the platform of a message.
type Notification struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryIn int    `json:"retry_in_ms"`
}

// instance is an entry of discovery's list.
type instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Dest      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
	changed   int
}

// Platform is discovery and the taker of notices. Its list is versioned; watches wait for what is newer.
type Platform struct {
	Addr string

	mu                sync.Mutex
	generation        int
	instances         map[string]*instance
	changed           chan struct{}
	notifications     []Notification
	onNotification    func(Notification)
	suspended         chan struct{} // not nil: nothing is answered until it is closed
	notificationDelay time.Duration // that a notice takes
	changes           *changeSignal
	server            *http.Server
	closed            chan struct{}
	extraServers      []*http.Server
}

// ServeWithAddresses serves the same list at an address of its own, with other addresses for the endpoints: what one relay is told that reaches partners by ways of
// its own. at maps an endpoint's address; one that it leaves out stays.
func (p *Platform) ServeWithAddresses(addresses map[string]string) (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) { p.writeEndpoints(w, r, addresses) })
	mux.HandleFunc("POST /v1/notices", p.serveNotifications)
	server := &http.Server{Handler: mux}
	p.mu.Lock()
	p.extraServers = append(p.extraServers, server)
	p.mu.Unlock()
	go server.Serve(ln)
	return ln.Addr().String(), nil
}

func newPlatform(partners map[int]*Partner, changes *changeSignal) (*Platform, error) {
	p := &Platform{generation: 1, instances: map[string]*instance{}, changed: make(chan struct{}), changes: changes, closed: make(chan struct{})}
	for _, partner := range partners {
		for i, e := range partner.endpoints {
			p.instances[e.id] = &instance{ID: e.id, HostPort: e.addr, Zone: partner.endpointZone(i), Kind: partner.config.Kind, Dest: partner.config.Dest,
				Lifecycle: "in_service", Weight: 1, changed: 1}
		}
	}
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	p.Addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", p.serveEndpoints)
	mux.HandleFunc("POST /v1/notices", p.serveNotifications)
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(ln)
	return p, nil
}

func (p *Platform) close() {
	close(p.closed)
	p.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.extraServers {
		s.Close()
	}
}

// Suspend makes the platform answer nothing until the returned function is called.
func (p *Platform) Suspend() (resume func()) {
	suspended := make(chan struct{})
	p.mu.Lock()
	p.suspended = suspended
	p.mu.Unlock()
	return sync.OnceFunc(func() {
		p.mu.Lock()
		p.suspended = nil
		p.mu.Unlock()
		close(suspended)
	})
}

func (p *Platform) waitWhileSuspended() {
	p.mu.Lock()
	suspended := p.suspended
	p.mu.Unlock()
	if suspended != nil {
		select {
		case <-suspended:
		case <-p.closed:
		}
	}
}

// SetLifecycle changes the state of an endpoint: in_service, terminating or terminated.
func (p *Platform) SetLifecycle(id, state string) {
	p.mu.Lock()
	p.generation++
	p.instances[id].Lifecycle, p.instances[id].changed = state, p.generation
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
}

func (p *Platform) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	p.writeEndpoints(w, r, nil)
}

func (p *Platform) writeEndpoints(w http.ResponseWriter, r *http.Request, addresses map[string]string) {
	p.waitWhileSuspended()
	from, err := strconv.Atoi(r.FormValue("from"))
	full := err != nil
	if holdMs, _ := strconv.Atoi(r.FormValue("hold_ms")); !full {
		timer := time.NewTimer(time.Duration(holdMs) * time.Millisecond)
		defer timer.Stop()
		for waiting := true; waiting; {
			p.mu.Lock()
			changed := p.changed
			waiting = p.generation <= from
			p.mu.Unlock()
			if waiting {
				select {
				case <-changed:
				case <-timer.C:
					waiting = false
				case <-r.Context().Done():
					return
				case <-p.closed:
					return
				}
			}
		}
	}
	p.mu.Lock()
	out := struct {
		Generation int        `json:"generation"`
		Reset      bool       `json:"reset"`
		Instances  []instance `json:"instances"`
	}{p.generation, full, []instance{}}
	for _, id := range slices.Sorted(maps.Keys(p.instances)) {
		if e := p.instances[id]; full && e.Lifecycle != "terminated" || !full && e.changed > from {
			listed := *e
			if to, ok := addresses[listed.HostPort]; ok {
				listed.HostPort = to
			}
			out.Instances = append(out.Instances, listed)
		}
	}
	p.mu.Unlock()
	json.NewEncoder(w).Encode(out)
}

// DelayNotifications has the platform take so long for each notice. One whose sender goes away meanwhile is not taken.
func (p *Platform) DelayNotifications(d time.Duration) {
	p.mu.Lock()
	p.notificationDelay = d
	p.mu.Unlock()
}

func (p *Platform) serveNotifications(w http.ResponseWriter, r *http.Request) {
	p.waitWhileSuspended()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	delay := p.notificationDelay
	p.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	var received []Notification
	for lines := bufio.NewScanner(bytes.NewReader(body)); lines.Scan(); {
		var n Notification
		if json.Unmarshal(lines.Bytes(), &n) != nil || n.Message == "" || n.Outcome != "given_up" && n.Outcome != "handed_back" {
			w.WriteHeader(400)
			return
		}
		received = append(received, n)
	}
	p.mu.Lock()
	p.notifications = append(p.notifications, received...)
	onNotification := p.onNotification
	p.mu.Unlock()
	for _, n := range received {
		if onNotification != nil {
			onNotification(n)
		}
	}
	w.WriteHeader(204)
	p.changes.notify()
}

// OnNotification makes f be told of each notice, before it is answered.
func (p *Platform) OnNotification(f func(Notification)) {
	p.mu.Lock()
	p.onNotification = f
	p.mu.Unlock()
}

// Notifications returns the notices by message.
func (p *Platform) Notifications() map[string]Notification {
	p.mu.Lock()
	defer p.mu.Unlock()
	byMessage := map[string]Notification{}
	for _, n := range p.notifications {
		byMessage[n.Message] = n
	}
	return byMessage
}
