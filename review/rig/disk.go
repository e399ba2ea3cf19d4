package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// diskWatch sums up the files of a state folder, over and over.
type diskWatch struct {
	dir    string
	limit  int64
	sweeps int
	over   int // sweeps that found more than the limit
	most   int64
	mostAt time.Time
	files  string // the larger files of that sweep
	stop   atomic.Bool
	done   chan struct{}
}

func watchDisk(dir string, limit int64) *diskWatch {
	w := &diskWatch{dir: dir, limit: limit, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for !w.stop.Load() {
			w.sweep()
		}
	}()
	return w
}

// sweep adds up the files of the folder once, each in whole 512 bytes. Temporary files come first: a
// file that is renamed meanwhile is then counted with no more bytes than the two names had before.
func (w *diskWatch) sweep() {
	d, err := os.Open(w.dir)
	if err != nil {
		return
	}
	defer d.Close()
	names, _ := d.Readdirnames(-1)
	var sum int64
	sizes := map[string]int64{}
	for _, temporary := range []bool{true, false} {
		for _, name := range names {
			if (len(name) > 4 && name[len(name)-4:] == ".tmp") != temporary {
				continue
			}
			var info unix.Stat_t
			if unix.Fstatat(int(d.Fd()), name, &info, unix.AT_SYMLINK_NOFOLLOW) != nil || info.Mode&unix.S_IFMT != unix.S_IFREG {
				continue
			}
			bytes := (info.Size + 511) / 512 * 512
			if sum += bytes; bytes > 100_000 {
				sizes[name] = bytes
			}
		}
	}
	w.sweeps++
	if sum > w.limit {
		w.over++
	}
	if sum > w.most {
		w.most, w.mostAt, w.files = sum, time.Now(), fmt.Sprint(len(names), " files, the largest ", sizes)
	}
}

func (w *diskWatch) end() {
	w.stop.Store(true)
	<-w.done
}

// diskCase: large messages come in clumps. Each round is a run of its own, with an empty folder.
func diskCase(p *play) (bool, error) {
	broken := false
	for round := range 16 {
		over, err := diskRound(p, round)
		if err != nil {
			return false, err
		}
		broken = broken || over
	}
	return broken, nil
}

func diskRound(p *play, round int) (bool, error) {
	const (
		partners, length = 8, 4 * time.Second
		limit            = 3 << 20 // the larger meaning of 3 MB
	)
	var list []instance
	for i := range partners {
		pt, err := newPartner(p.rec, fmt.Sprintf("e%d", i), usual, nil)
		if err != nil {
			return false, err
		}
		defer pt.close()
		kind := "small-partner"
		if i < 3 {
			kind = "broker"
		}
		list = append(list, instance{ID: fmt.Sprintf("s-%08x", i), HostPort: pt.addr, Zone: "porto-dc1", Kind: kind, Cell: i,
			Lifecycle: "in_service", Weight: 1})
	}
	plat, err := newPlatform(p.rec, list)
	if err != nil {
		return false, err
	}
	defer plat.close()
	r, err := newRelay(p.root, p.dir, fmt.Sprintf("n%d", round), plat.addr, list, settings())
	if err != nil {
		return false, err
	}
	proc, err := p.start(r, false)
	if err != nil {
		return false, err
	}
	defer proc.kill()
	w := watchDisk(r.state, limit)
	c := &clients{addr: r.listen, rec: p.rec}
	defer c.close()
	var wg sync.WaitGroup
	var taken, refused atomic.Int64
	send := func(dest int) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m := &message{id: fmt.Sprintf("%016x", rand.Uint64()), dest: dest, left: 20 * time.Second, body: make([]byte, 60_000+rand.IntN(5_000))}
			switch x := rand.Float64(); {
			case x < 0.43:
				m.class, m.left = "price-alert", 6*time.Second
			case x < 0.81:
				m.class, m.key = "order-relay", fmt.Sprintf("%032x", rand.Uint64())
			default:
				m.class, m.key = "fee-charge", fmt.Sprintf("%032x", rand.Uint64())
			}
			if c.handIn(m) == 202 {
				taken.Add(1)
			} else {
				refused.Add(1)
			}
		}()
	}
	// 30 messages a second. Of these, 17% come in clumps of 16 for one partner, or, without trouble, one
	// by one like the others.
	const perSecond, inClumps, clumpSize = 30, 17, 16 // inClumps: a hundredth part
	stream := float64(perSecond)
	if p.trouble {
		stream *= 1 - inClumps/100.0
	}
	begin := time.Now()
	next, clump := begin, begin.Add(2*time.Second)
	for time.Since(begin) < length {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / stream))
		send(rand.IntN(partners))
		if !p.trouble || time.Now().Before(clump) {
			continue
		}
		clump = clump.Add(clumpSize * 100 * time.Second / (perSecond * inClumps))
		dest := rand.IntN(3)
		p.rec.add("a clump for partner %d", dest)
		for range clumpSize {
			send(dest)
		}
	}
	wg.Wait()
	w.end()
	p.rec.say("round %d: %d messages taken on, %d not; %d sweeps of the folder, %d of them found more than %d bytes", round,
		taken.Load(), refused.Load(), w.sweeps, w.over, limit)
	p.rec.say("  most: %d bytes at %.1f s, in %s", w.most, w.mostAt.Sub(begin).Seconds(), w.files)
	return w.over > 0, nil
}
