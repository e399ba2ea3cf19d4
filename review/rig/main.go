// Command rig plays one case of the review: it starts relays as processes of their own, stands in
// for clients, partners and the platform, and says whether the rule was kept. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption
// out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// play is what a case works with.
type play struct {
	root, dir string
	rec       *record
	trouble   bool

	mu        sync.Mutex
	processes []*process
}

// track has the process killed at the end of the case, however it ends.
func (p *play) track(proc *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processes = append(p.processes, proc)
}

// start starts a process of r.
func (p *play) start(r *relay, second bool) (*process, error) {
	return r.start(second, p.track)
}

func (p *play) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proc := range p.processes {
		proc.kill()
	}
}

var cases = map[string]func(*play) (broken bool, err error){
	"disk":    diskCase,
	"stuck":   stuckCase,
	"upgrade": upgradeCase,
	"kill":    killCase,
}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the repository's root")
	path := flag.String("record", "record.txt", "the file to write")
	flag.Parse()
	os.Exit(run(*name, *root, *path))
}

func run(name, root, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.say("%v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	p := &play{root: root, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer p.killAll()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		p.killAll()
		rec.say("stopped before the case was over")
		rec.close()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	playCase, known := cases[name]
	if !known {
		rec.say("no case %q", name)
		return 2
	}
	rec.say("case %s, trouble %t", name, p.trouble)
	broken, err := playCase(p)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return 2
	case broken:
		rec.say("BROKEN")
		return 1
	}
	rec.say("held")
	return 0
}
