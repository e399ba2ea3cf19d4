package command

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"oatfold/internal/lab/load"
)

// loadCommand puts load on a running relay.
func loadCommand() *cobra.Command {
	config := load.Config{Mix: load.DefaultMix}
	var pid int
	cmd := &cobra.Command{Use: "load ADDR", Short: "Put open-loop load on a relay on loopback",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			config.Addr = args[0]
			var usageBefore load.Usage
			var err error
			if pid > 0 {
				if usageBefore, err = load.ReadUsage(pid); err != nil {
					return err
				}
			}
			result, err := load.Run(cmd.Context(), config)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "sent %d: accepted %d, rejected %d, failed %d; value %.0f\n", result.Sent,
				result.Accepted, result.Rejected, result.Failed, result.Value)
			for _, p := range []float64{50, 90, 99, 99.9, 100} {
				fmt.Fprintf(out, "answer time, percentile %g: %.3f ms\n", p,
					float64(result.AnswerTimes.ValueAtPercentile(p))/1e3)
			}
			fmt.Fprintf(out, "longest wait for a free connection: %v\n", result.MaxQueueDelay.Round(time.Microsecond))
			if pid > 0 {
				usage, err := load.ReadUsage(pid)
				if err != nil {
					return err
				}
				cpu := usage.CPU - usageBefore.CPU
				fmt.Fprintf(out, "the relay used %v of CPU, at %.0f messages per CPU second, and %.1f MB of memory at most\n",
					cpu, float64(result.Accepted)/max(0.01, cpu.Seconds()), float64(usage.PeakBytes)/1e6)
			}
			return nil
		}}
	f := cmd.Flags()
	f.Float64Var(&config.Rate, "rate", 100, "messages per second")
	f.DurationVar(&config.Duration, "for", 10*time.Second, "duration of the load")
	f.IntSliceVar(&config.Dests, "dest", []int{1}, "destinations, used in equal parts")
	f.IntVar(&config.MaxConns, "conns", 64, "maximum connections")
	f.IntVar(&config.BodyBytes, "body", 212, "bytes of a message body")
	f.Uint64Var(&config.Seed, "seed", 1, "random seed")
	f.IntVar(&pid, "pid", 0, "process id of the relay, to report its CPU and memory use")
	return cmd
}

// saturateCommand finds the rate at which a relay misses its target latency.
func saturateCommand() *cobra.Command {
	config := load.SaturationConfig{Dests: 30, MaxConns: 256, BodyBytes: 212, Seed: 1}
	cmd := &cobra.Command{Use: "saturate",
		Short: "Find the highest rate that meets the target latency, compared with a plain forwarder",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			if config.RelayBinary == "" {
				config.RelayBinary = filepath.Join(filepath.Dir(self), "oatfold")
			}
			config.ForwardCommand = []string{self, "forward"}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "program\toffered/s\tsent\tin aim\trefused\tfailed\ttwice\tp50 ms\tp99 ms\tCPU s\tmessages/CPU s\tpeak MB\taim\t")
			return load.Saturate(cmd.Context(), config, func(s load.RateResult) {
				fmt.Fprintf(w, "%s\t%.0f\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.0f\t%.1f\t%s\t\n", s.Program,
					s.OfferedRate, s.Sent, s.WithinTarget, s.Rejected, s.Failed, s.Duplicates,
					float64(s.P50.Microseconds())/1e3, float64(s.P99.Microseconds())/1e3, s.CPU.Seconds(),
					s.MessagesPerCPUSecond(), float64(s.PeakBytes)/1e6,
					map[bool]string{true: "kept", false: "missed"}[s.TargetKept])
				w.Flush()
			})
		}}
	f := cmd.Flags()
	f.StringVar(&config.RelayBinary, "relay", "", "relay `program` (default: oatfold next to this program)")
	f.Float64SliceVar(&config.Rates, "rates", []float64{500, 1000, 2000, 4000, 6000, 8000, 12000},
		"messages per second, ascending")
	f.DurationVar(&config.Duration, "for", 4*time.Second, "duration of each rate")
	f.IntVar(&config.Dests, "destinations", config.Dests, "partners")
	f.IntVar(&config.MaxConns, "conns", config.MaxConns, "maximum client connections")
	return cmd
}

// forwardCommand runs the forwarder that saturate compares relays with.
func forwardCommand() *cobra.Command {
	var backends string
	cmd := &cobra.Command{Use: "forward", Hidden: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return load.RunForwarder(cmd.Context(), strings.Split(backends, ","),
				func(addr string) { fmt.Fprintln(cmd.OutOrStdout(), addr) })
		}}
	cmd.Flags().StringVar(&backends, "to", "", "addresses")
	cmd.MarkFlagRequired("to")
	return cmd
}
