// Package cli implements the command line of oatfold. It parses arguments, runs a sub-command and
// returns its exit code. Each sub-command has a file of its own.
package cli

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// Exit codes. Those from exitRefused on are outcomes of messages that send submitted.
const (
	exitOK        = 0
	exitFault     = 1 // the relay could not start, a file could not be read, or a check failed
	exitUsage     = 2 // invalid command line
	exitRefused   = 3
	exitFailed    = 4
	exitGivenUp   = 5
	exitUncertain = 6
)

// usageError is an error in the command line.
type usageError struct{ error }

// exitError ends the program with an exit code and without a message.
type exitError int

// Error returns a text for tests and logs; Main prints nothing for an exitError.
func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// options are the flags of all commands and of serve.
type options struct {
	level    slog.Level
	format   string // of the log
	operator string // path of the operator's file; empty: none
	profile  string // path of the CPU profile; empty: none
}

// log returns a logger that writes to standard error.
func (o *options) log() *slog.Logger {
	handlerOptions := &slog.HandlerOptions{Level: o.level}
	if o.format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, handlerOptions))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, handlerOptions))
}

// Main runs the command line and returns the exit code.
func Main(version string, args []string) int { return exitCode(command(version, args).Execute()) }

// exitCode prints err to standard error and returns its exit code.
func exitCode(err error) int {
	var usage usageError
	var code exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &code):
		return int(code)
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "oatfold:", err, "(see --help)")
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "oatfold:", err)
	return exitFault
}

// command returns the root command for these arguments.
func command(version string, args []string) *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:   "oatfold",
		Short: "oatfold relays messages to destinations",
		Long: `oatfold relays messages to destinations. Without a sub-command it runs as a relay, configured by the environment
variable ROUTER_CONFIG and the other ROUTER_ variables.`,
		Args:          noArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	show := root.Flags().Bool("version", false, "print the version and exit")
	root.PersistentFlags().TextVar(&o.level, "log", slog.LevelInfo,
		"minimum `level` of the log: debug, info, warn or error")
	root.PersistentFlags().StringVar(&o.format, "log-format", "text", "format of the log: `text or json`")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if o.format != "text" && o.format != "json" {
			return usageError{fmt.Errorf("--log-format: %q is neither text nor json", o.format)}
		}
		return nil
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.RunE = func(*cobra.Command, []string) error {
		if *show {
			fmt.Println("oatfold", version)
			return nil
		}
		return serve(o)
	}
	serveCommand := &cobra.Command{Use: "serve", Short: "Run as a relay (the default)", Args: noArgs,
		RunE: func(*cobra.Command, []string) error { return serve(o) }}
	for _, cmd := range []*cobra.Command{root, serveCommand} {
		cmd.Flags().StringVar(&o.profile, "cpu-profile", "",
			"write a CPU profile to this `file`; it is complete when the relay has stopped")
		cmd.Flags().StringVar(&o.operator, "operator", "", "the operator's `file`, in protobuf text format")
	}
	root.AddCommand(serveCommand, sendCommand(o), checkCommand(o), pluginCommand(o), journalCommand(),
		membersCommand(), choicesCommand(), siteCommand(), assignmentCommand(), labCommand(),
		&cobra.Command{Use: "version", Short: "Print the version", Args: noArgs,
			Run: func(*cobra.Command, []string) { fmt.Println("oatfold", version) }})
	root.SetArgs(longFlags(args))
	return root
}

// noArgs rejects positional arguments.
func noArgs(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("unexpected argument %q", args[0])}
	}
	return nil
}

// longFlags accepts the relay's own flags with a single dash, as earlier versions did.
func longFlags(args []string) []string {
	args = slices.Clone(args)
	for i, a := range args {
		name, _, _ := strings.Cut(a, "=")
		if slices.Contains([]string{"-log", "-version", "-help"}, name) {
			args[i] = "-" + a
		}
	}
	return args
}
