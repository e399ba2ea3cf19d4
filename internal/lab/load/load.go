// Package load puts load on a relay over real sockets, in open loop: messages are due at times that are drawn ahead and do not wait for
// answers, and a message's time counts from when it was due, so that a relay which stands still is charged for all that it kept waiting.
package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oatfold/internal/lab/rules"
)

// Class is a class of message in the mix.
type Class struct {
	Name          string
	Share         float64
	TimeLeft      time.Duration // time left that is told
	TargetLatency time.Duration
	Value         float64
	Effect        rules.Effect
	RepeatWindow  time.Duration
}

// DefaultMix is the usual one.
var DefaultMix = []Class{
	{Name: "price-alert", Share: 0.43, TimeLeft: 6 * time.Second, TargetLatency: 1500 * time.Millisecond, Value: 1},
	{Name: "order-relay", Share: 0.38, TimeLeft: 20 * time.Second, TargetLatency: 3 * time.Second, Value: 2, Effect: rules.Keyed, RepeatWindow: 5 * time.Second},
	{Name: "fee-charge", Share: 0.19, TimeLeft: 20 * time.Second, TargetLatency: 2500 * time.Millisecond, Value: 5, Effect: rules.Unsafe},
}

// Config sets a load.
type Config struct {
	Addr      string
	Rate      float64 // messages a second
	Duration  time.Duration
	Dests     []int // dealt to evenly
	Mix       []Class
	MaxConns  int // connections at most; messages that find none free wait, and their time runs
	BodyBytes int // bytes
	Seed      uint64
	Watcher   Watcher // nil: none
}

// Watcher is told of each hand-in, as it is sent and as its answer has come; status 0: none came.
type Watcher interface {
	MessageSent(id string, class Class, dest int)
	MessageAnswered(id string, status int)
}

// Check names the first setting with which there is no load.
func (c *Config) Check() error {
	for _, f := range []struct {
		name        string
		v, from, to float64
	}{{"rate", c.Rate, 0.01, 1e6}, {"for", c.Duration.Seconds(), 0.01, 600}, {"conns", float64(c.MaxConns), 1, 10_000}, {"body", float64(c.BodyBytes), 0, 65_536 - 64},
		{"number of destinations", float64(len(c.Dests)), 1, 1e6}, {"number of classes", float64(len(c.Mix)), 1, 100}} {
		if !(f.v >= f.from && f.v <= f.to) {
			return fmt.Errorf("%s: %g does not lie within %g and %g", f.name, f.v, f.from, f.to)
		}
	}
	if host, _, err := net.SplitHostPort(c.Addr); err != nil || net.ParseIP(host) == nil || !net.ParseIP(host).IsLoopback() {
		return fmt.Errorf("addr: %q is no loopback address with a port", c.Addr)
	}
	return nil
}

// Report is what the clients saw. Times are in microseconds, from when a message was due to its answer.
type Report struct {
	Sent, Accepted, Rejected, Failed int
	Value                            float64 // asked for
	AnswerTimes                      *hdrhistogram.Histogram
	MaxQueueDelay                    time.Duration // the longest that a message waited for a connection
}

// histogram counts microseconds up to a minute.
func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

type shot struct {
	no    int
	class *Class
	dest  int
	due   time.Time
}

// Run puts the load on and returns when the last message has its answer. Body's first line is CLASS/NUMBER, its second
// the time when the message was due, in nanoseconds, so that a partner can tell how late it came.
func Run(ctx context.Context, set Config) (*Report, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	rep := &Report{AnswerTimes: histogram()}
	var mu sync.Mutex
	// Room for all: a generator that waited for a free connection would slow down with the relay, and measure nothing.
	shots := make(chan shot, int(set.Rate*set.Duration.Seconds()*1.5)+1000)
	var wg sync.WaitGroup
	for range set.MaxConns {
		wg.Go(func() {
			c := &conn{addr: set.Addr}
			defer c.close()
			for s := range shots {
				began := time.Now()
				id := s.id()
				if set.Watcher != nil {
					set.Watcher.MessageSent(id, *s.class, s.dest)
				}
				status, err := c.post(s, id, set.BodyBytes)
				if set.Watcher != nil {
					set.Watcher.MessageAnswered(id, status)
				}
				took := time.Since(s.due)
				mu.Lock()
				rep.Sent++
				rep.Value += s.class.Value
				rep.MaxQueueDelay = max(rep.MaxQueueDelay, began.Sub(s.due))
				rep.AnswerTimes.RecordValue(max(1, took.Microseconds()))
				switch {
				case err != nil:
					rep.Failed++
				case status == 202 || status == 200:
					rep.Accepted++
				case status == 429 || status == 503:
					rep.Rejected++
				default:
					rep.Failed++
				}
				mu.Unlock()
			}
		})
	}
	rng := rand.New(rand.NewPCG(set.Seed, 1))
	start := time.Now()
	total := 0.0
	for _, c := range set.Mix {
		total += c.Share
	}
	for n, at := 0, time.Duration(0); ctx.Err() == nil; n++ {
		at += time.Duration(rng.ExpFloat64() / set.Rate * float64(time.Second))
		if at > set.Duration {
			break
		}
		if wait := time.Until(start.Add(at)); wait > time.Millisecond {
			time.Sleep(wait)
		}
		x, class := rng.Float64()*total, &set.Mix[0]
		for i := range set.Mix {
			if class = &set.Mix[i]; x < class.Share {
				break
			}
			x -= class.Share
		}
		select {
		case shots <- shot{n, class, set.Dests[rng.IntN(len(set.Dests))], start.Add(at)}:
		default:
			return nil, errors.New("more messages are due than have room")
		}
	}
	close(shots)
	wg.Wait()
	return rep, ctx.Err()
}

