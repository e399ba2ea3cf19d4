package main

import (
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// diskWatch sums up the files of a state folder, over and over.
type diskWatch struct {
	dir     string
	limit   int64
	sweeps  int
	over    int // sweeps that found more than the limit
	most    int64
	mostAt  time.Time
	biggest int64 // file
	copies  int64 // largest temporary file
	last    int64
	listing string
	stop    atomic.Bool
	done    chan struct{}
}

func watchDisk(dir string, limit int64) *diskWatch {
	w := &diskWatch{dir: dir, limit: limit, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for i := 0; !w.stop.Load(); i++ {
			if i%64 == 0 {
				w.sweep()
			}
			d, err := os.Open(w.dir)
			if err != nil {
				continue
			}
			names, _ := d.Readdirnames(-1)
			d.Close()
			for _, n := range names {
				if filepath.Ext(n) == ".tmp" {
					if info, err := os.Lstat(filepath.Join(w.dir, n)); err == nil && info.Size() > w.copies {
						w.copies = info.Size()
						fmt.Println("copy", n, info.Size(), "last sum", w.last)
					}
				}
			}
		}
	}()
	return w
}

// sweep adds up all files once, each in whole 512 bytes. A file that is renamed meanwhile is counted
// under its old or its new name with no more bytes than both had.
func (w *diskWatch) sweep() {
	var sum int64
	listing := ""
	filepath.WalkDir(w.dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		var info os.FileInfo
		if info, err = os.Lstat(path); err != nil {
			return nil
		}
		bytes := (info.Size() + 511) / 512 * 512
		sum += bytes
		if w.biggest = max(w.biggest, bytes); filepath.Ext(path) == ".tmp" {
			w.copies = max(w.copies, bytes)
		}
		listing += fmt.Sprintf(" %s=%d", filepath.Base(path), bytes)
		return nil
	})
	w.sweeps++
	w.last = sum
	if sum > w.limit {
		w.over++
	}
	if sum > w.most {
		w.most, w.mostAt, w.listing = sum, time.Now(), listing
	}
}

func (w *diskWatch) end() {
	w.stop.Store(true)
	<-w.done
}

// diskCase: a partner goes silent while large orders come in.
func diskCase(p *play) (bool, error) {
	const silentFrom, silentFor, length = 4 * time.Second, 16 * time.Second, 40 * time.Second
	begin := time.Now()
	silent := func() bool {
		t := time.Since(begin)
		return p.trouble && t >= silentFrom && t < silentFrom+silentFor
	}
	const partners = 8
	var list []instance
	var all []*partner
	for i := range partners {
		service := func([]string) (time.Duration, int, time.Duration) {
			if i == 0 && silent() {
				return 0, 0, 0
			}
			return time.Duration(130+rand.IntN(100)) * time.Millisecond, 200, 0
		}
		pt, err := newPartner(p.rec, fmt.Sprintf("e%d", i), service, nil)
		if err != nil {
			return false, err
		}
		defer pt.close()
		all = append(all, pt)
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
	r, err := newRelay(p.root, p.dir, "n0", plat.addr, list, settings())
	if err != nil {
		return false, err
	}
	proc, err := p.start(r, false)
	if err != nil {
		return false, err
	}
	begin = time.Now()
	const limit = 3 << 20 // the larger meaning of 3 MB
	w := watchDisk(r.state, limit)
	c := &clients{addr: r.listen, rec: p.rec}
	var wg sync.WaitGroup
	var sent, refused atomic.Int64
	send := func(dest int, class string, size int) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m := &message{id: fmt.Sprintf("%016x", rand.Uint64()), class: class, dest: dest, left: 20 * time.Second,
				body: make([]byte, size)}
			if class == "price-alert" {
				m.left = 6 * time.Second
			} else {
				m.key = fmt.Sprintf("%032x", rand.Uint64())
			}
			if status := c.handIn(m); status == 202 {
				sent.Add(1)
			} else {
				refused.Add(1)
			}
		}()
	}
	class := func() string {
		switch x := rand.Float64(); {
		case x < 0.43:
			return "price-alert"
		case x < 0.81:
			return "order-relay"
		}
		return "fee-charge"
	}
	size := func(class string) int { return 60_000 + rand.IntN(5_000) }
	next, clump := time.Now(), begin.Add(2*time.Second)
	for time.Since(begin) < length {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / 30))
		dest := 0
		if rand.Float64() > 0.25 {
			dest = 1 + rand.IntN(partners-1)
		}
		cl := class()
		send(dest, cl, size(cl))
		if time.Now().After(clump) {
			clump = clump.Add(4 * time.Second)
			d := rand.IntN(3)
			if time.Since(begin) < 14*time.Second {
				d = 0
			}
			if os.Getenv("HOLD") != "" {
				proc.signal(syscall.SIGSTOP)
			}
			for range 16 {
				cl := class()
				send(d, cl, size(cl))
			}
			if os.Getenv("HOLD") != "" {
				time.Sleep(140 * time.Millisecond)
				proc.signal(syscall.SIGCONT)
			}
		}
	}
	wg.Wait()
	w.end()
	p.rec.say("largest file %d, largest copy %d", w.biggest, w.copies)
	p.rec.say("taken on %d, refused or failed %d; %d sweeps of the folder, %d found over %d bytes; most %d bytes at %.1f s:%s",
		sent.Load(), refused.Load(), w.sweeps, w.over, limit, w.most, w.mostAt.Sub(begin).Seconds(), w.listing)
	return w.over > 0, nil
}
