package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"
	"golang.org/x/term"

	"oatfold/client"
)

// sendFlags are the flags of send. The message is the default for each line of a file.
type sendFlags struct {
	relays         []string
	message        messageLine
	timeLeft       time.Duration
	window         time.Duration
	answer         time.Duration
	file, progress string
	parallel       int
	json           bool
}

// messageLine is one message in a file of JSON lines.
type messageLine struct {
	Class    string        `json:"class"`
	Dest     *int          `json:"dest"`
	Key      string        `json:"key"`
	Effect   client.Effect `json:"effect"`
	WindowMs int64         `json:"window_ms"`
	LeftMs   int64         `json:"time_left_ms"`
	Body     *string       `json:"body"`
	Base64   []byte        `json:"body_base64"`
}

// sendOutcome is the result of a message as --json prints it.
type sendOutcome struct {
	Line    int     `json:"line,omitempty"`
	Result  string  `json:"result"`
	HandIns int     `json:"hand_ins"`
	Key     string  `json:"key,omitempty"`
	ID      string  `json:"id,omitempty"`
	Relay   string  `json:"relay,omitempty"`
	Stage   string  `json:"stage,omitempty"`
	Status  int     `json:"status,omitempty"`
	WaitsMs []int64 `json:"waits_ms,omitempty"`
	TookMs  float64 `json:"took_ms"`
	Error   string  `json:"error,omitempty"`
}

