package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// partner stands in for one endpoint of a partner.
type partner struct {
	name    string
	addr    string
	rec     *record
	server  *http.Server
	service service
	ledger  *ledger // nil: none
}

// service says how long a call runs and how it is answered. A status of 0 leaves the call without an
// answer until its connection ends; a wait above 0 is told with the answer.
type service func(ids []string) (lasts time.Duration, status int, wait time.Duration)

func newPartner(rec *record, name string, service service, ledger *ledger) (*partner, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &partner{name: name, addr: ln.Addr().String(), rec: rec, service: service, ledger: ledger}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hook", p.one)
	mux.HandleFunc("POST /hook/batch", p.batch)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) })
	p.server = &http.Server{Handler: mux, IdleTimeout: 15 * time.Second}
	go p.server.Serve(ln)
	return p, nil
}

func (p *partner) one(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	p.run(w, r, []string{r.Header.Get("X-Correlation-Id")}, nil)
}

func (p *partner) batch(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var items []struct{ ID, Key, Body string }
	if json.Unmarshal(raw, &items) != nil || len(items) == 0 {
		w.WriteHeader(400)
		return
	}
	var ids []string
	type state struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	var states []state
	for _, it := range items {
		ids, states = append(ids, it.ID), append(states, state{it.ID, "ok"})
	}
	body, _ := json.Marshal(states)
	p.run(w, r, ids, body)
}

// run serves one call.
func (p *partner) run(w http.ResponseWriter, r *http.Request, ids []string, body []byte) {
	if p.ledger != nil {
		p.ledger.called(ids)
	}
	lasts, status, wait := p.service(ids)
	p.rec.add("call %s %v begins", p.name, ids)
	var done <-chan time.Time
	if status != 0 {
		done = time.After(lasts)
	}
	select {
	case <-done:
		p.rec.add("call %s %v answered %d, wait %v", p.name, ids, status, wait)
		if wait > 0 {
			w.Header().Set("Wait-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
		}
		w.WriteHeader(status)
		if status == 200 {
			w.Write(body)
			if p.ledger != nil {
				for _, id := range ids {
					p.ledger.ended(id, "delivered")
				}
			}
		}
	case <-r.Context().Done():
		p.rec.add("call %s %v: its connection ended", p.name, ids)
	}
}

func (p *partner) close() { p.server.Close() }
