package testdouble

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Effect records one run of a message at a partner.
type Effect struct {
	Name, ID, Key string
	Form          string // header X-Form of the call
	Dest, Size    int    // Size is the length of the body in bytes
	At            time.Time
	Deduplicated  bool // a repeat that the partner dropped because of its key
}

// EffectLog records the messages that ran at all partners of an environment.
type EffectLog struct {
	mu      sync.Mutex
	classes map[string]Class
	entries []Effect
	lastRun map[string]time.Time // by idempotency key, of keyed classes
	changes *changeSignal
}

// newEffectLog returns an empty log that signals changes.
func newEffectLog(classes []Class, changes *changeSignal) *EffectLog {
	l := &EffectLog{classes: map[string]Class{}, lastRun: map[string]time.Time{}, changes: changes}
	for _, c := range classes {
		l.classes[c.Name] = c
	}
	return l
}

// MessageName returns the name of a message, the first line of its body.
func MessageName(body []byte) string {
	name, _, _ := strings.Cut(string(body), "\n")
	return name
}

// className returns the class in a message name CLASS/ANYTHING.
func className(name string) string {
	class, _, _ := strings.Cut(name, "/")
	return class
}

// record adds a run of a message. A message of a keyed class takes effect once in its repeat
// window.
func (l *EffectLog) record(dest int, id, key, form string, body []byte, now time.Time) {
	e := Effect{Name: MessageName(body), ID: id, Key: key, Form: form, Dest: dest, Size: len(body), At: now}
	l.mu.Lock()
	if c := l.classes[className(e.Name)]; c.Effect == "keyed" {
		at, known := l.lastRun[key]
		if e.Deduplicated = known && now.Sub(at) < c.RepeatWindow; !e.Deduplicated {
			l.lastRun[key] = now
		}
	}
	l.entries = append(l.entries, e)
	l.mu.Unlock()
	l.changes.notify()
}

// Entries returns all runs so far, deduplicated repeats included.
func (l *EffectLog) Entries() []Effect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}

// Len returns the number of runs so far, deduplicated repeats included.
func (l *EffectLog) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// CountByName returns how often each message took effect; deduplicated repeats do not count.
func (l *EffectLog) CountByName() map[string]int {
	counts := map[string]int{}
	for _, e := range l.Entries() {
		if !e.Deduplicated {
			counts[e.Name]++
		}
	}
	return counts
}

// Duplicates describes the messages of a class that took effect more than once, sorted by name.
func (l *EffectLog) Duplicates(class string) (names []string) {
	for name, n := range l.CountByName() {
		if n > 1 && className(name) == class {
			names = append(names, fmt.Sprintf("%s (%d times)", name, n))
		}
	}
	slices.Sort(names)
	return names
}
