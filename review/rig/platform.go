package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is one entry of discovery's list.
type instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// notice is one line of an outcome notice.
type notice struct {
	Message   string `json:"message"`
	Outcome   string `json:"outcome"`
	RetryInMs int    `json:"retry_in_ms"`
}

// platform stands in for the agent of discovery: list, watch and notices.
type platform struct {
	addr     string
	rec      *record
	server   *http.Server
	onNotice func(notice)

	mu         sync.Mutex
	generation int64
	list       []instance
	changes    []change
	changed    chan struct{}
}

// change is an entry that changed with a generation.
type change struct {
	generation int64
	entry      instance
}

func newPlatform(rec *record, list []instance) (*platform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{addr: ln.Addr().String(), rec: rec, generation: 1, list: list, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", p.endpoints)
	mux.HandleFunc("POST /v1/notices", p.notices)
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(ln)
	return p, nil
}

func (p *platform) endpoints(w http.ResponseWriter, r *http.Request) {
	type answer struct {
		Generation int64      `json:"generation"`
		Reset      bool       `json:"reset"`
		Instances  []instance `json:"instances"`
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	deadline := time.After(time.Duration(min(hold, 60_000)) * time.Millisecond)
	p.mu.Lock()
	for from >= p.generation {
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
			p.mu.Lock()
		case <-deadline:
			p.mu.Lock()
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(answer{p.generation, false, []instance{}})
			p.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
	a := answer{Generation: p.generation, Instances: []instance{}}
	if from < 0 {
		a.Reset, a.Instances = true, p.list
	} else {
		for _, c := range p.changes {
			if c.generation > from {
				a.Instances = append(a.Instances, c.entry)
			}
		}
	}
	body, _ := json.Marshal(a)
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}

func (p *platform) notices(w http.ResponseWriter, r *http.Request) {
	var list []notice
	lines := bufio.NewScanner(r.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var n notice
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil || n.Message == "" {
			w.WriteHeader(400)
			return
		}
		list = append(list, n)
	}
	for _, n := range list {
		p.rec.add("notice %s %s retry_in_ms=%d", n.Message, n.Outcome, n.RetryInMs)
		if p.onNotice != nil {
			p.onNotice(n)
		}
	}
	w.WriteHeader(204)
}

func (p *platform) close() { p.server.Close() }

// freeAddr returns a loopback address that nobody listens at. Its port is below those that the system
// gives to outgoing connections.
func freeAddr() (addr string, err error) {
	for range 50 {
		addr = fmt.Sprintf("127.0.0.1:%d", 12_000+rand.IntN(20_000))
		var ln net.Listener
		if ln, err = net.Listen("tcp", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", fmt.Errorf("no free port: %w", err)
}