// sendCommand submits messages through the client library.
func sendCommand(o *options) *cobra.Command {
	f := &sendFlags{}
	dest := -1
	cmd := &cobra.Command{
		Use:   "send",
		Short: "Submit one message from standard input, or a file of JSON lines",
		Long: `Submit one message with standard input as its body, or with --file one message per line, as JSON:

  {"class":"fee-charge","dest":7,"effect":"unsafe","time_left_ms":15000,"key":"invoice-41","body":"..."}

body_base64 may replace body; missing keys are taken from the flags.
Exit codes: 0 all accepted, 1 unreadable file, 2 invalid command line, 3 rejected, 4 failed, 5 given up, 6 uncertain.
With several messages the highest of their codes is returned.`,
		Example: `  echo -n '{"amount":12}' | oatfold send --relay 10.0.0.4:8080,10.0.0.5:8080 --class fee-charge --dest 7 --time-left 15s
  oatfold send --relay 10.0.0.4:8080 --file charges.jsonl --parallel 16 --json`,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if dest >= 0 {
				f.message.Dest = &dest
			}
			return send(cmd.Context(), o, f, cmd.InOrStdin(), cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.relays, "relay", nil, "`host:port` of the relays, separated by commas")
	flags.StringVar(&f.message.Class, "class", "", "class of the message")
	flags.IntVar(&dest, "dest", -1, "number of the destination")
	flags.DurationVar(&f.timeLeft, "time-left", 5*time.Second, "time until the message's deadline")
	flags.StringVar(&f.message.Key, "key", "", "idempotency key (default: generated, except for safe messages)")
	flags.TextVar(&f.message.Effect, "effect", client.Unsafe, "effect of a second delivery: `safe, keyed or unsafe`")
	flags.DurationVar(&f.window, "window", client.DefaultWindow, "keyed: how long partners drop repeats")
	flags.DurationVar(&f.answer, "answer-timeout", client.DefaultAnswerTimeout, "maximum time for a relay's answer")
	flags.StringVar(&f.file, "file", "", "JSON lines, one message each; - for standard input")
	flags.IntVar(&f.parallel, "parallel", 16, "messages of a file in flight")
	flags.StringVar(&f.progress, "progress", "auto", "show the progress of a file on standard error: `auto, on or off`")
	flags.BoolVar(&f.json, "json", false, "print one JSON object per message")
	return cmd
}

// merge returns the message of a line, with the flags as defaults.
func (f *sendFlags) merge(l messageLine) (client.Message, error) {
	m := client.Message{Class: l.Class, Key: l.Key, Effect: l.Effect, Window: f.window, TimeLeft: f.timeLeft,
		Body: l.Base64}
	if m.Class == "" {
		m.Class = f.message.Class
	}
	if l.Body != nil {
		m.Body = []byte(*l.Body)
	}
	if l.WindowMs != 0 {
		m.Window = time.Duration(l.WindowMs) * time.Millisecond
	}
	if l.LeftMs != 0 {
		m.TimeLeft = time.Duration(l.LeftMs) * time.Millisecond
	}
	if l.Dest == nil {
		return m, errors.New("dest: missing")
	}
	m.Dest = *l.Dest
	return m, nil
}

// send submits one message or a file of messages.
func send(ctx context.Context, o *options, f *sendFlags, in io.Reader, out io.Writer) error {
	bar := f.progress == "on" || f.progress == "auto" && term.IsTerminal(int(os.Stderr.Fd()))
	switch {
	case len(f.relays) == 0:
		return usageError{errors.New("--relay is missing")}
	case f.file == "" && f.message.Class == "":
		return usageError{errors.New("--class is missing")}
	case f.file == "" && f.message.Dest == nil:
		return usageError{errors.New("--dest is missing")}
	case f.timeLeft <= 0 || f.window <= 0 || f.answer <= 0 || f.parallel < 1:
		return usageError{errors.New("--time-left, --window, --answer-timeout and --parallel must be greater than 0")}
	case f.progress != "auto" && f.progress != "on" && f.progress != "off":
		return usageError{fmt.Errorf("--progress: %q is none of auto, on, off", f.progress)}
	}
	config := client.Config{Relays: f.relays, AnswerTimeout: f.answer, MaxInFlight: f.parallel}
	if o.level < slog.LevelInfo {
		config.Log = o.log()
	}
	c, err := client.New(config)
	if err != nil {
		return usageError{err}
	}
	defer c.Close()
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	results := &tally{out: out, json: f.json, latency: hdrhistogram.New(1, 600_000_000, 3), counts: map[string]int{}}
	if f.file == "" {
		body, err := io.ReadAll(io.LimitReader(in, 1<<20))
		if err != nil {
			return fmt.Errorf("standard input: %w", err)
		}
		text := string(body)
		f.message.Body = &text
		m, err := f.merge(f.message)
		if err != nil {
			return usageError{err}
		}
		res, err := c.Send(ctx, m)
		results.record(0, res, err)
		return results.exit()
	}
	if f.file != "-" {
		file, err := os.Open(f.file)
		if err != nil {
			return err
		}
		defer file.Close()
		in = file
	}
	if bar {
		results.bars = mpb.New(mpb.WithOutput(os.Stderr))
		results.bar = results.bars.AddBar(0, mpb.PrependDecorators(decor.CurrentNoUnit("%d messages "),
			decor.AverageSpeed(0, "%.0f/s ")))
	}
	if err := sendLines(ctx, c, f, in, results); err != nil {
		return err
	}
	results.summary()
	return results.exit()
}

// sendLines submits one message per line, up to --parallel at once. An invalid line counts as a
// failed message and does not stop the others.
func sendLines(ctx context.Context, c *client.Client, f *sendFlags, in io.Reader, s *tally) error {
	var all sync.WaitGroup
	defer all.Wait()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		l := messageLine{Effect: f.message.Effect, Dest: f.message.Dest}
		err := json.Unmarshal(lines.Bytes(), &l)
		var m client.Message
		if err == nil {
			m, err = f.merge(l)
		}
		if err == nil {
			all.Add(1)
			if err = c.HandIn(ctx, m, func(r client.Result, err error) {
				s.record(n, r, err)
				all.Done()
			}); err != nil {
				all.Done()
			}
		}
		if err != nil {
			s.record(n, client.Result{Outcome: client.Failed}, err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("file: %w", err)
	}
	return nil
}

// tally prints and counts results. It is safe for concurrent use.
type tally struct {
	mu        sync.Mutex
	out       io.Writer
	json      bool
	bars      *mpb.Progress // nil: no progress is shown
	bar       *mpb.Bar
	latency   *hdrhistogram.Histogram // microseconds
	counts    map[string]int
	handIns   int
	startedAt time.Time
	worstExit int
}

// exitCodes are the exit codes of outcomes.
var exitCodes = map[client.Outcome]int{client.Taken: exitOK, client.Refused: exitRefused, client.Failed: exitFailed,
	client.GivenUp: exitGivenUp, client.Uncertain: exitUncertain}

// record prints and counts the result of line n; 0 is the only message.
func (s *tally) record(n int, r client.Result, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		s.startedAt = time.Now().Add(-r.Took)
	}
	o := sendOutcome{Line: n, Result: r.Outcome.String(), HandIns: r.HandIns, Key: r.Key, ID: r.ID, Relay: r.Relay,
		TookMs: r.Took.Seconds() * 1000}
	if last := len(r.Attempts) - 1; last >= 0 {
		o.Stage, o.Status = r.Attempts[last].Stage.String(), r.Attempts[last].Status
	}
	for _, w := range r.Waits {
		o.WaitsMs = append(o.WaitsMs, w.Milliseconds())
	}
	if err != nil {
		o.Error = err.Error()
	}
	s.counts[o.Result]++
	s.handIns += r.HandIns
	s.worstExit = max(s.worstExit, exitCodes[r.Outcome])
	s.latency.RecordValue(min(max(1, r.Took.Microseconds()), s.latency.HighestTrackableValue()))
	switch {
	case s.json:
		json.NewEncoder(s.out).Encode(o)
	case n == 0 && err == nil:
		fmt.Fprintf(s.out, "%s by %s, %d attempts, key %s\n", o.Result, o.Relay, o.HandIns, o.Key)
	case err != nil:
		fmt.Fprintf(s.out, "line %d: %s, %d attempts, key %s: %s\n", n, o.Result, o.HandIns, o.Key, o.Error)
	}
	if s.bar != nil {
		s.bar.Increment()
	}
}

// summary prints the totals of a file on standard error.
func (s *tally) summary() {
	if s.bar != nil {
		s.bar.SetTotal(-1, true)
		s.bars.Wait()
	}
	n := s.latency.TotalCount()
	if n == 0 {
		return
	}
	ms := func(q float64) float64 { return float64(s.latency.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(os.Stderr, "%d messages %v, %d attempts, %.0f per second; ms: p50 %.2f, p99 %.2f, max %.2f\n", n,
		s.counts, s.handIns,
		float64(n)/time.Since(s.startedAt).Seconds(), ms(50), ms(99), float64(s.latency.Max())/1000)
}

// exit returns the exit code of the worst result as an error.
func (s *tally) exit() error {
	if s.worstExit != exitOK {
		return exitError(s.worstExit)
	}
	return nil
}
