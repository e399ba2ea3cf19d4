package sim

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"oatfold/internal/daemon/config"
	"oatfold/policy"
)

// Host runs the relays of one process. They share nothing but the numbered lists of the wire.
type Host struct {
	relays  map[int]*policy.Relay
	columns map[int][]string // of each relay's load reports
	sheets  map[int][]Entry
}

// NewHost returns a host without relays.
func NewHost() *Host {
	return &Host{relays: map[int]*policy.Relay{}, columns: map[int][]string{}, sheets: map[int][]Entry{}}
}

// Serve answers each line of in with one line on out until in ends.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	w := bufio.NewWriter(out)
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			if err := h.answer(line, w); err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
	}
}

func (h *Host) answer(line []byte, w *bufio.Writer) error {
	b, err := ParseBatch(line)
	if err != nil {
		return err
	}
	reply, err := h.Batch(b)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(w).Encode(reply); err != nil {
		return err
	}
	return w.Flush()
}

// Batch takes one batch: the events of each relay are handed to it together.
func (h *Host) Batch(b Batch) (Reply, error) {
	reply := Reply{Actions: []Action{}}
	var order []int
	pending := map[int][]policy.Event{}
	for i := range b.Events {
		e := &b.Events[i]
		if e.What == "REGISTER" {
			h.sheets[*e.Sheet] = e.Members
			continue
		}
		id := *e.Relay
		switch e.What {
		case "BOOT":
			if err := h.boot(id, e); err != nil {
				return reply, fmt.Errorf("event %d: BOOT of relay %d: %w", i+1, id, err)
			}
			pending[id] = nil
		case "KILL":
			delete(h.relays, id)
			delete(pending, id)
			continue
		}
		if h.relays[id] == nil {
			continue
		}
		var sheet []Entry
		if e.Sheet != nil {
			sheet = h.sheets[*e.Sheet]
		}
		ev, err := e.Translate(sheet, h.columns[id])
		if err != nil {
			return reply, fmt.Errorf("event %d: %w", i+1, err)
		}
		if _, seen := pending[id]; !seen || e.What == "BOOT" {
			order = append(order, id)
		}
		if pending[id] == nil {
			pending[id] = []policy.Event{}
		}
		if ev != nil {
			pending[id] = append(pending[id], ev)
		}
	}
	for _, id := range order {
		events, due := pending[id]
		if !due {
			continue
		}
		delete(pending, id)
		reply.Actions = h.step(id, us(*b.Clock), events, reply.Actions)
	}
	return reply, nil
}

func (h *Host) boot(id int, e *Event) error {
	settings, columns, err := config.ParseSettings(string(e.Info))
	if err != nil {
		return err
	}
	relay, err := policy.New(settings, e.Seed)
	if err != nil {
		return err
	}
	h.relays[id], h.columns[id] = relay, columns
	return nil
}

// step runs one relay; a panic of the module is reported as such and ends nothing else.
func (h *Host) step(id int, now policy.Time, events []policy.Event, out []Action) (res []Action) {
	res = out
	defer func() {
		if p := recover(); p != nil {
			res = append(out[:len(out):len(out)], Action{What: "BUG", Relay: id, NoteText: fmt.Sprint("panic: ", p)})
		}
	}()
	for _, a := range h.relays[id].Step(now, events) {
		res = append(res, FromModule(id, a))
	}
	return res
}
