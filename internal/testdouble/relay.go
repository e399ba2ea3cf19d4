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

// BuildRelay compiles the relay into dir and returns the path of the program.
func BuildRelay(dir string) (string, error) {
	bin := filepath.Join(dir, "oatfold")
	if out, err := exec.Command("go", "build", "-o", bin, "oatfold/cmd/oatfold").CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, out)
	}
	return bin, nil
}

// Relay runs the real relay as a process. Its addresses and its state directory stay the same when
// it is restarted.
type Relay struct {
	Addr, StateDir string
	AdminAddr      string // host:port of the admin interface

	env    *Environment
	fleet  *FleetConfig // nil: not part of a fleet
	bin    string
	args   []string
	config string // path of the configuration file

	mu         sync.Mutex
	cmd        *exec.Cmd
	allLog     []string      // last lines of all processes
	currentLog []string      // last lines of the current process
	exited     chan struct{} // closed when the current process has exited
	exitErr    error         // of the last process
}

// FleetConfig configures a relay as a member of a fleet.
type FleetConfig struct {
	Number        int      // index of this relay in Peers
	PeerListen    string   // address for gossip messages from other relays
	Peers         []string // gossip addresses of all relays by number
	Zone          string
	Zones         []string
	DiscoveryAddr string            // address of discovery; empty: the platform's
	Members       string            // configuration value "members"
	Choices       string            // configuration value "choices"; empty: not set
	OnLogLine     func(line string) // called with each line that the relay logs; may be nil
}

// Bounds of a relay's log.
const (
	maxLogLines  = 50_000 // kept for each relay: more than any test makes it log
	logTailLines = 400    // shown when a test fails
)

// StartRelay starts a relay with these arguments and waits until it is ready.
func (env *Environment) StartRelay(bin string, args ...string) (*Relay, error) {
	r, err := env.newRelay(bin, args)
	if err != nil {
		return nil, err
	}
	return r, r.Start()
}

// NewRelay returns a further relay with the program and arguments of the last one, without starting
// it. There must be an earlier one.
func (env *Environment) NewRelay() (*Relay, error) {
	env.mu.Lock()
	last := env.relays[len(env.relays)-1]
	env.mu.Unlock()
	return env.newRelay(last.bin, last.args)
}

// NewFleetRelay returns a relay that is a member of a fleet, without starting it.
func (env *Environment) NewFleetRelay(bin string, fleet *FleetConfig, args ...string) (*Relay, error) {
	r, err := env.newRelay(bin, args)
	if err != nil {
		return nil, err
	}
	r.fleet = fleet
	return r, r.WriteConfig()
}

// newRelay reserves addresses, creates the state directory and writes the configuration of a relay.
func (env *Environment) newRelay(bin string, args []string) (*Relay, error) {
	addr, err := ReserveAddr()
	if err != nil {
		return nil, err
	}
	admin, err := ReserveAddr()
	if err != nil {
		return nil, err
	}
	env.mu.Lock()
	index := len(env.relays)
	r := &Relay{Addr: addr, AdminAddr: admin, StateDir: filepath.Join(env.dir, fmt.Sprintf("state%d", index)),
		env: env, bin: bin, args: args, config: filepath.Join(env.dir, fmt.Sprintf("config%d.json", index))}
	env.relays = append(env.relays, r)
	env.mu.Unlock()
	if err := os.Mkdir(r.StateDir, 0o700); err != nil {
		return nil, err
	}
	return r, r.WriteConfig()
}

// WriteConfig writes the configuration file of the relay.
func (r *Relay) WriteConfig() error {
	return os.WriteFile(r.config, r.env.configJSON(filepath.Base(r.StateDir), r.Addr, r.fleet), 0o600)
}

// MoveDiscovery writes the configuration file with another address of discovery. Processes read it
// at their start and after SIGHUP.
func (r *Relay) MoveDiscovery(addr string) error {
	content, err := os.ReadFile(r.config)
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(content, &config); err != nil {
		return err
	}
	config["discovery"] = addr
	if content, err = json.Marshal(config); err != nil {
		return err
	}
	return os.WriteFile(r.config, content, 0o600)
}

// SpoilConfig writes a configuration file that no process can read.
func (r *Relay) SpoilConfig() error { return os.WriteFile(r.config, []byte("{"), 0o600) }

// configJSON returns the contents of the configuration file of a relay; fleet may be nil.
func (env *Environment) configJSON(name, listen string, fleet *FleetConfig) []byte {
	type object = map[string]any
	var grades []object
	for _, c := range env.config.Classes {
		grades = append(grades, object{"name": c.Name, "effect": c.Effect, "group": "all",
			"promiseUs": c.TargetLatency.Microseconds(), "deadlineUs": c.Deadline.Microseconds(),
			"repeatWindowUs": c.RepeatWindow.Microseconds(), "credit": c.Value, "lateValue": c.LateValue,
			"inTurn": c.Ordered})
	}
	config := object{"name": name, "listen": listen, "discovery": env.Platform.Addr,
		"seed": fmt.Sprintf("%016x", env.config.Seed),
		"limits": object{"cores": 1, "memory_mb": env.config.MemoryMB, "sockets": env.config.MaxDescriptors,
			"disk_mb": env.config.DiskMB},
		"settings": object{"fleetSize": env.config.FleetSize, "tickUs": 5000, "discovery": "push",
			"weightSource": "off", "grades": grades,
			"kinds": []string{"broker", "small-partner"}, "zones": []string{"here"}, "tenants": []object{},
			"familyInfo": object{"callSlots": env.config.MaxConcurrentCalls, "batchByKind": []int{5, 1},
				"separateRoutes": []bool{false, false}, "feeByZone": []float64{0}, "decay": "linear"},
			"guarantees": object{"askWithinUs": 10_000_000, "coldFrom": 0.2, "coldUs": 11_000_000,
				"fallUs": 3_000_000, "overloadFactor": 2},
			"policyLimits": object{"connIdleUs": 15_000_000, "connectTimeoutUs": 1_500_000,
				"maxAttempts": 6, "maxOpen": env.config.MaxPending,
				"maxRetryAfterUs": 3_000_000, "retryAfter": true}}}
	if fleet != nil {
		config["peer_listen"], config["peers"], config["members"] = fleet.PeerListen, fleet.Peers, fleet.Members
		if fleet.Choices != "" {
			config["choices"] = fleet.Choices
		}
		if fleet.DiscoveryAddr != "" {
			config["discovery"] = fleet.DiscoveryAddr
		}
		config["seed"] = fmt.Sprintf("%016x", env.config.Seed+uint64(fleet.Number)*7919)
		settings := config["settings"].(object)
		settings["me"], settings["myZone"], settings["zones"], settings["fleetSize"] =
			fleet.Number, fleet.Zone, fleet.Zones, len(fleet.Peers)
		settings["policyLimits"].(object)["peers"] = true
	}
	b, err := json.Marshal(config)
	if err != nil {
		panic(err) // maps of plain values always encode
	}
	return b
}

