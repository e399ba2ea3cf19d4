package testdouble

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// BuildRelay builds the relay into dir and returns the program's path.
func BuildRelay(dir string) (string, error) {
	bin := filepath.Join(dir, "oatfold")
	if out, err := exec.Command("go", "build", "-o", bin, "oatfold/cmd/oatfold").CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, out)
	}
	return bin, nil
}

// Relay is a real relay in a process of its own, with an address and a folder that last over its lives.
type Relay struct {
	Addr, StateDir string
	AdminAddr      string // the operators' address

	world  *Environment
	seat   *FleetConfig // nil: it is no part of a fleet
	bin    string
	args   []string
	config string

	mu   sync.Mutex
	cmd  *exec.Cmd
	log  []string // last lines of all lives
	life []string // and of this one
	runs chan struct{}
	err  error // of the last life
}

// FleetConfig is a relay's place in a fleet.
type FleetConfig struct {
	Number        int
	PeerListen    string   // where notes of others come in
	Peers         []string // where they go, by number
	Zone          string
	Zones         []string
	DiscoveryAddr string            // its own way to the platform; empty: the platform's address
	Members       string            // what the relay is told of membership; empty: nothing
	Choices       string            // and of choices that relays share
	OnLogLine     func(line string) // not nil: told of each line that the relay logs
}

const (
	logKept  = 50_000 // lines of each relay that are looked through; more than any test makes it log
	logShown = 400    // of these, the last ones are shown where a test fails
)

// StartRelay starts a relay of the world with these arguments and waits until it is ready.
func (w *Environment) StartRelay(bin string, args ...string) (*Relay, error) {
	r, err := w.newRelay(bin, args)
	if err != nil {
		return nil, err
	}
	return r, r.Start()
}

// NewRelay returns a further relay of the world, of the program of the last one, that is not started yet.
func (w *Environment) NewRelay() (*Relay, error) {
	w.mu.Lock()
	last := w.relays[len(w.relays)-1]
	w.mu.Unlock()
	return w.newRelay(last.bin, last.args)
}

// NewFleetRelay returns a relay of a fleet that is not started yet.
func (w *Environment) NewFleetRelay(bin string, seat *FleetConfig, args ...string) (*Relay, error) {
	r, err := w.newRelay(bin, args)
	if err != nil {
		return nil, err
	}
	r.seat = seat
	return r, r.WriteConfig()
}

func (w *Environment) newRelay(bin string, args []string) (*Relay, error) {
	addr, err := ReserveAddr()
	if err != nil {
		return nil, err
	}
	admin, err := ReserveAddr()
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	n := len(w.relays)
	r := &Relay{Addr: addr, AdminAddr: admin, StateDir: filepath.Join(w.dir, fmt.Sprintf("state%d", n)), world: w, bin: bin, args: args,
		config: filepath.Join(w.dir, fmt.Sprintf("config%d.json", n))}
	w.relays = append(w.relays, r)
	w.mu.Unlock()
	if err := os.Mkdir(r.StateDir, 0o700); err != nil {
		return nil, err
	}
	return r, r.WriteConfig()
}

// WriteConfig writes what the platform tells the relay.
func (r *Relay) WriteConfig() error {
	return os.WriteFile(r.config, r.world.configuration(filepath.Base(r.StateDir), r.Addr, r.seat), 0o600)
}

// configuration is what the platform tells a relay.
func (w *Environment) configuration(name, listen string, seat *FleetConfig) []byte {
	type object = map[string]any
	var grades []object
	for _, c := range w.set.Classes {
		grades = append(grades, object{"name": c.Name, "effect": c.Effect, "group": "all", "promiseUs": c.TargetLatency.Microseconds(),
			"deadlineUs": c.Deadline.Microseconds(), "repeatWindowUs": c.RepeatWindow.Microseconds(), "credit": c.Value, "lateValue": c.LateValue,
			"inTurn": c.Ordered})
	}
	config := object{"name": name, "listen": listen, "discovery": w.Platform.Addr, "seed": fmt.Sprintf("%016x", w.set.Seed),
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": w.set.MaxDescriptors, "disk_mb": w.set.DiskMB},
		"settings": object{"fleetSize": w.set.FleetSize, "tickUs": 5000, "discovery": "push", "weightSource": "off", "grades": grades,
			"kinds": []string{"broker", "small-partner"}, "zones": []string{"here"}, "tenants": []object{},
			"familyInfo": object{"callSlots": w.set.MaxConcurrentCalls, "batchByKind": []int{5, 1}, "separateRoutes": []bool{false, false},
				"feeByZone": []float64{0}, "decay": "linear"},
			"guarantees": object{"askWithinUs": 10_000_000, "coldFrom": 0.2, "coldUs": 11_000_000, "fallUs": 3_000_000, "overloadFactor": 2},
			"policyLimits": object{"connIdleUs": 15_000_000, "connectTimeoutUs": 1_500_000, "maxAttempts": 6, "maxOpen": w.set.MaxPending,
				"maxRetryAfterUs": 3_000_000, "retryAfter": true}}}
	if seat != nil {
		config["peer_listen"], config["peers"], config["members"] = seat.PeerListen, seat.Peers, seat.Members
		if seat.Choices != "" {
			config["choices"] = seat.Choices
		}
		if seat.DiscoveryAddr != "" {
			config["discovery"] = seat.DiscoveryAddr
		}
		config["seed"] = fmt.Sprintf("%016x", w.set.Seed+uint64(seat.Number)*7919)
		set := config["settings"].(object)
		set["me"], set["myZone"], set["zones"], set["fleetSize"] = seat.Number, seat.Zone, seat.Zones, len(seat.Peers)
		set["policyLimits"].(object)["peers"] = true
	}
	b, err := json.Marshal(config)
	if err != nil {
		panic(err) // plain maps of plain values
	}
	return b
}

