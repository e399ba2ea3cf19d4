package soak_test

import (
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"oatfold/internal/testdouble"
)

// What users saw: relays with large bodies answered 503 to everything, for good, with nothing held.
// The order of events: the folder filled, its messages completed, and what they had taken was given
// back only when a further message was written, which lacked that space. The evidence: the log line
// `journal is full`, with nothing pending and nearly all of the space dead.

// The load of a full-folder scenario.
const (
	fullFolderLength = 8 * time.Second
	fullFolderSent   = 6                // concurrent senders
	maxRefusal       = 10 * time.Second // until a relay with nothing pending takes a message of the largest size
	lastMessages     = 25               // of the largest size, behind the scenario
	folderScan       = 2 * time.Millisecond
	maxBodyBytes     = 64 << 10
)

// fullFolder is the run of one seed.
type fullFolder struct {
	t        *testing.T
	env      *testdouble.Environment
	observed *observations
	limit    int64 // bytes
	bodies   int   // largest body in the scenario
	stop     chan struct{}

	mu       sync.Mutex
	relay    *testdouble.Relay
	accepted []string
	timeline []string
	peak     int64 // bytes in the folder, in two scans in a row
}

// A relay whose messages have all ended takes messages of the largest size again, whatever filled
// its folder and however its processes ended, and the folder keeps to its limit.
func TestFolderIsReclaimed(t *testing.T) {
	if _, err := relayBinary(); err != nil {
		t.Fatal(err)
	}
	slots := make(chan struct{}, *maxParallel)
	for n := range max(1, *seedCount/2) {
		seed := uint64(*firstSeed + n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			playFullFolder(t, seed)
		})
	}
}

func playFullFolder(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 53))
	f := &fullFolder{t: t, observed: newObservations(), stop: make(chan struct{}),
		bodies: []int{300, 5000, 40_000, maxBodyBytes}[random.IntN(4)]}
	config := testdouble.Config{Seed: seed, MaxPending: 100 + random.IntN(400), MaxConcurrentCalls: 8,
		DiskMB: []float64{0.22, 0.3, 0.6, 1, 3}[random.IntN(5)]}
	f.limit = int64(config.DiskMB * 1e6)
	for dest := 1; dest <= destinationCount; dest++ {
		config.Partners = append(config.Partners, testdouble.PartnerConfig{Dest: dest, RetryAfter: 100 * time.Millisecond,
			ServiceTime: time.Duration(random.IntN(40)) * time.Millisecond})
	}
	var err error
	if f.env, err = testdouble.NewEnvironment(config); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.env.Close)
	f.env.Platform.OnNotification(f.observed.recordNotification)
	bin, _ := relayBinary()
	if f.relay, err = f.env.StartRelay(bin); err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(f.watchFolder)
	for n := range fullFolderSent {
		running.Go(func() { f.send(rand.New(rand.NewPCG(seed, uint64(100+n)))) })
	}
	f.injectFaults(random)
	close(f.stop)
	running.Wait()
	f.checkEnd()
}

