package client

import "time"

// Observer receives the events of a client, on the goroutine where they happen: it must not block
// and must be safe for concurrent use. Package prom has one for Prometheus.
type Observer interface {
	HandIn(a Attempt, took time.Duration)   // an attempt that sent at least one byte has ended
	Done(r Result)                          // a message has its result
	Connection(relay string, failure error) // a new connection was opened, or failed
}

// noopObserver ignores all events.
type noopObserver struct{}

func (noopObserver) HandIn(Attempt, time.Duration) {}
func (noopObserver) Done(Result)                   {}
func (noopObserver) Connection(string, error)      {}
