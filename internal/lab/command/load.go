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

func loadCommand() *cobra.Command {
	set := load.Config{Mix: load.DefaultMix}
	var pid int
	cmd := &cobra.Command{Use: "load ADDR", Short: "Put load on a relay on loopback, in open loop", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set.Addr = args[0]
			var was load.Usage
			var err error
			if pid > 0 {
				if was, err = load.ReadUsage(pid); err != nil {
					return err
				}
			}
			r, err := load.Run(cmd.Context(), set)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "sent %d: taken on %d, refused %d, failed %d; worth %.0f\n", r.Sent, r.Accepted, r.Rejected, r.Failed, r.Value)
			for _, p := range []float64{50, 90, 99, 99.9, 100} {
				fmt.Fprintf(out, "answered within, %g of 100: %.3f ms\n", p, float64(r.AnswerTimes.ValueAtPercentile(p))/1e3)
			}
			fmt.Fprintf(out, "longest wait for a free connection: %v\n", r.MaxQueueDelay.Round(time.Microsecond))
			if pid > 0 {
				u, err := load.ReadUsage(pid)
				if err != nil {
					return err
				}
				cpu := u.CPU - was.CPU
				fmt.Fprintf(out, "the relay used %v of CPU, %.0f messages a second of it, and %.1f MB at most\n", cpu, float64(r.Accepted)/max(0.01, cpu.Seconds()), float64(u.PeakBytes)/1e6)
			}
			return nil
		}}
	f := cmd.Flags()
	f.Float64Var(&set.Rate, "rate", 100, "messages a second")
	f.DurationVar(&set.Duration, "for", 10*time.Second, "for how long")
	f.IntSliceVar(&set.Dests, "dest", []int{1}, "destinations, dealt to evenly")
	f.IntVar(&set.MaxConns, "conns", 64, "connections at most")
	f.IntVar(&set.BodyBytes, "body", 212, "bytes of a body")
	f.Uint64Var(&set.Seed, "seed", 1, "what chance is drawn from")
	f.IntVar(&pid, "pid", 0, "the relay's process, to tell its CPU and memory")
	return cmd
}

func saturateCommand() *cobra.Command {
	set := load.SaturationConfig{Dests: 30, MaxConns: 256, BodyBytes: 212, Seed: 1}
	cmd := &cobra.Command{Use: "saturate", Short: "Find the highest rate that keeps the aim, beside a plain forwarder", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			if set.RelayBinary == "" {
				set.RelayBinary = filepath.Join(filepath.Dir(self), "oatfold")
			}
			set.ForwardCommand = []string{self, "forward"}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "program\toffered/s\tsent\tin aim\trefused\tfailed\ttwice\tp50 ms\tp99 ms\tCPU s\tmessages/CPU s\tpeak MB\taim\t")
			return load.Saturate(cmd.Context(), set, func(s load.RateResult) {
				fmt.Fprintf(w, "%s\t%.0f\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.0f\t%.1f\t%s\t\n", s.Program, s.OfferedRate, s.Sent, s.WithinTarget, s.Rejected, s.Failed, s.Duplicates,
					float64(s.P50.Microseconds())/1e3, float64(s.P99.Microseconds())/1e3, s.CPU.Seconds(), s.MessagesPerCPUSecond(), float64(s.PeakBytes)/1e6, map[bool]string{true: "kept", false: "missed"}[s.TargetKept])
				w.Flush()
			})
		}}
	f := cmd.Flags()
	f.StringVar(&set.RelayBinary, "relay", "", "the relay's program (default: oatfold beside this one)")
	f.Float64SliceVar(&set.Rates, "rates", []float64{500, 1000, 2000, 4000, 6000, 8000, 12000}, "messages a second, growing")
	f.DurationVar(&set.Duration, "for", 4*time.Second, "for each rate")
	f.IntVar(&set.Dests, "destinations", set.Dests, "partners")
	f.IntVar(&set.MaxConns, "conns", set.MaxConns, "clients' connections at most")
	return cmd
}

// forwardCommand is the forwarder that saturate starts.
func forwardCommand() *cobra.Command {
	var to string
	cmd := &cobra.Command{Use: "forward", Hidden: true, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		return load.RunForwarder(cmd.Context(), strings.Split(to, ","), func(addr string) { fmt.Fprintln(cmd.OutOrStdout(), addr) })
	}}
	cmd.Flags().StringVar(&to, "to", "", "addresses")
	cmd.MarkFlagRequired("to")
	return cmd
}
