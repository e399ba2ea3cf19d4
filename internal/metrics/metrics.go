// Package metrics counts what a relay does and writes the counters in the text format of
// Prometheus. Counting and reading are safe for concurrent use and never block. The counters of a
// process start at zero.
package metrics

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
)

// Outcome is the final result of a message. It selects the metric that counts it.
type Outcome int

// The outcomes of a message.
const (
	Delivered Outcome = iota // a destination accepted it
	Returned                 // accepted, then returned by an outcome notification: its client may retry
	Rejected                 // never accepted: its client may retry
	GivenUp                  // accepted, then given up by an outcome notification: no retry
	Failed                   // never accepted, and a retry would not be either
	outcomeCount
)

// metricNames are the metrics by class; dropped and bad_gateway count two outcomes each.
var metricNames = [outcomeCount]string{Delivered: "passed", Returned: "dropped", Rejected: "dropped",
	GivenUp: "bad_gateway", Failed: "bad_gateway"}

// prefix begins the name of each metric.
const prefix = "edge_router_"

// classCounters are the counters of one message class, by outcome.
type classCounters [outcomeCount]atomic.Int64

// Set is the metrics of one process. The zero value has no classes. The counting methods of a nil
// Set do nothing.
type Set struct {
	classes                              atomic.Pointer[map[string]*classCounters]
	attempts, inProgress, known, skipped atomic.Int64
}

// AddClasses adds counters for classes that have none yet. It must not be called concurrently with
// itself.
func (s *Set) AddClasses(list []string) {
	if s == nil {
		return
	}
	all := map[string]*classCounters{}
	if was := s.classes.Load(); was != nil {
		maps.Copy(all, *was)
	}
	for _, name := range list {
		if all[name] == nil {
			all[name] = &classCounters{}
		}
	}
	s.classes.Store(&all)
}

// CountCompleted counts the outcome of a message. It ignores unknown classes, of which no message
// can be accepted.
func (s *Set) CountCompleted(name string, e Outcome) {
	if s == nil {
		return
	}
	if all := s.classes.Load(); all != nil && (*all)[name] != nil {
		(*all)[name][e].Add(1)
	}
}

// CountAttempts counts n messages that were completely written to an endpoint.
func (s *Set) CountAttempts(n int) {
	if s != nil {
		s.attempts.Add(int64(n))
	}
}

// SetInProgress sets the number of pending messages: accepted and not completed.
func (s *Set) SetInProgress(n int) {
	if s != nil {
		s.inProgress.Store(int64(n))
	}
}

// SetEndpoints sets how many endpoints are listed, and how many of them currently receive no calls.
func (s *Set) SetEndpoints(known, skipped int) {
	if s != nil {
		s.known.Store(int64(known))
		s.skipped.Store(int64(skipped))
	}
}

// AppendLine appends one sample, with a label unless value is empty.
func AppendLine(b []byte, name, label, value string, v int64) []byte {
	b = append(append(b, prefix...), name...)
	if value != "" {
		b = append(append(append(append(append(b, '{'), label...), `="`...), labelEscaper.Replace(value)...), `"}`...)
	}
	return append(strconv.AppendInt(append(b, ' '), v, 10), '\n')
}

// Append appends all metrics in the text format of Prometheus.
func (s *Set) Append(b []byte) []byte {
	line := func(name, category string, v int64) { b = AppendLine(b, name, "category", category, v) }
	if all := s.classes.Load(); all != nil {
		list := slices.Sorted(maps.Keys(*all))
		for _, name := range []string{"passed", "dropped", "bad_gateway"} {
			for _, c := range list {
				sum := int64(0)
				for e := range outcomeCount {
					if metricNames[e] == name {
						sum += (*all)[c][e].Load()
					}
				}
				line(name, c, sum)
			}
		}
	}
	line("upstream_tries", "", s.attempts.Load())
	line("in_progress", "", s.inProgress.Load())
	line("known_endpoints", "", s.known.Load())
	line("skipped_endpoints", "", s.skipped.Load())
	return b
}

// labelEscaper escapes the value of a label.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