// Start starts a relay that is not running, with its addresses and state directory, and waits until
// it is ready.
func (r *Relay) Start() error {
	if err := r.launch(); err != nil {
		return err
	}
	return r.AwaitLog("msg=ready")
}

// StartNextProcess starts another process of the same relay, to take over from this one, with an
// admin address of its own. It does not wait until the process is ready.
func (r *Relay) StartNextProcess() (*Relay, error) {
	admin, err := ReserveAddr()
	if err != nil {
		return nil, err
	}
	next := &Relay{Addr: r.Addr, StateDir: r.StateDir, AdminAddr: admin, env: r.env, bin: r.bin, args: r.args,
		config: r.config}
	r.env.mu.Lock()
	r.env.relays = append(r.env.relays, next)
	r.env.mu.Unlock()
	return next, next.launch()
}

// Launch starts the relay like Start, without waiting until it is ready.
func (r *Relay) Launch() error { return r.launch() }

// launch starts the process and a goroutine that collects its log.
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
	exited := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.exited, r.currentLog = cmd, exited, r.currentLog[:0]
	r.mu.Unlock()
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if r.fleet != nil && r.fleet.OnLogLine != nil {
				r.fleet.OnLogLine(lines.Text())
			}
			r.mu.Lock()
			r.allLog, r.currentLog = append(r.allLog, lines.Text()), append(r.currentLog, lines.Text())
			if len(r.allLog) > maxLogLines {
				r.allLog = r.allLog[1:]
			}
			if len(r.currentLog) > maxLogLines {
				r.currentLog = r.currentLog[1:]
			}
			r.mu.Unlock()
			r.env.changes.notify()
		}
		err := cmd.Wait()
		r.mu.Lock()
		r.exitErr = err
		r.mu.Unlock()
		close(exited)
		r.env.changes.notify()
	}()
	return nil
}

// AwaitLog waits until the current process has logged a line with text. It fails if the process
// exits first.
func (r *Relay) AwaitLog(text string) error {
	exited := false
	err := r.env.WaitUntil("the relay to log "+text, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		select {
		case <-r.exited:
			exited = true
		default:
		}
		return exited ||
			slices.ContainsFunc(r.currentLog, func(line string) bool { return strings.Contains(line, text) })
	})
	if err == nil && exited {
		err = errors.New("the relay exited")
	}
	if err != nil {
		return fmt.Errorf("%w before it logged %s: %s", err, text, r.LogTail())
	}
	return nil
}

// Signal sends a signal to the current process.
func (r *Relay) Signal(s syscall.Signal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return errors.New("not started")
	}
	return r.cmd.Process.Signal(s)
}

// PID returns the process id. The relay must have been started.
func (r *Relay) PID() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Pid
}

// Kill sends SIGKILL and waits until the process has exited.
func (r *Relay) Kill() {
	if r.Signal(syscall.SIGKILL) == nil {
		r.Wait()
	}
}

// Stop sends SIGTERM, waits until the process has exited and returns its exit error.
func (r *Relay) Stop() error {
	if err := r.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return r.Wait()
}

// Wait waits until the process has exited and returns its exit error.
func (r *Relay) Wait() error {
	r.mu.Lock()
	exited := r.exited
	r.mu.Unlock()
	if exited == nil {
		return errors.New("not started")
	}
	<-exited
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exitErr
}

// LogTail returns the last lines that all processes of the relay logged.
func (r *Relay) LogTail() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.allLog[max(0, len(r.allLog)-logTailLines):], "\n")
}

// CountLogLines counts the log lines of all processes that contain text.
func (r *Relay) CountLogLines(text string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.allLog {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// CallAdmin sends a request to the admin interface and returns the status and body of the response.
func (r *Relay) CallAdmin(method, path string) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+r.AdminAddr+path, nil)
	if err != nil {
		return 0, "", err
	}
	res, err := (&http.Client{Timeout: maxWait}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// Metrics reads the relay's metrics, by name with labels and without the prefix "edge_router_".
func (r *Relay) Metrics() (map[string]int, error) {
	status, text, err := r.CallAdmin("GET", "/stats")
	if err != nil || status != 200 {
		return nil, fmt.Errorf("metrics: status %d: %w", status, err)
	}
	metrics := map[string]int{}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		n, err := strconv.Atoi(value)
		if err != nil {
			return nil, fmt.Errorf("metrics: %q: %w", line, err)
		}
		metrics[strings.TrimPrefix(name, "edge_router_")] = n
	}
	return metrics, nil
}
