// Command oatfold is the relay: it takes messages on at its front socket and delivers them to destinations.
package main

import (
	"flag"
	"fmt"
	"log/slog"
	"os"

	"oatfold/internal/daemon"
	"oatfold/internal/daemon/config"
)

// version is set by the build of a release.
var version = "0.2.0"

func main() {
	var level slog.Level
	show := flag.Bool("version", false, "print the version and exit")
	flag.TextVar(&level, "log", slog.LevelInfo, "least `level` that is logged: debug, info, warn or error")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), "oatfold relays messages to destinations; it is told its settings by ROUTER_CONFIG and the variables beside it.\n\n")
		flag.PrintDefaults()
	}
	flag.Parse()
	if *show {
		fmt.Println("oatfold", version)
		return
	}
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "oatfold: unexpected argument %q; see -help\n", flag.Arg(0))
		os.Exit(2)
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	load := func() (*config.Config, error) { return config.Load(os.Getenv) }
	if err := daemon.Run(load, log); err != nil {
		log.Error("stopped", "err", err)
		os.Exit(1)
	}
}
