package testdouble

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// AnswerRepeaterConfig configures an AnswerRepeater.
type AnswerRepeaterConfig struct {
	Seed  uint64
	Share float64 // of the answers that are sent twice, from 0 to 1
	// MaxDelay bounds the delay of a second copy. Half of the copies have none: they are on their way
	// for so long that they meet the next call.
	MaxDelay time.Duration
	// OnCall is called when a call has been read, and with Completed set when its answer is written or
	// the relay has closed its connection, whichever is first. It may be nil.
	OnCall func(Call)
	// Receipts puts a unique body into each answer of 200 to a call with one message. Without it those
	// answers are all alike.
	Receipts bool
}

// AnswerRepeater is a proxy between relays and one endpoint that sends some answers a second time,
// byte for byte. It writes a copy only when it has read no further call on the connection, or right
// behind one, as if the copy and the call had crossed on their way.
type AnswerRepeater struct {
	Addr string // host:port that relays connect to

	config AnswerRepeaterConfig
	target string // of the endpoint
	ln     net.Listener
	client http.Client

	mu       sync.Mutex
	random   *rand.Rand
	conns    map[net.Conn]struct{}
	receipts int
	crossed  int
}

// StartAnswerRepeater starts a proxy to the endpoint at target until Close.
func StartAnswerRepeater(target string, config AnswerRepeaterConfig) (*AnswerRepeater, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	r := &AnswerRepeater{Addr: ln.Addr().String(), config: config, target: target, ln: ln,
		random: rand.New(rand.NewPCG(config.Seed, 17)), conns: map[net.Conn]struct{}{},
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	go r.acceptLoop()
	return r, nil
}

// Close stops the proxy and closes its connections.
func (r *AnswerRepeater) Close() {
	r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		conn.Close()
	}
	r.client.CloseIdleConnections()
}

// Connections counts the connections that are open now.
func (r *AnswerRepeater) Connections() int { r.mu.Lock(); defer r.mu.Unlock(); return len(r.conns) }

// Crossed counts the copies that met a call on their way.
func (r *AnswerRepeater) Crossed() int { r.mu.Lock(); defer r.mu.Unlock(); return r.crossed }

func (r *AnswerRepeater) acceptLoop() {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = struct{}{}
		r.mu.Unlock()
		go r.serve(conn)
	}
}

// serve forwards the calls of one connection.
func (r *AnswerRepeater) serve(conn net.Conn) {
	late := &lateCopy{conn: conn}
	defer func() {
		late.cancel()
		conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late.write() {
			r.mu.Lock()
			r.crossed++
			r.mu.Unlock()
		}
		ended := r.track(request, body)
		next := make(chan struct{}) // closed when a further byte, or the end of the connection, has come
		go func() {
			defer close(next)
			if _, err := reader.Peek(1); err != nil {
				ended()
			}
		}()
		answer, err := r.forward(request, body)
		ended()
		if err != nil {
			return
		}
		if _, err := conn.Write(answer); err != nil || request.Close {
			return
		}
		if delay, repeats := r.draw(); repeats {
			late.schedule(answer, delay)
		}
		<-next
	}
}

// track tells OnCall of a call, and of its end when the returned function is called first.
func (r *AnswerRepeater) track(request *http.Request, body []byte) (ended func()) {
	if r.config.OnCall == nil {
		return func() {}
	}
	items := []struct {
		ID string `json:"id"`
	}{{request.Header.Get("X-Correlation-Id")}}
	if request.URL.Path == "/hook/batch" {
		json.Unmarshal(body, &items) // the endpoint rejects what can't be read
	}
	call := Call{}
	for _, item := range items {
		call.IDs = append(call.IDs, item.ID)
	}
	r.config.OnCall(call)
	return sync.OnceFunc(func() {
		call.Completed = true
		r.config.OnCall(call)
	})
}

// draw decides whether an answer is sent twice, and after which delay; 0: with the next call.
func (r *AnswerRepeater) draw() (delay time.Duration, repeats bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.random.Float64() >= r.config.Share {
		return 0, false
	}
	if r.random.IntN(2) == 0 {
		return 0, true
	}
	return time.Duration(1 + r.random.Int64N(int64(r.config.MaxDelay))), true
}

// forward makes the call at the endpoint and returns the answer as it is written to the relay.
func (r *AnswerRepeater) forward(request *http.Request, body []byte) ([]byte, error) {
	call, err := http.NewRequest(request.Method, "http://"+r.target+request.URL.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	call.Header = request.Header.Clone()
	call.Header.Del("Connection")
	answer, err := r.client.Do(call)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, err
	}
	if r.config.Receipts && answer.StatusCode == http.StatusOK && len(content) == 0 {
		r.mu.Lock()
		r.receipts++
		content = fmt.Appendf(nil, "receipt %d", r.receipts)
		r.mu.Unlock()
	}
	text := fmt.Appendf(nil, "HTTP/1.1 %s\r\n", answer.Status)
	if wait := answer.Header.Get("Wait-Ms"); wait != "" {
		text = fmt.Appendf(text, "Wait-Ms: %s\r\n", wait)
	}
	if request.Close {
		text = append(text, "Connection: close\r\n"...)
	}
	return append(fmt.Appendf(text, "Content-Length: %d\r\n\r\n", len(content)), content...), nil
}

// lateCopy is the second copy of an answer that is still on its way on a connection.
type lateCopy struct {
	mu    sync.Mutex
	conn  net.Conn
	text  []byte // nil: none
	timer *time.Timer
}

// schedule writes the copy after delay, or with the next call if that comes first or delay is 0.
func (c *lateCopy) schedule(text []byte, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text = text
	if delay > 0 {
		c.timer = time.AfterFunc(delay, func() { c.write() })
	}
}

// write writes the copy, if there is one, and reports whether it did.
func (c *lateCopy) write() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.text == nil {
		return false
	}
	_, err := c.conn.Write(c.text)
	c.text = nil
	return err == nil
}

// cancel forgets the copy.
func (c *lateCopy) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.text = nil; c.timer != nil {
		c.timer.Stop()
	}
}
