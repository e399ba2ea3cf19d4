// Package prom exports Prometheus metrics of clients. One Collector may serve several clients:
//
//	m := prom.New("billing")
//	prometheus.MustRegister(m)
//	c, err := client.New(client.Config{Relays: relays, Observer: m})
package prom

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oatfold/client"
)

// Collector is a client.Observer and a prometheus.Collector.
type Collector struct {
	handIns, results, connections *prometheus.CounterVec
	waits                         prometheus.Counter
	handIn                        *prometheus.HistogramVec
	message                       *prometheus.HistogramVec
	collectors                    []prometheus.Collector
}

var (
	_ client.Observer      = (*Collector)(nil)
	_ prometheus.Collector = (*Collector)(nil)
)

// buckets of the histograms, in seconds. 400 ms is client.DefaultAnswerTimeout.
var buckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .4, .8, 2, 5, 10, 20}

// New returns a collector whose metric names begin with namespace, unless that is empty.
func New(namespace string) *Collector {
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: namespace, Subsystem: "relay_client", Name: name, Help: help}
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: "relay_client", Name: name, Help: help,
			Buckets: buckets, NativeHistogramBucketFactor: 1.1}, labels)
	}
	c := &Collector{
		handIns: prometheus.NewCounterVec(prometheus.CounterOpts(opts(
			"hand_ins_total",
			"Requests of which a byte went out, by relay, X-Repeat mark and end: a status, or how far it came.")),
			[]string{"relay", "mark", "end"}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts(opts("messages_total", "Messages by result.")),
			[]string{"result"}),
		connections: prometheus.NewCounterVec(
			prometheus.CounterOpts(opts("connections_total", "New connections that were tried.")),
			[]string{"relay", "result"}),
		waits: prometheus.NewCounter(prometheus.CounterOpts(
			opts("refusal_wait_seconds_total", "Seconds of all waits after refusals."))),
		handIn:  histogram("hand_in_seconds", "From the first byte of a hand-in to its end.", "relay"),
		message: histogram("message_seconds", "From Send to the result.", "result"),
	}
	c.collectors = []prometheus.Collector{c.handIns, c.results, c.connections, c.waits, c.handIn, c.message}
	return c
}

// HandIn counts an attempt by relay, mark and result, and records its duration.
func (c *Collector) HandIn(a client.Attempt, took time.Duration) {
	result := a.Stage.String()
	if a.Stage == client.Answered {
		result = strconv.Itoa(a.Status)
	}
	c.handIns.WithLabelValues(a.Relay, a.Mark, result).Inc()
	c.handIn.WithLabelValues(a.Relay).Observe(took.Seconds())
}

// Done counts a message by result, and records its duration and waits.
func (c *Collector) Done(r client.Result) {
	c.results.WithLabelValues(r.Outcome.String()).Inc()
	c.message.WithLabelValues(r.Outcome.String()).Observe(r.Took.Seconds())
	for _, w := range r.Waits {
		c.waits.Add(w.Seconds())
	}
}

// Connection counts an attempt to connect.
func (c *Collector) Connection(relay string, failure error) {
	result := "made"
	if failure != nil {
		result = "failed"
	}
	c.connections.WithLabelValues(relay, result).Inc()
}

// Describe sends the descriptors of all metrics.
func (c *Collector) Describe(ch chan<- *prometheus.Desc) {
	for _, one := range c.collectors {
		one.Describe(ch)
	}
}

// Collect sends all metrics.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	for _, one := range c.collectors {
		one.Collect(ch)
	}
}
