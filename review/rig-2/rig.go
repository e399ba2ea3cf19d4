// Command rig-2 plays clients, partners and the platform for the cases of the second review, starts
// the relays as processes and checks what these parties saw.
package main

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type object = map[string]any

// Rig holds one run: its record, its temporary folder and all that it started.
type Rig struct {
	trouble bool
	dir     string // temporary folder
	root    string // of the repository
	began   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	procs  []*Proc
	broken []string
}

// NewRig opens the record of the case in folder.
func NewRig(folder string) *Rig {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	cannotRun(err)
	dir, err := os.MkdirTemp("", "rig-2-")
	cannotRun(err)
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	cannotRun(err)
	r := &Rig{trouble: os.Getenv("TROUBLE") != "0", dir: dir, root: root, began: time.Now(), file: f,
		record: bufio.NewWriter(f)}
	theRig = r
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ended
		cannotRun(fmt.Errorf("the run was told to end"))
	}()
	go func() { // a run must end by itself
		time.Sleep(115 * time.Second)
		cannotRun(fmt.Errorf("the run took too long"))
	}()
	return r
}

var theRig *Rig

// cannotRun ends the run with exit code 2 if err is set.
func cannotRun(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "could not run:", err)
	if theRig != nil {
		theRig.Log("could not run: %v", err)
		theRig.cleanUp()
	}
	os.Exit(2)
}

// Log writes one line to the record, with the time since the start.
func (r *Rig) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.record, format, args...)
	r.record.WriteByte('\n')
}

// Broken records that the rule was broken.
func (r *Rig) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Log("BROKEN %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
}

func (r *Rig) cleanUp() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range procs {
		<-p.Exited
	}
	r.mu.Lock()
	r.record.Flush()
	r.file.Close()
	r.mu.Unlock()
	os.RemoveAll(r.dir)
}

// Finish ends all processes and the run, with 1 if the rule was broken.
func (r *Rig) Finish() {
	r.mu.Lock()
	n := len(r.broken)
	for i, b := range r.broken {
		if i == 5 {
			break
		}
		fmt.Println("broken:", b)
	}
	r.mu.Unlock()
	r.Log("the rule was broken %d times", n)
	r.cleanUp()
	if n > 0 {
		os.Exit(1)
	}
	fmt.Println("the rule held")
	os.Exit(0)
}

var portMu sync.Mutex
var portsUsed = map[string]bool{}

// FreeAddr returns a free loopback address for TCP and UDP.
func FreeAddr() string {
	portMu.Lock()
	defer portMu.Unlock()
	for {
		// Below the ports that the system gives to outgoing connections.
		addr := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", addr)
		ln.Close()
		if err != nil {
			continue
		}
		u.Close()
		if !portsUsed[addr] {
			portsUsed[addr] = true
			return addr
		}
	}
}

// --- the relay as a process ---

// Proc is one process of a relay.
type Proc struct {
	Name    string
	Admin   string
	cmd     *exec.Cmd
	Exited  chan struct{}
	Err     error
	mu      sync.Mutex
	tail    []string
	readyCh chan struct{}
	once    sync.Once
}

// Relay is a relay whose processes share a state folder and a configuration.
type Relay struct {
	rig    *Rig
	Name   string
	Addr   string
	State  string
	Config string
	n      int
	admins [16]string // addresses for operators, used in turn
}

// NewRelay writes the configuration of a relay.
func (r *Rig) NewRelay(name string, config object) *Relay {
	rel := &Relay{rig: r, Name: name, Addr: FreeAddr(), State: filepath.Join(r.dir, name+"-state"),
		Config: filepath.Join(r.dir, name+".json")}
	cannotRun(os.Mkdir(rel.State, 0o700))
	config["name"], config["listen"] = name, rel.Addr
	rel.WriteConfig(config)
	return rel
}

// WriteConfig replaces the configuration file.
func (rel *Relay) WriteConfig(config object) {
	b, err := json.Marshal(config)
	cannotRun(err)
	cannotRun(os.WriteFile(rel.Config+".new", b, 0o600))
	cannotRun(os.Rename(rel.Config+".new", rel.Config))
}

