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

// Host runs the relays of one process. They share nothing but the numbered endpoint lists.
type Host struct {
	relays  map[int]*policy.Relay
	columns map[int][]string // of load reports, by relay
	lists   map[int][]Entry
}

// NewHost returns a host without relays.
func NewHost() *Host {
	return &Host{relays: map[int]*policy.Relay{}, columns: map[int][]string{}, lists: map[int][]Entry{}}
}

// Serve answers each line of in with one line on out until in ends. Errors name the line.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, 1<<16)
	writer := bufio.NewWriter(out)
	for lineNumber := 1; ; lineNumber++ {
		line, err := reader.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			if err := h.answer(line, writer); err != nil {
				return fmt.Errorf("line %d: %w", lineNumber, err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
	}
}

// answer handles one line of input and writes the reply.
func (h *Host) answer(line []byte, writer *bufio.Writer) error {
	batch, err := ParseBatch(line)
	if err != nil {
		return err
	}
	reply, err := h.Batch(batch)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(writer).Encode(reply); err != nil {
		return err
	}
	return writer.Flush()
}

// Batch handles one batch. Each relay gets its events in one step.
func (h *Host) Batch(batch Batch) (Reply, error) {
	reply := Reply{Actions: []Action{}}
	var order []int
	pending := map[int][]policy.Event{}
	for i := range batch.Events {
		event := &batch.Events[i]
		if event.Type == "REGISTER" {
			h.lists[*event.List] = event.Members
			continue
		}
		id := *event.Relay
		switch event.Type {
		case "BOOT":
			if err := h.boot(id, event); err != nil {
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
		var list []Entry
		if event.List != nil {
			list = h.lists[*event.List]
		}
		policyEvent, err := event.Translate(list, h.columns[id])
		if err != nil {
			return reply, fmt.Errorf("event %d: %w", i+1, err)
		}
		if _, seen := pending[id]; !seen || event.Type == "BOOT" {
			order = append(order, id)
		}
		if pending[id] == nil {
			pending[id] = []policy.Event{}
		}
		if policyEvent != nil {
			pending[id] = append(pending[id], policyEvent)
		}
	}
	for _, id := range order {
		events, due := pending[id]
		if !due {
			continue
		}
		delete(pending, id)
		reply.Actions = h.step(id, microseconds(*batch.TimeUs), events, reply.Actions)
	}
	return reply, nil
}

// boot starts a relay with the settings of the event.
func (h *Host) boot(id int, event *Event) error {
	settings, columns, err := config.ParseSettings(string(event.Info))
	if err != nil {
		return err
	}
	relay, err := policy.New(settings, event.Seed)
	if err != nil {
		return err
	}
	h.relays[id], h.columns[id] = relay, columns
	return nil
}

// step runs one relay. A panic of the policy engine becomes a BUG action and affects no other
// relay.
func (h *Host) step(id int, now policy.Time, events []policy.Event, actions []Action) (result []Action) {
	result = actions
	defer func() {
		if p := recover(); p != nil {
			result = append(actions[:len(actions):len(actions)],
				Action{Type: "BUG", Relay: id, Text: fmt.Sprint("panic: ", p)})
		}
	}()
	for _, action := range h.relays[id].Step(now, events) {
		result = append(result, ActionFromPolicy(id, action))
	}
	return result
}
