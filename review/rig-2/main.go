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
	"drain-in-upgrade": drainInUpgrade, "reload-in-upgrade": reloadInUpgrade,
	"upgrade-rest-burst":  upgradeRestBurst,
	"crowd-then-stop":     crowdThenStop,
	"upgrade-full-folder": upgradeFullFolder,
	"stress":              stress,
	"upgrade-fleet":       upgradeFleet,
	"burst-then-upgrade":  burstThenUpgrade,
	"burst-then-kill":     burstThenKill,
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