// Start starts a process by the command run of the deploy file.
func (rel *Relay) Start(args ...string) *Proc {
	rel.n++
	p := &Proc{Name: fmt.Sprintf("%s#%d", rel.Name, rel.n), Admin: rel.admin(), Exited: make(chan struct{}),
		readyCh: make(chan struct{})}
	run := strings.TrimSpace(deployRun(rel.rig.root) + " " + strings.Join(args, " "))
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Dir = rel.rig.root
	tmp := filepath.Join(rel.rig.dir, "tmp-"+rel.Name)
	os.MkdirAll(tmp, 0o700)
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+rel.Config, "ROUTER_STATE="+rel.State,
		"ROUTER_ADMIN="+p.Admin, "TMPDIR="+tmp)
	out, err := p.cmd.StderrPipe()
	cannotRun(err)
	cannotRun(p.cmd.Start())
	rel.rig.mu.Lock()
	rel.rig.procs = append(rel.rig.procs, p)
	rel.rig.mu.Unlock()
	go func() {
		sc := bufio.NewScanner(out)
		sc.Buffer(make([]byte, 1<<20), 1<<20)
		for sc.Scan() {
			p.mu.Lock()
			p.tail = append(p.tail, sc.Text())
			if len(p.tail) > 4000 {
				p.tail = p.tail[1000:]
			}
			p.mu.Unlock()
			if strings.Contains(sc.Text(), "msg=ready") {
				p.once.Do(func() { close(p.readyCh) })
			}
		}
		p.Err = p.cmd.Wait()
		close(p.Exited)
	}()
	return p
}

// deployRun returns the command run of the deploy file.
func deployRun(root string) string {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	cannotRun(err)
	for _, line := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			s, err := strconv.Unquote(strings.TrimSpace(v))
			cannotRun(err)
			return s
		}
	}
	cannotRun(fmt.Errorf("no run in the deploy file"))
	return ""
}

// Signal sends a signal unless the process has ended.
func (p *Proc) Signal(s syscall.Signal) {
	select {
	case <-p.Exited:
	default:
		p.cmd.Process.Signal(s)
	}
}

// Ended reports whether the process has ended.
func (p *Proc) Ended() bool {
	select {
	case <-p.Exited:
		return true
	default:
		return false
	}
}

// Tail returns the log from the first line with text on, 40 lines at most; all but the last lines if
// there is none.
func (p *Proc) Tail(text string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	start := max(0, len(p.tail)-20)
	for i, l := range p.tail {
		if text != "" && strings.Contains(l, text) {
			start = i
			break
		}
	}
	return strings.Join(p.tail[start:min(len(p.tail), start+40)], "\n          | ")
}

// WaitReady waits until GET /ready answers 200.
func (rel *Relay) WaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if code := get("http://" + rel.Addr + "/ready"); code == 200 {
			return true
		}
	}
	return false
}

// Healthy waits until GET /healthcheck at the process's own address says yes.
func (p *Proc) Healthy(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && !p.Ended(); time.Sleep(10 * time.Millisecond) {
		if get("http://"+p.Admin+"/healthcheck") == 200 {
			return true
		}
	}
	return false
}

var pollClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func get(url string) int { return call("GET", url) }

// call makes a request and returns the status; 0: no answer.
func call(method, url string) int {
	req, err := http.NewRequest(method, url, nil)
	cannotRun(err)
	res, err := pollClient.Do(req)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, res.Body)
	res.Body.Close()
	return res.StatusCode
}

// --- the platform ---

// Endpoint is an entry of discovery's list.
type Endpoint struct {
	ID, Addr, Kind, State string
	Cell                  int
}

func (e Endpoint) json() object {
	return object{"instanceId": e.ID, "hostPort": e.Addr, "zone": "porto-dc1", "machineType": e.Kind,
		"cell": e.Cell, "lifecycle": e.State, "weight": 1.0, "startedAtMs": 0}
}

// Notice is a notice as the platform got it.
type Notice struct {
	At      time.Time
	Outcome string
}

// Platform is discovery and the receiver of notices.
type Platform struct {
	rig  *Rig
	Addr string

	mu      sync.Mutex
	gen     int
	list    []Endpoint
	changed chan struct{}
	asked   int // requests for the list
	server  *http.Server
	Notices map[string][]Notice
}

// Asked returns how many requests for the list have come.
func (p *Platform) Asked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

// Close ends the platform at this address.
func (p *Platform) Close() { p.server.Close() }

