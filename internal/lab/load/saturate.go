package load

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"strings"
	"time"

	"oatfold/internal/testdouble"
)

// RateResult is the result of one program under one rate.
type RateResult struct {
	Program            string
	OfferedRate        float64 // messages per second
	Sent, WithinTarget int
	Rejected           int
	Failed             int
	Duplicates         int
	P50, P99           time.Duration // from due to executed at the partner
	CPU                time.Duration // of the program, from its start to the last message
	PeakBytes          int64         // peak resident memory
	TargetKept         bool          // minWithinTarget was reached
}

// MessagesPerCPUSecond returns how many messages were executed within their target latency per
// second of CPU time.
func (result RateResult) MessagesPerCPUSecond() float64 {
	return float64(result.WithinTarget) / max(result.CPU.Seconds(), 0.01)
}

// minWithinTarget is the share of messages that must be executed within their target latency.
const minWithinTarget = 0.99

// SaturationConfig configures the search for the highest rate at which a program keeps the target
// latency.
type SaturationConfig struct {
	RelayBinary    string   // path of the relay's program
	ForwardCommand []string // gets --to ADDR,... as further arguments, and prints its own address on a line
	Rates          []float64
	Duration       time.Duration
	Dests          int
	MaxConns       int
	BodyBytes      int
	Seed           uint64
	Profile        func(addr string, rate float64) // optional
}

// Saturate runs the relay and a plain forwarder at increasing rates, each rate with a new process.
// A program that missed the target latency is not run at higher rates.
func Saturate(ctx context.Context, config SaturationConfig, each func(RateResult)) error {
	missedTarget := map[string]bool{}
	for _, rate := range config.Rates {
		for _, program := range []string{"relay", "forwarder"} {
			if missedTarget[program] || ctx.Err() != nil {
				continue
			}
			result, err := config.measureRate(ctx, program, rate)
			if err != nil {
				return fmt.Errorf("%s at %g/s: %w", program, rate, err)
			}
			missedTarget[program] = !result.TargetKept
			each(*result)
		}
	}
	return ctx.Err()
}

// measureRate runs one program under one rate, with new test doubles.
func (config SaturationConfig) measureRate(ctx context.Context, program string, rate float64) (*RateResult, error) {
	meter := NewMeter(DefaultMix)
	var partners []testdouble.PartnerConfig
	load := Config{Rate: rate, Duration: config.Duration, Mix: DefaultMix, MaxConns: config.MaxConns,
		BodyBytes: config.BodyBytes, Seed: config.Seed}
	for i := range config.Dests {
		load.Dests = append(load.Dests, i+1)
		partners = append(partners, testdouble.PartnerConfig{Dest: i + 1, OnMessage: meter.Record})
	}
	env, err := testdouble.NewEnvironment(
		testdouble.Config{Seed: config.Seed, Partners: partners, MaxConcurrentCalls: 256, MaxPending: 20_000,
			MaxDescriptors: 4096, DiskMB: 256})
	if err != nil {
		return nil, err
	}
	defer env.Close()
	pid := 0
	if program == "relay" {
		r, err := env.StartRelay(config.RelayBinary)
		if err != nil {
			return nil, err
		}
		load.Addr, pid = r.Addr, r.PID()
	} else {
		var addrs []string
		for _, p := range env.Partners {
			addrs = append(addrs, p.Addresses()...)
		}
		cmd, addr, err := startForwarder(ctx, config.ForwardCommand, addrs)
		if err != nil {
			return nil, err
		}
		defer func() { cmd.Process.Kill(); cmd.Wait() }()
		load.Addr, pid = addr, cmd.Process.Pid
	}
	report, err := Run(ctx, load)
	if err != nil {
		return nil, err
	}
	// Accepted messages may still be in flight; wait for them a limited time.
	for end := time.Now().Add(3 * time.Second); meter.CompletedCount() < report.Accepted && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	usage, err := ReadUsage(pid)
	if err != nil {
		return nil, err
	}
	meter.mu.Lock()
	defer meter.mu.Unlock()
	result := &RateResult{Program: program, OfferedRate: rate, Sent: report.Sent, WithinTarget: meter.WithinTarget,
		Rejected: report.Rejected, Failed: report.Failed, Duplicates: meter.Duplicates, CPU: usage.CPU, PeakBytes: usage.PeakBytes,
		P50: time.Duration(meter.Latency.ValueAtPercentile(50)) * time.Microsecond,
		P99: time.Duration(meter.Latency.ValueAtPercentile(99)) * time.Microsecond}
	result.TargetKept = float64(result.WithinTarget) >= minWithinTarget*float64(result.Sent)
	return result, nil
}

// startForwarder starts the forwarder and reads its address.
func startForwarder(ctx context.Context, command, to []string) (*exec.Cmd, string, error) {
	cmd := exec.CommandContext(ctx, command[0], append(command[1:], "--to", strings.Join(to, ","))...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, "", err
	}
	if err := cmd.Start(); err != nil {
		return nil, "", err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		return nil, "", fmt.Errorf("the forwarder did not start: %w", err)
	}
	return cmd, strings.TrimSpace(line), nil
}

// RunForwarder runs a plain forwarder for comparison, based on net/http/httputil.ReverseProxy: it
// stores nothing, retries nothing and distributes messages to the addresses in turn. It reports its
// address to print and serves until ctx is done.
func RunForwarder(ctx context.Context, to []string, print func(addr string)) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	next := make(chan string, len(to))
	for _, a := range to {
		next <- a
	}
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			a := <-next
			next <- a
			r.SetURL(&url.URL{Scheme: "http", Host: a})
			r.Out.URL.Path = "/hook"
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}
	srv := &http.Server{Handler: proxy}
	go func() { <-ctx.Done(); srv.Close() }()
	print(ln.Addr().String())
	if err := srv.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}
