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

// Notification is an outcome notification: what a relay reports to the platform about a message.
type Notification struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryIn int    `json:"retry_in_ms"`
}

// instance is an endpoint in discovery's list.
type instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Dest      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
	changed   int     // generation of the last change
}

// Platform is a test double of service discovery and of the receiver of outcome notifications. Its
// endpoint list has a generation; a long poll waits until a newer one exists.
type Platform struct {
	Addr string // host:port

	mu                sync.Mutex
	generation        int
	instances         map[string]*instance
	changed           chan struct{}
	notifications     []Notification
	onNotification    func(Notification)
	suspended         chan struct{} // not nil: nothing is answered until it is closed; see Suspend
	notificationDelay time.Duration // delay before a notification is accepted
	changes           *changeSignal
	server            *http.Server
	closed            chan struct{}
	extraServers      []*http.Server
}

// ServeWithAddresses serves the same endpoint list at a further address, which it returns, with
// some endpoint addresses replaced: for a relay that reaches partners through proxies of its own.
// The keys of addresses are the original host:port; endpoints without a key keep theirs.
func (p *Platform) ServeWithAddresses(addresses map[string]string) (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) {
		p.writeEndpoints(w, r, addresses)
	})
	mux.HandleFunc("POST /v1/notices", p.serveNotifications)
	server := &http.Server{Handler: mux}
	p.mu.Lock()
	p.extraServers = append(p.extraServers, server)
	p.mu.Unlock()
	go server.Serve(ln)
	return ln.Addr().String(), nil
}

// newPlatform starts a platform that lists the endpoints of the partners as in service.
func newPlatform(partners map[int]*Partner, changes *changeSignal) (*Platform, error) {
	p := &Platform{generation: 1, instances: map[string]*instance{}, changed: make(chan struct{}), changes: changes,
		closed: make(chan struct{})}
	for _, partner := range partners {
		for i, e := range partner.endpoints {
			p.instances[e.id] = &instance{ID: e.id, HostPort: e.addr, Zone: partner.endpointZone(i),
				Kind: partner.config.Kind, Dest: partner.config.Dest, Lifecycle: "in_service", Weight: 1, changed: 1}
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

// close stops all servers and ends waiting requests.
func (p *Platform) close() {
	close(p.closed)
	p.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.extraServers {
		s.Close()
	}
}

// Suspend makes the platform leave all requests unanswered until resume is called.
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

// waitWhileSuspended blocks a request until the platform is resumed or closed.
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

// SetLifecycle changes the state of an endpoint, to in_service, terminating or terminated, and
// wakes long polls.
func (p *Platform) SetLifecycle(id, state string) {
	p.mu.Lock()
	p.generation++
	p.instances[id].Lifecycle, p.instances[id].changed = state, p.generation
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
}

// serveEndpoints serves the list with the original addresses.
func (p *Platform) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	p.writeEndpoints(w, r, nil)
}

// writeEndpoints answers with the full list, or with the changes after generation "from": then it
// waits for one for up to hold_ms.
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

// DelayNotifications delays the acceptance of each notification by d. A notification whose sender
// disconnects meanwhile is dropped.
func (p *Platform) DelayNotifications(d time.Duration) {
	p.mu.Lock()
	p.notificationDelay = d
	p.mu.Unlock()
}

// serveNotifications accepts outcome notifications, one JSON object a line, or rejects all of a
// request with 400.
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
		if json.Unmarshal(lines.Bytes(), &n) != nil || n.Message == "" ||
			n.Outcome != "given_up" && n.Outcome != "handed_back" {
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

// OnNotification sets a function that is called with each accepted notification, before the
// response.
func (p *Platform) OnNotification(f func(Notification)) {
	p.mu.Lock()
	p.onNotification = f
	p.mu.Unlock()
}

// Notifications returns the last notification of each message, by message id.
func (p *Platform) Notifications() map[string]Notification {
	p.mu.Lock()
	defer p.mu.Unlock()
	byMessage := map[string]Notification{}
	for _, n := range p.notifications {
		byMessage[n.Message] = n
	}
	return byMessage
}
