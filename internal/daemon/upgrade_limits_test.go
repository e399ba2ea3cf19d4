package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oatfold/internal/testdouble"
)

// restingClient is a client that keeps its connection for as long as the relay does.
type restingClient struct {
	sock    net.Conn
	answers *bufio.Reader
}

func dialRelay(addr string) (*restingClient, error) {
	sock, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	sock.SetDeadline(time.Now().Add(time.Minute)) // bounds the wait if the test fails
	return &restingClient{sock, bufio.NewReader(sock)}, nil
}

// submit submits a message and returns the status of the answer; 0 if there is none.
func (c *restingClient) submit(class, id string, timeLeftMs, dest int, body string) int {
	fmt.Fprintf(c.sock, "POST /%s HTTP/1.1\r\nX-Correlation-Id: %s\r\nIdempotency-Key: %s\r\nX-Time-Left-Ms: %d\r\n"+
		"Envelope: dest=%d\r\nContent-Length: %d\r\n\r\n%s", class, id, id, timeLeftMs, dest, len(body), body)
	answer, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// folderWatch measures a folder all the time.
type folderWatch struct {
	most    atomic.Int64
	stopped atomic.Bool
	done    sync.WaitGroup
}

func watchFolder(dir string) *folderWatch {
	watch := &folderWatch{}
	watch.done.Go(func() {
		for !watch.stopped.Load() {
			watch.most.Store(max(watch.most.Load(), folderBytes(dir)))
			time.Sleep(500 * time.Microsecond)
		}
	})
	return watch
}

// stop ends the watch and returns the largest size of the folder.
func (w *folderWatch) stop() int64 {
	w.stopped.Store(true)
	w.done.Wait()
	return w.most.Load()
}

// folderBytes adds up the files of a folder, each in whole blocks. A listing counts once the next one
// finds the same files and sizes: one beside a process that moves messages may count them twice.
func folderBytes(dir string) (bytes int64) {
	bytes, files := listFolder(dir)
	for range 10_000 {
		before := files
		if bytes, files = listFolder(dir); files == before {
			break
		}
	}
	return bytes
}

// listFolder adds up the files of a folder as they are found, and returns their names and sizes.
func listFolder(dir string) (bytes int64, files string) {
	var list strings.Builder
	filepath.WalkDir(dir, func(path string, e os.DirEntry, _ error) error {
		if e == nil || e.IsDir() {
			return nil
		}
		if info, err := e.Info(); err == nil {
			bytes += (info.Size() + 511) / 512 * 512
			fmt.Fprintln(&list, path, info.Size())
		}
		return nil
	})
	return bytes, list.String()
}

// Guards against a folder over its limit in an upgrade: while messages moved to the next process,
// the old one took on as many again on connections that clients keep, in the room that it had given
// up.
func TestUpgradeBurstStaysWithinDiskLimit(t *testing.T) {
	const limit, destinations, clients = 3_000_000, 8, 36
	config := testdouble.Config{DiskMB: limit / 1e6, MaxPending: 347, MaxConcurrentCalls: 16}
	for dest := 1; dest <= destinations; dest++ {
		config.Partners = append(config.Partners, testdouble.PartnerConfig{Dest: dest, ServiceTime: 600 * time.Millisecond})
	}
	w, old := startWorld(t, config)
	watch := watchFolder(old.StateDir)
	var mu sync.Mutex
	accepted := map[string]string{} // id by name
	submit := func(c *restingClient, class string, n, size int) bool {
		name := fmt.Sprintf("%s/%d-%d", class, n, size)
		id, timeLeftMs := strings.ReplaceAll(name, "/", "-"), 19_000
		if class == "price-alert" {
			timeLeftMs = 5_900
		}
		status := c.submit(class, id, timeLeftMs, 1+n%destinations, name+"\n"+strings.Repeat("x", size))
		mu.Lock()
		defer mu.Unlock()
		if status == 202 {
			accepted[name] = id
		}
		return status > 0
	}
	var resting []*restingClient
	for n := range clients {
		c, err := dialRelay(old.Addr)
		if err != nil {
			t.Fatal(err)
		}
		if submit(c, "price-alert", n, 1) {
			resting = append(resting, c)
		}
	}
	var load sync.WaitGroup
	for n := range 300 {
		time.Sleep(time.Second / 110)
		load.Go(func() {
			if c, err := dialRelay(old.Addr); err == nil {
				submit(c, "order-relay", n, 8<<10)
				c.sock.Close()
			}
		})
	}
	load.Wait()
	next := startStandbyProcess(t, old)
	signal(t, old, syscall.SIGTERM)
	time.Sleep(600 * time.Millisecond)
	for n, c := range resting {
		time.Sleep(time.Second / 110)
		load.Go(func() {
			submit(c, "price-alert", n, 60<<10)
			c.sock.Close()
		})
	}
	load.Wait()
	if err := old.Wait(); err != nil || next.AwaitLog("all is taken over") != nil {
		t.Fatalf("%v\n%s", err, next.LogTail())
	}
	if err := w.WaitUntil("all to complete", func() bool {
		effects, notified := w.EffectLog.CountByName(), w.Platform.Notifications()
		for name, id := range accepted {
			if effects[name] == 0 && notified[id].Outcome == "" {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatalf("%v\n%s", err, next.LogTail())
	}
	if most := watch.stop(); most > limit {
		t.Errorf("%d bytes were in the folder, the limit is %d", most, limit)
	} else {
		t.Logf("%d accepted, %d bytes in the folder at most", len(accepted), most)
	}
}

// processUse returns the open descriptors of a process, and its memory in KiB without file pages.
func processUse(pid int) (descriptors, anonKiB int) {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			fmt.Sscan(value, &anonKiB)
		}
	}
	return len(entries), anonKiB
}

// Guards against two processes of one relay that go over its limits together: in an upgrade beside
// a crowd each counted its connections and its memory for itself.
func TestUpgradeBesideCrowdStaysWithinLimits(t *testing.T) {
	const maxDescriptors, memoryMB, crowd = 512, 96, 1200
	_, old := startWorld(t, testdouble.Config{Partners: partners, MaxDescriptors: maxDescriptors, MemoryMB: memoryMB,
		MaxConcurrentCalls: 16, MaxPending: 347})
	half := strings.Repeat("x", 60<<10)
	var stop atomic.Bool
	var clients sync.WaitGroup
	t.Cleanup(func() { stop.Store(true); clients.Wait() })
	for n := range crowd {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * time.Millisecond)
			for !stop.Load() {
				if c, err := dialRelay(old.Addr); err == nil {
					c.sock.SetDeadline(time.Now().Add(4 * time.Second))
					fmt.Fprintf(c.sock, "POST /order-relay HTTP/1.1\r\nContent-Length: 65536\r\n\r\n%s", half)
					c.sock.Read(make([]byte, 1))
					c.sock.Close()
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	next := startStandbyProcess(t, old)
	time.Sleep(2 * time.Second) // the crowd is at its full size
	pids := []int{old.PID(), next.PID()}
	signal(t, old, syscall.SIGTERM)
	mostDescriptors, mostKiB := 0, 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		descriptors, kiB := 0, 0
		for _, pid := range pids {
			d, k := processUse(pid)
			descriptors, kiB = descriptors+d, kiB+k
		}
		mostDescriptors, mostKiB = max(mostDescriptors, descriptors), max(mostKiB, kiB)
	}
	awaitLog(t, next, "all is taken over")
	t.Logf("both processes: %d descriptors, %d KiB at most", mostDescriptors, mostKiB)
	if mostDescriptors > maxDescriptors {
		t.Errorf("both processes held %d descriptors, the limit is %d", mostDescriptors, maxDescriptors)
	}
	if mostKiB > memoryMB<<10 {
		t.Errorf("both processes held %d KiB of memory, the limit is %d", mostKiB, memoryMB<<10)
	}
}