// Start starts a relay that has ended, under its address and with its folder, and waits until it is ready.
func (r *Relay) Start() error {
	if err := r.launch(); err != nil {
		return err
	}
	return r.AwaitLog("msg=ready")
}

// StartNextProcess starts a further process of the same relay, with an operators' address of its own, and does not wait for it.
func (r *Relay) StartNextProcess() (*Relay, error) {
	admin, err := ReserveAddr()
	if err != nil {
		return nil, err
	}
	next := &Relay{Addr: r.Addr, StateDir: r.StateDir, AdminAddr: admin, world: r.world, bin: r.bin, args: r.args, config: r.config}
	r.world.mu.Lock()
	r.world.relays = append(r.world.relays, next)
	r.world.mu.Unlock()
	return next, next.launch()
}

// Launch starts it likewise and waits for nothing.
func (r *Relay) Launch() error { return r.launch() }

func (r *Relay) launch() error {
	cmd := exec.Command(r.bin, r.args...)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+r.config, "ROUTER_STATE="+r.StateDir, "ROUTER_ADMIN="+r.AdminAddr)
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	runs := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.runs, r.life = cmd, runs, r.life[:0]
	r.mu.Unlock()
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if r.seat != nil && r.seat.OnLogLine != nil {
				r.seat.OnLogLine(lines.Text())
			}
			r.mu.Lock()
			r.log, r.life = append(r.log, lines.Text()), append(r.life, lines.Text())
			if len(r.log) > logKept {
				r.log = r.log[1:]
			}
			if len(r.life) > logKept {
				r.life = r.life[1:]
			}
			r.mu.Unlock()
			r.world.news.tell()
		}
		err := cmd.Wait()
		r.mu.Lock()
		r.err = err
		r.mu.Unlock()
		close(runs)
		r.world.news.tell()
	}()
	return nil
}

// AwaitLog waits until the process has logged text.
func (r *Relay) AwaitLog(text string) error {
	ended := false
	err := r.world.WaitUntil("the relay to log "+text, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		select {
		case <-r.runs:
			ended = true
		default:
		}
		return ended || slices.ContainsFunc(r.life, func(line string) bool { return strings.Contains(line, text) })
	})
	if err == nil && ended {
		err = errors.New("the relay ended")
	}
	if err != nil {
		return fmt.Errorf("%w before it logged %s: %s", err, text, r.LogTail())
	}
	return nil
}

// Signal sends a signal to the process.
func (r *Relay) Signal(s syscall.Signal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return errors.New("not started")
	}
	return r.cmd.Process.Signal(s)
}

// PID is the process's number.
func (r *Relay) PID() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Pid
}

// Kill ends the process with SIGKILL and waits until it is gone.
func (r *Relay) Kill() {
	if r.Signal(syscall.SIGKILL) == nil {
		r.Wait()
	}
}

// Stop ends the process with SIGTERM and returns the error of its exit.
func (r *Relay) Stop() error {
	if err := r.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return r.Wait()
}

// Wait waits for the process's end.
func (r *Relay) Wait() error {
	r.mu.Lock()
	runs := r.runs
	r.mu.Unlock()
	if runs == nil {
		return errors.New("not started")
	}
	<-runs
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// LogTail is the last lines that the relay logged.
func (r *Relay) LogTail() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.log[max(0, len(r.log)-logShown):], "\n")
}

// CountLogLines counts the lines of the log that hold text.
func (r *Relay) CountLogLines(text string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.log {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// CallAdmin makes one call at the operators' address and returns its status and body.
func (r *Relay) CallAdmin(method, path string) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+r.AdminAddr+path, nil)
	if err != nil {
		return 0, "", err
	}
	res, err := (&http.Client{Timeout: hang}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// Metrics reads the relay's figures, by name with label.
func (r *Relay) Metrics() (map[string]int, error) {
	status, text, err := r.CallAdmin("GET", "/stats")
	if err != nil || status != 200 {
		return nil, fmt.Errorf("figures: status %d: %w", status, err)
	}
	all := map[string]int{}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		n, err := strconv.Atoi(value)
		if err != nil {
			return nil, fmt.Errorf("figures: %q: %w", line, err)
		}
		all[strings.TrimPrefix(name, "edge_router_")] = n
	}
	return all, nil
}
