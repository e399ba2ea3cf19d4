package client

import "time"

// Observer is told of what a client does, on the goroutine that does it: it must not block and must be safe for
// concurrent use. The package prom has one for Prometheus.
type Observer interface {
	HandIn(a Attempt, took time.Duration)   // a hand-in of which at least one byte went out has ended
	Done(r Result)                          // a message has its result
	Connection(relay string, failure error) // a new connection was tried
}

type noopObserver struct{}

func (noopObserver) HandIn(Attempt, time.Duration) {}
func (noopObserver) Done(Result)                   {}
func (noopObserver) Connection(string, error)      {}
