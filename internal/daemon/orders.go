package daemon

import (
	"context"
	"sync"

	"oatfold/internal/drain"
	"oatfold/internal/wire"
)

// This file carries out what operators order at the admin address. Of the processes of one relay
// only the one that serves, and does not leave, accepts orders: it passes on what it accepted to
// the next process, which would not learn of later ones. All others refuse.

// orders is the state of the operators' orders to one process.
type orders struct {
	mu       sync.Mutex
	closed   bool            // this process leaves
	open     context.Context // ends once it leaves
	close    context.CancelFunc
	recordMu sync.Mutex // guards the drain record in the state folder
}

func newOrders() *orders {
	o := &orders{}
	o.open, o.close = context.WithCancel(context.Background())
	return o
}

// accept carries out an order and reports whether this process may do so and did.
func (r *relay) acceptOrder(carryOut func(*wire.Server) bool) bool {
	r.orders.mu.Lock()
	defer r.orders.mu.Unlock()
	server := r.server.Load()
	return server != nil && !r.orders.closed && carryOut(server)
}

// closeOrders refuses orders from now on, and waits until none of those before is being recorded:
// the state folder belongs to the next process.
func (r *relay) closeOrders() {
	r.orders.mu.Lock()
	r.orders.closed = true
	r.orders.mu.Unlock()
	r.orders.close()
	r.orders.recordMu.Lock()
	defer r.orders.recordMu.Unlock()
}

// setDraining carries out an order to drain the relay or to end that.
func (r *relay) setDraining(drained bool) bool {
	return r.acceptOrder(func(server *wire.Server) bool {
		event := drain.HealthOK
		if drained {
			event = drain.HealthFail
		}
		server.HandleDrainEvent(event)
		go r.saveDrain(r.orders.open)
		return true
	})
}

// saveDrain records in the state folder whether operators have drained the relay, so that a drain
// survives a crash. It waits for the disk, so it runs on a goroutine of its own. It records the
// state at the time of the write, so concurrent calls may run in any order.
func (r *relay) saveDrain(ctx context.Context) {
	r.orders.recordMu.Lock()
	defer r.orders.recordMu.Unlock()
	server := r.server.Load()
	r.retryUntilDone(ctx, "drain state can't be saved; a crash would undo the last change", func() error {
		if ctx.Err() != nil {
			return nil
		}
		return r.stateDir.SetDrained(server.Drained() && !r.stopping.Load())
	})
}

// inheritDrain takes over what operators ordered from the process before. It records that before it
// serves: later orders, also those to a process that starts after this one, count for more. If it
// can't, that is tried again once it serves.
func (s *successor) inheritDrain(drained bool) {
	s.inheritedDrain = &drained
	if err := s.retry("drain state can't be saved", func() error { return s.stateDir.SetDrained(drained) }); err != nil {
		s.log.Warn("drain state not saved yet", "err", err)
	}
}
