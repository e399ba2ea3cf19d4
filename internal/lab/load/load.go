// Package load puts an open-loop load on a relay over real sockets. Messages are due at random
// times drawn in advance and don't wait for answers. Latency counts from the time when a message
// was due, so that a stalled relay is charged for all messages that it delays.
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

// Class is a message class of the load.
type Class struct {
	Name          string
	Share         float64
	TimeLeft      time.Duration // sent as X-Time-Left-Ms
	TargetLatency time.Duration
	Value         float64
	Effect        rules.Effect
	RepeatWindow  time.Duration
}

// DefaultMix is the mix of classes of the example deployment.
var DefaultMix = []Class{
	{Name: "price-alert", Share: 0.43, TimeLeft: 6 * time.Second, TargetLatency: 1500 * time.Millisecond, Value: 1},
	{Name: "order-relay", Share: 0.38, TimeLeft: 20 * time.Second, TargetLatency: 3 * time.Second, Value: 2,
		Effect: rules.Keyed, RepeatWindow: 5 * time.Second},
	{Name: "fee-charge", Share: 0.19, TimeLeft: 20 * time.Second, TargetLatency: 2500 * time.Millisecond,
		Value: 5, Effect: rules.Unsafe},
}

// Config configures a load.
type Config struct {
	Addr      string
	Rate      float64 // messages per second
	Duration  time.Duration
	Dests     []int // drawn uniformly
	Mix       []Class
	MaxConns  int // messages wait for a free connection, and their latency counts meanwhile
	BodyBytes int // minimum size of a message body
	Seed      uint64
	Watcher   Watcher // optional
}

// Watcher is notified of each message when it is sent and when it is answered. The status is 0 if
// no answer came.
type Watcher interface {
	MessageSent(id string, class Class, dest int)
	MessageAnswered(id string, status int)
}

// Check returns an error that names the first invalid setting.
func (c *Config) Check() error {
	for _, f := range []struct {
		name        string
		v, from, to float64
	}{{"rate", c.Rate, 0.01, 1e6}, {"for", c.Duration.Seconds(), 0.01, 600},
		{"conns", float64(c.MaxConns), 1, 10_000}, {"body", float64(c.BodyBytes), 0, 65_536 - 64},
		{"number of destinations", float64(len(c.Dests)), 1, 1e6},
		{"number of classes", float64(len(c.Mix)), 1, 100}} {
		if !(f.v >= f.from && f.v <= f.to) {
			return fmt.Errorf("%s: %g is not between %g and %g", f.name, f.v, f.from, f.to)
		}
	}
	if host, _, err := net.SplitHostPort(c.Addr); err != nil || net.ParseIP(host) == nil ||
		!net.ParseIP(host).IsLoopback() {
		return fmt.Errorf("addr: %q is not a loopback address with a port", c.Addr)
	}
	return nil
}

// Report is what the clients observed. AnswerTimes are in microseconds, from when a message was due
// to its answer.
type Report struct {
	Sent, Accepted, Rejected, Failed int
	Value                            float64 // of all messages sent
	AnswerTimes                      *hdrhistogram.Histogram
	MaxQueueDelay                    time.Duration // longest time that a message waited for a connection
}

// newHistogram returns a histogram of microseconds, up to a minute.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// scheduledMessage is a message and the time when it is due.
type scheduledMessage struct {
	number int
	class  *Class
	dest   int
	due    time.Time
}

// Run generates the load and returns when the last message is answered. The first line of a body is
// CLASS/NUMBER, the second the time when the message was due in nanoseconds, from which Meter
// computes its latency.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	report := &Report{AnswerTimes: newHistogram()}
	var mu sync.Mutex
	// The queue has capacity for all messages: a generator that waited for a connection would slow
	// down with the relay.
	queue := make(chan scheduledMessage, int(config.Rate*config.Duration.Seconds()*1.5)+1000)
	var wg sync.WaitGroup
	for range config.MaxConns {
		wg.Go(func() {
			c := &conn{addr: config.Addr}
			defer c.close()
			for scheduled := range queue {
				startedAt := time.Now()
				id := scheduled.id()
				if config.Watcher != nil {
					config.Watcher.MessageSent(id, *scheduled.class, scheduled.dest)
				}
				status, err := c.post(scheduled, id, config.BodyBytes)
				if config.Watcher != nil {
					config.Watcher.MessageAnswered(id, status)
				}
				took := time.Since(scheduled.due)
				mu.Lock()
				report.Sent++
				report.Value += scheduled.class.Value
				report.MaxQueueDelay = max(report.MaxQueueDelay, startedAt.Sub(scheduled.due))
				report.AnswerTimes.RecordValue(max(1, took.Microseconds()))
				switch {
				case err != nil:
					report.Failed++
				case status == 202 || status == 200:
					report.Accepted++
				case status == 429 || status == 503:
					report.Rejected++
				default:
					report.Failed++
				}
				mu.Unlock()
			}
		})
	}
	rng := rand.New(rand.NewPCG(config.Seed, 1))
	start := time.Now()
	totalShare := 0.0
	for _, c := range config.Mix {
		totalShare += c.Share
	}
	for n, at := 0, time.Duration(0); ctx.Err() == nil; n++ {
		at += time.Duration(rng.ExpFloat64() / config.Rate * float64(time.Second))
		if at > config.Duration {
			break
		}
		if wait := time.Until(start.Add(at)); wait > time.Millisecond {
			time.Sleep(wait)
		}
		position, class := rng.Float64()*totalShare, &config.Mix[0]
		for i := range config.Mix {
			if class = &config.Mix[i]; position < class.Share {
				break
			}
			position -= class.Share
		}
		select {
		case queue <- scheduledMessage{n, class, config.Dests[rng.IntN(len(config.Dests))], start.Add(at)}:
		default:
			return nil, errors.New("more messages are due than the queue holds")
		}
	}
	close(queue)
	wg.Wait()
	return report, ctx.Err()
}

