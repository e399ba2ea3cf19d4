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

	mu         sync.Mutex
	generation int
	list       map[string]*instance
	changed    chan struct{}
	notices    []Notification
	watch      func(Notification)
	silent     chan struct{} // not nil: nothing is answered until it is closed
	slow       time.Duration // that a notice takes
	news       *news
	server     *http.Server
	end        chan struct{}
	views      []*http.Server
}

// ServeWithAddresses serves the same list at an address of its own, with other addresses for the endpoints: what one relay is told that reaches partners by ways of
// its own. at maps an endpoint's address; one that it leaves out stays.
func (p *Platform) ServeWithAddresses(at map[string]string) (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) { p.tell(w, r, at) })
	mux.HandleFunc("POST /v1/notices", p.notice)
	s := &http.Server{Handler: mux}
	p.mu.Lock()
	p.views = append(p.views, s)
	p.mu.Unlock()
	go s.Serve(ln)
	return ln.Addr().String(), nil
}

func newPlatform(partners map[int]*Partner, n *news) (*Platform, error) {
	p := &Platform{generation: 1, list: map[string]*instance{}, changed: make(chan struct{}), news: n, end: make(chan struct{})}
	for _, one := range partners {
		for i, e := range one.ends {
			p.list[e.id] = &instance{ID: e.id, HostPort: e.addr, Zone: one.zone(i), Kind: one.set.Kind, Dest: one.set.Dest,
				Lifecycle: "in_service", Weight: 1, changed: 1}
		}
	}
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	p.Addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", p.endpoints)
	mux.HandleFunc("POST /v1/notices", p.notice)
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(ln)
	return p, nil
}

func (p *Platform) close() {
	close(p.end)
	p.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.views {
		s.Close()
	}
}

// Suspend makes the platform answer nothing until the returned function is called.
func (p *Platform) Suspend() (speak func()) {
	ch := make(chan struct{})
	p.mu.Lock()
	p.silent = ch
	p.mu.Unlock()
	return sync.OnceFunc(func() {
		p.mu.Lock()
		p.silent = nil
		p.mu.Unlock()
		close(ch)
	})
}

func (p *Platform) hush() {
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	if silent != nil {
		select {
		case <-silent:
		case <-p.end:
		}
	}
}

// SetLifecycle changes the state of an endpoint: in_service, terminating or terminated.
func (p *Platform) SetLifecycle(id, state string) {
	p.mu.Lock()
	p.generation++
	p.list[id].Lifecycle, p.list[id].changed = state, p.generation
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
}

func (p *Platform) endpoints(w http.ResponseWriter, r *http.Request) { p.tell(w, r, nil) }

func (p *Platform) tell(w http.ResponseWriter, r *http.Request, at map[string]string) {
	p.hush()
	from, err := strconv.Atoi(r.FormValue("from"))
	whole := err != nil
	if hold, _ := strconv.Atoi(r.FormValue("hold_ms")); !whole {
		timer := time.NewTimer(time.Duration(hold) * time.Millisecond)
		defer timer.Stop()
		for waiting := true; waiting; {
			p.mu.Lock()
			ch := p.changed
			waiting = p.generation <= from
			p.mu.Unlock()
			if waiting {
				select {
				case <-ch:
				case <-timer.C:
					waiting = false
				case <-r.Context().Done():
					return
				case <-p.end:
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
	}{p.generation, whole, []instance{}}
	for _, id := range slices.Sorted(maps.Keys(p.list)) {
		if e := p.list[id]; whole && e.Lifecycle != "terminated" || !whole && e.changed > from {
			one := *e
			if to, ok := at[one.HostPort]; ok {
				one.HostPort = to
			}
			out.Instances = append(out.Instances, one)
		}
	}
	p.mu.Unlock()
	json.NewEncoder(w).Encode(out)
}

// DelayNotifications has the platform take so long for each notice. One whose sender goes away meanwhile is not taken.
func (p *Platform) DelayNotifications(d time.Duration) {
	p.mu.Lock()
	p.slow = d
	p.mu.Unlock()
}

func (p *Platform) notice(w http.ResponseWriter, r *http.Request) {
	p.hush()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	slow := p.slow
	p.mu.Unlock()
	select {
	case <-time.After(slow):
	case <-r.Context().Done():
		return
	}
	var got []Notification
	for lines := bufio.NewScanner(bytes.NewReader(body)); lines.Scan(); {
		var n Notification
		if json.Unmarshal(lines.Bytes(), &n) != nil || n.Message == "" || n.Outcome != "given_up" && n.Outcome != "handed_back" {
			w.WriteHeader(400)
			return
		}
		got = append(got, n)
	}
	p.mu.Lock()
	p.notices = append(p.notices, got...)
	watch := p.watch
	p.mu.Unlock()
	for _, n := range got {
		if watch != nil {
			watch(n)
		}
	}
	w.WriteHeader(204)
	p.news.tell()
}

// OnNotification makes f be told of each notice, before it is answered.
func (p *Platform) OnNotification(f func(Notification)) {
	p.mu.Lock()
	p.watch = f
	p.mu.Unlock()
}

// Notifications returns the notices by message.
func (p *Platform) Notifications() map[string]Notification {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]Notification{}
	for _, n := range p.notices {
		all[n.Message] = n
	}
	return all
}
