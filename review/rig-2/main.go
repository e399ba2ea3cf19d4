package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

var errNotReady = errors.New("a relay did not become ready")
var errNotReloaded = errors.New("the relay did not turn to the new address")

var cases = map[string]func(*Rig){
	"reload-in-upgrade":  reloadInUpgrade,  // 6
	"crowd-then-stop":    crowdThenStop,    // 7
	"upgrade-rest-burst": upgradeRestBurst, // 8
	"upgrade-fleet":      upgradeFleet,     // 9
	"drain-in-upgrade":   drainInUpgrade,   // 10
	// No cases: see the report.
	"burst-then-kill":     burstThenKill,
	"burst-then-upgrade":  burstThenUpgrade,
	"upgrade-full-folder": upgradeFullFolder,
	"stress":              stress,
}

// main runs a case: rig-2 NAME FOLDER. The record goes to FOLDER.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 NAME FOLDER; names:", sortedKeys(cases))
		os.Exit(2)
	}
	folder, err := filepath.Abs(os.Args[2])
	cannotRun(err)
	r := NewRig(folder)
	cases[os.Args[1]](r)
	r.Finish()
}