// conn is a persistent connection to the relay.
type conn struct {
	addr   string
	sock   net.Conn
	reader *bufio.Reader
	buf    []byte
}

// close closes the connection; post opens a new one.
func (c *conn) close() {
	if c.sock != nil {
		c.sock.Close()
		c.sock = nil
	}
}

// answerTimeout is how long a client waits for an answer.
const answerTimeout = 30 * time.Second

// id returns the message's correlation id.
func (message scheduledMessage) id() string {
	return fmt.Sprintf("%016x", uint64(message.due.UnixNano())<<16|uint64(message.number)&0xffff)
}

// post sends a message and returns the status of the answer.
func (c *conn) post(message scheduledMessage, id string, size int) (status int, err error) {
	if c.sock == nil {
		if c.sock, err = net.DialTimeout("tcp", c.addr, answerTimeout); err != nil {
			c.sock = nil
			return 0, err
		}
		c.reader = bufio.NewReaderSize(c.sock, 1024)
	}
	head := fmt.Sprintf("%s/%d\n%d\n", message.class.Name, message.number, message.due.UnixNano())
	size = max(size, len(head))
	request := append(c.buf[:0], "POST /"...)
	request = append(request, message.class.Name...)
	request = append(request, " HTTP/1.1\r\nHost: relay\r\nX-Correlation-Id: "...)
	request = fmt.Appendf(request, "%s\r\nX-Time-Left-Ms: %d\r\nEnvelope: dest=%d\r\n", id,
		message.class.TimeLeft.Milliseconds(), message.dest)
	if message.class.Effect == rules.Keyed {
		request = fmt.Appendf(request, "Idempotency-Key: %032x\r\n", message.due.UnixNano())
	}
	request = fmt.Appendf(request, "Content-Length: %d\r\n\r\n%s", size, head)
	c.buf = append(request, bytes.Repeat([]byte("x"), size-len(head))...)
	c.sock.SetDeadline(time.Now().Add(answerTimeout))
	if _, err = c.sock.Write(c.buf); err == nil {
		var response *http.Response
		if response, err = http.ReadResponse(c.reader, nil); err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			if response.Body.Close(); response.Close {
				c.close()
			}
			return response.StatusCode, err
		}
	}
	c.close()
	return 0, err
}

// Meter measures what messages did at the partners.
type Meter struct {
	mu                  sync.Mutex
	classes             map[string]Class
	seen                map[string]bool
	Latency             *hdrhistogram.Histogram // from due to executed, in microseconds
	Completed           int
	Duplicates          int // messages executed more than once
	ForbiddenDuplicates int // messages of class fee-charge executed more than once
	WithinTarget        int
	Value               float64 // of the messages executed within their target latency
}

// NewMeter returns a meter for the classes of a mix.
func NewMeter(mix []Class) *Meter {
	m := &Meter{classes: map[string]Class{}, seen: map[string]bool{}, Latency: newHistogram()}
	for _, c := range mix {
		m.classes[c.Name] = c
	}
	return m
}

// Record records the execution of a message with the given body.
func (m *Meter) Record(body []byte) {
	now := time.Now()
	name, rest, _ := strings.Cut(string(body[:min(len(body), 128)]), "\n")
	at, _, _ := strings.Cut(rest, "\n")
	due, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return // not a message of this load
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
	if c := m.classes[class]; took <= c.TargetLatency {
		m.WithinTarget++
		m.Value += c.Value
	}
}

// CompletedCount returns how many messages were executed.
func (m *Meter) CompletedCount() int { m.mu.Lock(); defer m.mu.Unlock(); return m.Completed }

// Usage is the resource usage of a process.
type Usage struct {
	CPU       time.Duration
	PeakBytes int64 // peak resident memory
}

// cpuTick is the unit of CPU time in /proc (USER_HZ), which is fixed on Linux.
const cpuTick = 10 * time.Millisecond

// ReadUsage reads the usage of a process from /proc.
func ReadUsage(pid int) (usage Usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // the program's name may contain spaces
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return usage, fmt.Errorf("/proc/%d/stat: too short", pid)
	}
	for _, value := range fields[11:13] {
		ticks, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return usage, err
		}
		usage.CPU += time.Duration(ticks) * cpuTick
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return usage, err
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			if err != nil {
				return usage, err
			}
			usage.PeakBytes = kilobytes << 10
		}
	}
	return usage, nil
}