// conn is a connection that is kept.
type conn struct {
	addr string
	sock net.Conn
	in   *bufio.Reader
	buf  []byte
}

func (c *conn) close() {
	if c.sock != nil {
		c.sock.Close()
		c.sock = nil
	}
}

// answerWithin is how long a client waits; a relay answers in far less.
const answerWithin = 30 * time.Second

// id is the message's correlation id.
func (s shot) id() string {
	return fmt.Sprintf("%016x", uint64(s.due.UnixNano())<<16|uint64(s.no)&0xffff)
}

func (c *conn) post(s shot, id string, size int) (status int, err error) {
	if c.sock == nil {
		if c.sock, err = net.DialTimeout("tcp", c.addr, answerWithin); err != nil {
			c.sock = nil
			return 0, err
		}
		c.in = bufio.NewReaderSize(c.sock, 1024)
	}
	head := fmt.Sprintf("%s/%d\n%d\n", s.class.Name, s.no, s.due.UnixNano())
	size = max(size, len(head))
	b := append(c.buf[:0], "POST /"...)
	b = append(b, s.class.Name...)
	b = append(b, " HTTP/1.1\r\nHost: relay\r\nX-Correlation-Id: "...)
	b = fmt.Appendf(b, "%s\r\nX-Time-Left-Ms: %d\r\nEnvelope: dest=%d\r\n", id, s.class.TimeLeft.Milliseconds(), s.dest)
	if s.class.Effect == rules.Keyed {
		b = fmt.Appendf(b, "Idempotency-Key: %032x\r\n", s.due.UnixNano())
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", size, head)
	c.buf = append(b, bytes.Repeat([]byte("x"), size-len(head))...)
	c.sock.SetDeadline(time.Now().Add(answerWithin))
	if _, err = c.sock.Write(c.buf); err == nil {
		var res *http.Response
		if res, err = http.ReadResponse(c.in, nil); err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			if res.Body.Close(); res.Close {
				c.close()
			}
			return res.StatusCode, err
		}
	}
	c.close()
	return 0, err
}

// Meter is what messages did at the partners.
type Meter struct {
	mu                  sync.Mutex
	mix                 map[string]Class
	seen                map[string]bool
	Latency             *hdrhistogram.Histogram // from due to done, in microseconds
	Completed           int
	Duplicates          int // orders and charges among them: see Wrong
	ForbiddenDuplicates int // charges that ran twice, and orders that ran twice beyond any window
	WithinTarget        int
	Value               float64 // served within its aim
}

// NewMeter returns a meter for a mix.
func NewMeter(mix []Class) *Meter {
	m := &Meter{mix: map[string]Class{}, seen: map[string]bool{}, Latency: histogram()}
	for _, c := range mix {
		m.mix[c.Name] = c
	}
	return m
}

// Record is told of each body that ran.
func (m *Meter) Record(body []byte) {
	now := time.Now()
	name, rest, _ := strings.Cut(string(body[:min(len(body), 128)]), "\n")
	at, _, _ := strings.Cut(rest, "\n")
	due, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return // not of this load
	}
	class, _, _ := strings.Cut(name, "/")
	took := now.Sub(time.Unix(0, due))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen[name] {
		m.Duplicates++
		if class == "fee-charge" {
			m.ForbiddenDuplicates++
		}
		return
	}
	m.seen[name] = true
	m.Completed++
	m.Latency.RecordValue(max(1, took.Microseconds()))
	if c := m.mix[class]; took <= c.TargetLatency {
		m.WithinTarget++
		m.Value += c.Value
	}
}

// CompletedCount is how many have run.
func (m *Meter) CompletedCount() int { m.mu.Lock(); defer m.mu.Unlock(); return m.Completed }

// Usage is what a process has used.
type Usage struct {
	CPU       time.Duration
	PeakBytes int64 // bytes resident at most
}

// tick is the kernel's unit of CPU time in /proc, which Linux fixes for programs.
const tick = 10 * time.Millisecond

// ReadUsage reads the usage of a process from /proc.
func ReadUsage(pid int) (u Usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // the name of the program may hold spaces
	f := strings.Fields(rest)
	if len(f) < 13 {
		return u, fmt.Errorf("/proc/%d/stat: too short", pid)
	}
	for _, v := range f[11:13] {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return u, err
		}
		u.CPU += time.Duration(n) * tick
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(status)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(v), " kB"), 10, 64)
			if err != nil {
				return u, err
			}
			u.PeakBytes = kb << 10
		}
	}
	return u, nil
}
