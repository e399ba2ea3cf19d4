package main

import (
	"sync"
	"time"
)

// ledger keeps what became of each message.
type ledger struct {
	mu   sync.Mutex
	byID map[string]*entry
}

// entry is what clients, partners and the platform know of one message.
type entry struct {
	m        *message
	sentAt   time.Time
	takenAt  time.Time // its client has heard that it is taken on; zero: never
	calls    int       // calls that came whole
	endedAt  time.Time // it was delivered or ended by a notice; zero: neither
	end      string
	firstRun time.Time // its first call came whole
}

func newLedger() *ledger { return &ledger{byID: map[string]*entry{}} }

func (l *ledger) sent(m *message) *entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &entry{m: m, sentAt: time.Now()}
	l.byID[m.id] = e
	return e
}

func (l *ledger) taken(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[id].takenAt = time.Now()
}

func (l *ledger) called(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		if e := l.byID[id]; e != nil {
			if e.calls++; e.firstRun.IsZero() {
				e.firstRun = time.Now()
			}
		}
	}
}

func (l *ledger) ended(id, end string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.byID[id]; e != nil && e.endedAt.IsZero() {
		e.endedAt, e.end = time.Now(), end
	}
}

// all returns copies of the entries.
func (l *ledger) all() (list []entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.byID {
		list = append(list, *e)
	}
	return list
}

// open counts the messages that were taken on and have no end.
func (l *ledger) open() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.byID {
		if !e.takenAt.IsZero() && e.endedAt.IsZero() {
			n++
		}
	}
	return n
}
