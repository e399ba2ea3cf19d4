package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// relay is one relay of a deployment: its address, its state folder and its configuration.
type relay struct {
	root, dir, state string
	listen           string
	config           object
	starts           int
}

// process is one process of a relay.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

type object = map[string]any

// grade returns the settings of a class.
func grade(name, effect string, credit, late float64, promise, deadline, window int) object {
	return object{"name": name, "effect": effect, "group": "all", "credit": credit, "lateValue": late,
		"promiseUs": promise, "deadlineUs": deadline, "repeatWindowUs": window, "streamed": false}
}

// settings returns the settings of a small deployment: the figures of the pages' example.
func settings() object {
	return object{
		"clientHabits": object{"marksRetry": false}, "discovery": "push", "family": "deliver",
		"familyInfo": object{"batchByKind": []int{5, 1}, "callSlots": 16, "decay": "linear", "feeByZone": []float64{0},
			"notes":    "full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free",
			"reportX0": "share of the allowance that is left", "reportX1": "calls a second that the limit allows; 0 where there is none",
			"separateRoutes": []bool{false, false}, "turnedAwayPrice": 0.05},
		"fleetSize": 2,
		"grades": []object{
			grade("price-alert", "safe", 1, 0, 1_500_000, 6_000_000, 5_000_000),
			grade("order-relay", "keyed", 2, 0.3, 3_000_000, 20_000_000, 5_000_000),
			grade("fee-charge", "unsafe", 5, 0.3, 2_500_000, 20_000_000, 5_000_000),
		},
		"guarantees": object{"answerSlackUs": 20000, "askWithinUs": 10000000, "coldFrom": 0.2, "coldUs": 11000000,
			"drainGraceUs": 1000000, "fallUs": 3000000, "overloadFactor": 2.0},
		"kinds": []string{"broker", "small-partner"}, "me": 0, "myZone": "porto-dc1", "overShareWorth": 0.1,
		"policyLimits": object{"connIdleUs": 15000000, "connectTimeoutUs": 1500000, "cpuUsPerRequest": 0.0,
			"cpuUsPerS": 750000, "maxAttempts": 6, "maxOpen": 347, "maxRetryAfterUs": 3000000, "maxStreams": 1,
			"mayCancel": true, "peers": false, "probes": true, "retryAfter": true, "secondCopies": false},
		"prices": object{"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.04, "lateFail": 0.02,
			"moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.011, "waste": 0.042},
		"scoringMix": object{"whole": 0.5, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.3},
		"stage":      0, "stats": object{"columns": []string{}, "source": "off"}, "tenants": []object{},
		"tickUs": 5000, "tiers": []string{"partners"}, "weightSource": "off", "worthBy": "request",
		"zones": []string{"porto-dc1"},
	}
}

// newRelay makes the folder and the configuration of a relay.
func newRelay(root, dir, name, discovery string, known []instance, set object) (*relay, error) {
	r := &relay{root: root, dir: filepath.Join(dir, name)}
	r.state = filepath.Join(r.dir, "state")
	if err := os.MkdirAll(r.state, 0o700); err != nil {
		return nil, err
	}
	var err error
	if r.listen, err = freeAddr(); err != nil {
		return nil, err
	}
	r.config = object{"name": name, "listen": r.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"known":    object{"generation": 1, "reset": true, "instances": known},
		"settings": set}
	return r, nil
}

// start starts a process of the relay by the deploy file's run command and waits until it says yes:
// to GET /ready, or, for a second process, to GET /healthcheck at its own admin address.
func (r *relay) start(second bool, track func(*process)) (*process, error) {
	admin, err := freeAddr()
	if err != nil {
		return nil, err
	}
	r.starts++
	r.config["admin"] = admin
	raw, _ := json.Marshal(r.config)
	path := filepath.Join(r.dir, fmt.Sprintf("config%d.json", r.starts))
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.dir, fmt.Sprintf("log%d.txt", r.starts)))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", "exec bin/oatfold")
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.root, log, log
	cmd.Env = append(os.Environ(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+r.listen, "ROUTER_STATE="+r.state,
		"ROUTER_CONFIG="+path, "ROUTER_ADMIN="+admin, fmt.Sprint("ROUTER_DISCOVERY=", r.config["discovery"]))
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, exited: make(chan struct{}), log: log}
	go func() { cmd.Wait(); log.Close(); close(p.exited) }()
	track(p)
	url := "http://" + r.listen + "/ready"
	if second {
		url = "http://" + admin + "/healthcheck"
	}
	probe := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.exited:
			return nil, fmt.Errorf("the relay ended at its start, see %s", log.Name())
		default:
		}
		if a, err := probe.Get(url); err == nil {
			a.Body.Close()
			if a.StatusCode == 200 {
				return p, nil
			}
		}
	}
	p.kill()
	return nil, fmt.Errorf("the relay was not ready within 15 s")
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	if p == nil {
		return
	}
	p.cmd.Process.Kill()
	<-p.exited
}