// NewPlatform serves the list at a free address.
func (r *Rig) NewPlatform(list []Endpoint) *Platform {
	p := &Platform{rig: r, gen: 1, list: list, changed: make(chan struct{}), Notices: map[string][]Notice{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRun(err)
	p.Addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", p.endpoints)
	mux.HandleFunc("POST /v1/notices", p.notices)
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(ln)
	return p
}

func (p *Platform) endpoints(w http.ResponseWriter, req *http.Request) {
	p.mu.Lock()
	p.asked++
	p.mu.Unlock()
	from, err := strconv.Atoi(req.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
	timer := time.After(time.Duration(hold) * time.Millisecond)
	for waited := false; ; {
		p.mu.Lock()
		changed, gen := p.changed, p.gen
		instances := []object{}
		full := err != nil || from != gen
		if full {
			for _, e := range p.list {
				instances = append(instances, e.json())
			}
		}
		p.mu.Unlock()
		if full || waited || hold == 0 {
			b, _ := json.Marshal(object{"generation": gen, "reset": full, "instances": instances})
			w.Header().Set("Content-Type", "application/json")
			w.Write(b)
			return
		}
		select {
		case <-changed:
		case <-timer:
			waited = true
		case <-req.Context().Done():
			return
		}
	}
}

// SetList replaces the list.
func (p *Platform) SetList(list []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
	p.gen++
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) notices(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		w.WriteHeader(400)
		return
	}
	now := time.Now()
	for _, line := range bytes.Split(bytes.TrimSpace(body), []byte("\n")) {
		var n struct {
			Message, Outcome string
			Retry            int `json:"retry_in_ms"`
		}
		if json.Unmarshal(line, &n) != nil || n.Message == "" {
			w.WriteHeader(400)
			return
		}
		p.mu.Lock()
		p.Notices[n.Message] = append(p.Notices[n.Message], Notice{now, n.Outcome})
		p.mu.Unlock()
		p.rig.Log("notice %s %s", n.Message, n.Outcome)
	}
	w.WriteHeader(204)
}

// Ended returns the first notice of a message.
func (p *Platform) Ended(id string) (Notice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.Notices[id]; len(n) > 0 {
		return n[0], true
	}
	return Notice{}, false
}

// --- partners ---

// Call is one message of a call that arrived whole.
type Call struct {
	At   time.Time
	ID   string
	Key  string
	Body []byte
}

// Partner is one endpoint of a destination. It answers each message with 200 after a time.
type Partner struct {
	rig     *Rig
	Addr    string
	ID      string
	Service func(c []Call) time.Duration // negative: never answers

	server *http.Server

	mu    sync.Mutex
	Calls []Call
	OK    map[string]time.Time // when the answer 200 was written
}

// NewPartner serves an endpoint at a free address.
func (r *Rig) NewPartner(id string, service func([]Call) time.Duration) *Partner {
	p := &Partner{rig: r, ID: id, Service: service, OK: map[string]time.Time{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRun(err)
	p.Addr = ln.Addr().String()
	p.server = &http.Server{Handler: p}
	go p.server.Serve(ln)
	return p
}

// Close ends the endpoint: new connections are refused.
func (p *Partner) Close() { p.server.Close() }

func (p *Partner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the call did not arrive whole
	}
	var calls []Call
	now := time.Now()
	switch req.URL.Path {
	case "/hook":
		calls = []Call{{now, req.Header.Get("X-Correlation-Id"), req.Header.Get("Idempotency-Key"), body}}
	case "/hook/batch":
		var items []struct{ ID, Key, Body string }
		if json.Unmarshal(body, &items) != nil {
			w.WriteHeader(400)
			return
		}
		for _, it := range items {
			b, _ := base64.StdEncoding.DecodeString(it.Body)
			calls = append(calls, Call{now, it.ID, it.Key, b})
		}
	default:
		w.WriteHeader(404)
		return
	}
	p.mu.Lock()
	p.Calls = append(p.Calls, calls...)
	p.mu.Unlock()
	ids := []string{}
	for _, c := range calls {
		ids = append(ids, c.ID)
	}
	p.rig.Log("call at %s: %s", p.ID, strings.Join(ids, " "))
	if d := p.Service(calls); d < 0 {
		<-req.Context().Done()
		p.rig.Log("call at %s given up: %s", p.ID, strings.Join(ids, " "))
		return
	} else {
		time.Sleep(d)
	}
	var answer []byte
	if req.URL.Path == "/hook/batch" {
		var items []object
		for _, c := range calls {
			items = append(items, object{"id": c.ID, "state": "ok"})
		}
		answer, _ = json.Marshal(items)
	}
	if req.Context().Err() != nil {
		p.rig.Log("connection gone before the answer of %s: %s", p.ID, strings.Join(ids, " "))
	}
	p.mu.Lock()
	for _, c := range calls {
		if _, ok := p.OK[c.ID]; !ok {
			p.OK[c.ID] = time.Now()
		}
	}
	p.mu.Unlock()
	w.Write(answer)
	p.rig.Log("200 of %s: %s", p.ID, strings.Join(ids, " "))
}

// Delivered reports when the first 200 for a message was written.
func (p *Partner) Delivered(id string) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.OK[id]
	return at, ok
}

// CallsOf lists the calls with a message.
func (p *Partner) CallsOf(id string) (out []Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.Calls {
		if c.ID == id {
			out = append(out, c)
		}
	}
	return out
}

// --- clients ---

// Sent is one hand-in of a message.
type Sent struct {
	ID, Class string
	Dest      int
	At        time.Time
	Left      time.Duration
	Status    int    // 0: no answer within 400 ms
	How       string // why there is no answer
	BodySize  int
	Answered  time.Time
}

// Conn is a connection of a client.
type Conn struct {
	sock net.Conn
	r    *bufio.Reader
}

// Dial opens a connection to the relay.
func Dial(addr string) (*Conn, error) {
	sock, err := net.DialTimeout("tcp", addr, 400*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &Conn{sock, bufio.NewReader(sock)}, nil
}

var idMu sync.Mutex
var lastID int

// NewID returns an id that was not used before.
func NewID() string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID++
	return fmt.Sprintf("%08x%08x", os.Getpid(), lastID)
}

// HandIn sends one message and waits 400 ms for the answer.
func (c *Conn) HandIn(rig *Rig, id, class, query string, dest int, left time.Duration, body []byte) (s Sent, open bool) {
	s = Sent{ID: id, Class: class, Dest: dest, Left: left, BodySize: len(body)}
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /%s%s HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: %d\r\n"+
		"Idempotency-Key: k%s\r\nContent-Length: %d\r\nEnvelope: dest=%d\r\n\r\n", class, query, s.ID,
		left.Milliseconds(), s.ID, len(body), dest)
	b.Write(body)
	s.At = time.Now()
	c.sock.SetDeadline(s.At.Add(400 * time.Millisecond))
	if _, err := c.sock.Write(b.Bytes()); err != nil {
		s.How = "write: " + err.Error()
		c.sock.Close()
		rig.Log("sent %s %s dest=%d: not written whole: %v", s.ID, class, dest, err)
		return s, false
	}
	res, err := http.ReadResponse(c.r, nil)
	s.Answered = time.Now()
	if err != nil {
		s.How = err.Error()
		c.sock.Close()
		rig.Log("sent %s %s dest=%d %d bytes: no answer: %v", s.ID, class, dest, len(body), err)
		return s, false
	}
	io.Copy(io.Discard, res.Body)
	s.Status = res.StatusCode
	rig.Log("sent %s %s dest=%d %d bytes left %v: %d", s.ID, class, dest, len(body), left, s.Status)
	if res.Close {
		c.sock.Close()
		return s, false
	}
	return s, true
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) (out []string) {
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// admin returns the operators' address for the next process.
func (rel *Relay) admin() string {
	i := rel.n % len(rel.admins)
	if rel.admins[i] == "" {
		rel.admins[i] = FreeAddr()
	}
	return rel.admins[i]
}

// Pool hands messages in on kept connections, as many as are needed.
type Pool struct {
	rig  *Rig
	mu   sync.Mutex
	addr string
	idle []*Conn
	Sent []Sent
}

// HandIn hands one message in and keeps its result.
func (p *Pool) HandIn(class, query string, dest int, left time.Duration, body []byte) Sent {
	return p.HandInAs(NewID(), class, query, dest, left, body)
}

// HandInAs is HandIn with an id.
func (p *Pool) HandInAs(id, class, query string, dest int, left time.Duration, body []byte) Sent {
	p.mu.Lock()
	var c *Conn
	if n := len(p.idle); n > 0 {
		c, p.idle = p.idle[n-1], p.idle[:n-1]
	}
	p.mu.Unlock()
	reused := c != nil
	if c == nil {
		var err error
		if c, err = Dial(p.addr); err != nil {
			return Sent{How: err.Error()}
		}
	}
	s, open := c.HandIn(p.rig, id, class, query, dest, left, body)
	if reused && s.Status == 0 && s.Answered.Sub(s.At) < 390*time.Millisecond {
		// A close between requests may have crossed it: it is sent once more on a new connection.
		if c, err := Dial(p.addr); err == nil {
			s, open = c.HandIn(p.rig, id, class, query, dest, left, body)
			return p.keep(c, s, open)
		}
	}
	return p.keep(c, s, open)
}

// keep keeps the result, and the connection if it is open.
func (p *Pool) keep(c *Conn, s Sent, open bool) Sent {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Sent = append(p.Sent, s)
	if open {
		p.idle = append(p.idle, c)
	}
	return s
}

// Taken lists the messages that were answered 202 or 200.
func (p *Pool) Taken() (out []Sent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.Sent {
		if s.Status == 202 || s.Status == 200 {
			out = append(out, s)
		}
	}
	return out
}