// logEvent adds an event to the timeline.
func (f *fullFolder) logEvent(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timeline = append(f.timeline, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// current returns the process that serves.
func (f *fullFolder) current() *testdouble.Relay {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relay
}

// over reports whether the scenario has ended.
func (f *fullFolder) over() bool {
	select {
	case <-f.stop:
		return true
	default:
		return false
	}
}

// post hands in a message and returns the status of the answer; 0: there was none.
func (f *fullFolder) post(client *http.Client, id, class string, dest, size int, timeLeft time.Duration) int {
	name := class + "/" + id + "\n"
	body := name + strings.Repeat("0", max(0, size-len(name)))
	request, err := http.NewRequest("POST", "http://"+f.current().Addr+"/"+class, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return 0
	}
	request.Header.Set("X-Correlation-Id", id)
	request.Header.Set("Idempotency-Key", "k-"+id)
	request.Header.Set("X-Time-Left-Ms", fmt.Sprint(timeLeft.Milliseconds()))
	request.Header.Set("Envelope", fmt.Sprintf("dest=%d", dest))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	if response.StatusCode == http.StatusAccepted {
		f.mu.Lock()
		f.accepted = append(f.accepted, id)
		f.mu.Unlock()
	}
	return response.StatusCode
}

// send hands in random messages until the scenario ends.
func (f *fullFolder) send(random *rand.Rand) {
	client := &http.Client{Timeout: responseTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for !f.over() {
		class := []string{"price-alert", "order-relay", "fee-charge"}[random.IntN(3)]
		status := f.post(client, fmt.Sprintf("%016x", random.Uint64()), class, 1+random.IntN(destinationCount),
			random.IntN(f.bodies+1), time.Duration(500+random.IntN(3000))*time.Millisecond)
		if status != http.StatusAccepted {
			time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
		}
	}
}

// injectFaults ends and replaces processes, and has destinations and the disk fail, until the
// scenario's time has passed.
func (f *fullFolder) injectFaults(random *rand.Rand) {
	for began := time.Now(); time.Since(began) < fullFolderLength && !f.t.Failed(); {
		time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
		dest, mode := 1+random.IntN(destinationCount), []testdouble.Mode{testdouble.Unresponsive, testdouble.Unavailable,
			testdouble.Healthy}[random.IntN(3)]
		f.logEvent("destination %d: mode %d", dest, mode)
		if err := f.env.Partners[dest].SetMode(mode, 1); err != nil {
			f.t.Error(err)
		}
		switch relay := f.current(); random.IntN(7) {
		case 0:
			f.logEvent("SIGKILL")
			relay.Kill()
			f.start(relay)
		case 1:
			f.logEvent("SIGTERM")
			if err := relay.Stop(); err != nil {
				f.t.Error("exit after a planned stop: ", err)
			}
			f.start(relay)
		case 2:
			f.upgrade(relay, random.IntN(2) == 0)
		case 3:
			f.logEvent("SIGHUP")
			relay.Signal(syscall.SIGHUP)
		case 4:
			f.limitFileSize(relay, uint64(random.IntN(3)*4096), time.Duration(100+random.IntN(900))*time.Millisecond)
		}
	}
}

// start starts a relay that has exited.
func (f *fullFolder) start(relay *testdouble.Relay) {
	time.Sleep(restartDelay / 4)
	if err := relay.Start(); err != nil {
		f.t.Error("start: ", err)
	}
}

// upgrade replaces the process that serves by a standby one; with outright set it is killed.
func (f *fullFolder) upgrade(relay *testdouble.Relay, outright bool) {
	f.logEvent("upgrade, outright %t", outright)
	next, err := relay.StartNextProcess()
	if err == nil {
		err = next.AwaitLog("standing by")
	}
	if err != nil {
		f.t.Error("standby: ", err)
		return
	}
	if outright {
		relay.Kill()
	} else if err := relay.Stop(); err != nil {
		f.t.Error("exit after a handover: ", err)
	}
	if err := next.AwaitLog("msg=ready"); err != nil {
		f.t.Error("successor: ", err)
	}
	f.mu.Lock()
	f.relay = next
	f.mu.Unlock()
}

// limitFileSize has writes to files of a relay fail beyond a size for a while.
func (f *fullFolder) limitFileSize(relay *testdouble.Relay, size uint64, duration time.Duration) {
	f.logEvent("files limited to %d bytes for %v", size, duration)
	var previous unix.Rlimit
	if err := unix.Prlimit(relay.PID(), unix.RLIMIT_FSIZE, nil, &previous); err != nil {
		f.t.Error(err)
		return
	}
	limited := previous
	limited.Cur = size
	unix.Prlimit(relay.PID(), unix.RLIMIT_FSIZE, &limited, nil)
	time.Sleep(duration)
	unix.Prlimit(relay.PID(), unix.RLIMIT_FSIZE, &previous, nil)
}

// watchFolder records the largest size of the state folder that two scans in a row have found: a
// scan reads one directory after another, while files move.
func (f *fullFolder) watchFolder() {
	for last := int64(0); !f.over(); time.Sleep(folderScan) {
		size := int64(0)
		filepath.WalkDir(f.current().StateDir, func(_ string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return nil
			}
			if info, err := entry.Info(); err == nil {
				size += (info.Size() + 511) / 512 * 512
			}
			return nil
		})
		f.mu.Lock()
		f.peak = max(f.peak, min(last, size))
		f.mu.Unlock()
		last = size
	}
}

// unfinished returns the accepted messages that were neither delivered nor ended by a notification.
func (f *fullFolder) unfinished() (ids []string) {
	ran := map[string]bool{}
	for _, effect := range f.env.EffectLog.Entries() {
		ran[effect.ID] = true
	}
	f.observed.mu.Lock()
	defer f.observed.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.accepted {
		if _, notified := f.observed.notifiedAt[id]; !notified && !ran[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// checkEnd waits until all messages have ended, and then hands in messages of the largest size.
func (f *fullFolder) checkEnd() {
	for _, partner := range f.env.Partners {
		if err := partner.SetMode(testdouble.Healthy, 1); err != nil {
			f.t.Error(err)
		}
	}
	if f.env.WaitUntil("all accepted messages to end", func() bool { return len(f.unfinished()) == 0 }) != nil {
		f.t.Errorf("accepted and never ended: %v", f.unfinished())
	}
	client := &http.Client{Timeout: responseTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	refusals := 0
	for n := range lastMessages {
		for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
			id := fmt.Sprintf("last-%d-%d", n, refusals)
			if f.post(client, id, "price-alert", 1, maxBodyBytes, 5*time.Second) == http.StatusAccepted {
				break
			}
			if refusals++; time.Since(began) > maxRefusal {
				f.t.Errorf("message %d is refused for %v, with nothing pending before it", n, maxRefusal)
				break
			}
		}
		if f.t.Failed() {
			break
		}
	}
	if f.peak > f.limit {
		f.t.Errorf("%d bytes in the folder, limit %d", f.peak, f.limit)
	}
	for _, duplicate := range f.env.EffectLog.Duplicates("fee-charge") {
		f.t.Errorf("a charge ran more than once: %s", duplicate)
	}
	f.t.Logf("limit %d, bodies up to %d: %d accepted, %d bytes in the folder at most, %d refusals at the end",
		f.limit, f.bodies, len(f.accepted), f.peak, refusals)
	if f.t.Failed() {
		f.t.Logf("timeline:\n%s\n%s", strings.Join(f.timeline, "\n"), f.current().LogTail())
	}
}
