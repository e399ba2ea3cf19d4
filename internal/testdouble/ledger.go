package testdouble

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Effect is what a message did at a partner.
type Effect struct {
	Name, ID, Key string
	Form          string // X-Form of the call
	Dest, Size    int    // Size: bytes of the body
	At            time.Time
	Deduplicated  bool // a repeat that the partner dropped by its key
}

// EffectLog books the effects of all partners of a world.
type EffectLog struct {
	mu      sync.Mutex
	classes map[string]Class
	effects []Effect
	last    map[string]time.Time // by key, of keyed classes
	news    *news
}

func newLedger(classes []Class, n *news) *EffectLog {
	l := &EffectLog{classes: map[string]Class{}, last: map[string]time.Time{}, news: n}
	for _, c := range classes {
		l.classes[c.Name] = c
	}
	return l
}

// MessageName is the message's name in a body.
func MessageName(body []byte) string {
	name, _, _ := strings.Cut(string(body), "\n")
	return name
}

func classOf(name string) string {
	class, _, _ := strings.Cut(name, "/")
	return class
}

// book notes that a message ran. A keyed one takes effect once in its window.
func (l *EffectLog) book(dest int, id, key, form string, body []byte, now time.Time) {
	e := Effect{Name: MessageName(body), ID: id, Key: key, Form: form, Dest: dest, Size: len(body), At: now}
	l.mu.Lock()
	if c := l.classes[classOf(e.Name)]; c.Effect == "keyed" {
		at, known := l.last[key]
		if e.Deduplicated = known && now.Sub(at) < c.RepeatWindow; !e.Deduplicated {
			l.last[key] = now
		}
	}
	l.effects = append(l.effects, e)
	l.mu.Unlock()
	l.news.tell()
}

// Entries returns what took effect so far, repeats that were dropped among it.
func (l *EffectLog) Entries() []Effect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.effects)
}

// Len counts what took effect so far, repeats that were dropped among it.
func (l *EffectLog) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.effects)
}

// CountByName returns how often each message took effect.
func (l *EffectLog) CountByName() map[string]int {
	n := map[string]int{}
	for _, e := range l.Entries() {
		if !e.Deduplicated {
			n[e.Name]++
		}
	}
	return n
}

// Duplicates names the messages of a class that took effect more than once.
func (l *EffectLog) Duplicates(class string) (names []string) {
	for name, n := range l.CountByName() {
		if n > 1 && classOf(name) == class {
			names = append(names, fmt.Sprintf("%s (%d times)", name, n))
		}
	}
	slices.Sort(names)
	return names
}
