package journal

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"oatfold/internal/clock"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal/plan"
	"oatfold/internal/transient"
)

// Reading the state directory at startup, and upgrading a legacy journal.

// Open replays the journal in config.FS and starts a new segment. It returns the journal and the
// table of messages that it holds. On a disk that can't be written for now, the segment is started
// by a later Commit or Maintain.
func Open(config Config) (*Journal, *memory.Table, error) {
	j := &Journal{
		config: config, fullBudget: config.Budget, locations: map[uint32]locations{}, reserves: newReserves(),
		remembered: plan.NewCompletionWindow(memory.MaxCompletedIDs, plan.CompletionLimit(config.Budget)),
	}
	names, err := config.FS.List()
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	replay := newReplayState(config.TimeScale)
	replay.maxBodyBytes = config.MaxBodyBytes
	var legacy []string
	for _, name := range names {
		switch base, ext := splitExt(name); ext {
		case tmpExt:
			config.FS.Remove(name) // left by an interrupted compaction or upgrade
		case legacyExt:
			legacy = append(legacy, name)
		case segmentExt:
			if number, err := strconv.ParseUint(base, 10, 64); err == nil {
				j.segments = append(j.segments, &segment{number: number, messageBytes: map[uint32]int64{}})
			}
		}
	}
	slices.SortFunc(j.segments, func(a, b *segment) int { return int(int64(a.number) - int64(b.number)) })
	if len(j.segments) == 0 && len(legacy) > 0 {
		if err := j.upgradeLegacy(legacy); err != nil {
			return nil, nil, err
		}
	}
	if len(j.segments) == 1 {
		for _, name := range legacy {
			config.FS.Remove(name) // already converted into that segment
		}
	} else if len(legacy) > 0 {
		config.Log.Error("ignoring legacy journal files beside journal segments", "files", legacy)
	}
	for i, seg := range j.segments {
		if err := j.loadSegment(seg, replay, i == len(j.segments)-1); err != nil {
			return nil, nil, err
		}
	}
	j.segments = slices.DeleteFunc(j.segments, func(seg *segment) bool { return seg.size == 0 })
	replay.finish()
	j.completedSeq, j.maxNumber = replay.completedSeq, max(j.maxNumber, replay.maxNumber)
	replay.table.StartNumbersAfter(j.maxNumber)
	j.indexLiveRecords(replay.table)
	if err := j.startWriting(); err != nil {
		return nil, nil, err
	}
	if !config.CompactInline {
		j.jobs, j.results = make(chan compactionJob, 1), make(chan compactionResult, 1)
		go func() {
			for job := range j.jobs {
				pause := noPause
				if !job.urgent {
					pause = func() { time.Sleep(compactionPause) }
				}
				j.results <- job.run(config.FS, pause)
			}
			close(j.results)
		}()
	}
	return j, replay.table, nil
}

// startWriting creates the first segment of this process. If the disk can't be written for now, the
// journal opens as unavailable all the same: what it holds must not wait for the disk.
func (j *Journal) startWriting() error {
	err := j.rotate()
	if err != nil && j.config.FS.Remove(reserveName) == nil {
		err = j.rotate() // release the reserve on a full disk
	}
	if err == nil {
		j.createReserve()
		return nil
	}
	if !transient.Is(err) && !errors.Is(err, io.ErrShortWrite) {
		return err
	}
	j.config.Log.Error("journal write failed; rejecting new messages", "err", err)
	j.unavailable = true
	return nil
}

func splitExt(name string) (base, ext string) {
	if i := strings.LastIndexByte(name, '.'); i >= 0 {
		return name[:i], name[i:]
	}
	return name, ""
}

// loadSegment replays a segment. An incomplete record at its end is truncated. A segment without a
// valid header is kept but not read; a last one that is shorter than a header is removed.
func (j *Journal) loadSegment(seg *segment, replay *replayState, isLast bool) error {
	raw, err := j.config.FS.Read(seg.name())
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	maxNumber, _, err := readHeader(raw)
	if err != nil {
		if isLast && len(raw) < headerSize {
			// The process died while creating it: it has no records. If it stays, the next segment
			// replaces it.
			j.maxNumber = max(j.maxNumber, replay.maxNumber)
			j.config.FS.Remove(seg.name())
			return nil
		}
		j.config.Log.Error("journal segment has no valid header; skipping it", "segment", seg.name(), "err", err)
		seg.size, seg.busy = int64(len(raw)), true // kept for inspection
		return nil
	}
	j.maxNumber = max(j.maxNumber, maxNumber)
	seg.completionsOnly = true
	end := walkRecords(raw, func(offset, size int, payload []byte, err error) {
		seg.completionsOnly = seg.completionsOnly && err == nil && payload[0] == recordCompleted
		if err == nil {
			if err = replay.apply(payload); err == nil {
				switch payload[0] {
				case recordCompleted:
					j.rememberCompletion(payload, size)
					seg.completionBytes += int64(size)
				case recordAccepted, recordAcceptedMemoryOnly, recordSnapshot:
					forEachNumber(payload, seg.accepted.add)
				}
				forEachNumber(payload, func(number uint32) { seg.messageBytes[number] += int64(size) })
				return
			}
		}
		j.config.Log.Error("skipping invalid journal record",
			"segment", seg.name(), "at", offset, "bytes", size, "err", err)
	})
	if end < len(raw) {
		j.config.Log.Warn("truncating incomplete record at the end of a journal segment",
			"segment", seg.name(), "bytes", len(raw)-end)
		if err := j.config.FS.Truncate(seg.name(), int64(end)); err != nil {
			// Nothing is written behind it, and each reading ends there.
			j.config.Log.Warn("incomplete record stays in a journal segment", "segment", seg.name(), "err", err)
			end = len(raw)
		}
	}
	seg.size = int64(end)
	return nil
}

// rememberCompletion counts the completion record of a loaded segment.
func (j *Journal) rememberCompletion(payload []byte, size int) {
	reader := newRecordReader(payload, clock.Scale{})
	reader.Uint() // the message's number
	sequence := reader.Uint()
	if len(reader.Bytes()) == 0 {
		size = 0
	}
	j.remembered.Add(sequence, int64(size))
}

// indexLiveRecords finds the records of pending messages in all segments, and adds up the sizes of
// the segments on disk.
func (j *Journal) indexLiveRecords(table *memory.Table) {
	for _, m := range table.All() {
		j.reserves.add(m)
	}
	for _, seg := range j.segments {
		for number, bytes := range seg.messageBytes {
			if table.Get(number) == nil {
				delete(seg.messageBytes, number)
				continue
			}
			seg.liveBytes += bytes
			j.addLocation(number, location{seg, bytes})
		}
		j.segmentBytes += plan.DiskSize(seg.size)
	}
}

// upgradeLegacy converts the newest legacy journal into a segment and leaves the legacy files.
func (j *Journal) upgradeLegacy(names []string) error {
	slices.Sort(names)
	name := names[len(names)-1] // older ones are left by a crash
	raw, err := j.config.FS.Read(name)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	legacy := memory.ReadLegacy(raw, func(offset int, err error) {
		j.config.Log.Error("skipping invalid journal record", "segment", name, "at", offset, "err", err)
	})
	maxNumber := uint32(0)
	var messages []*memory.Message
	for _, m := range legacy.All() {
		maxNumber, messages = max(maxNumber, m.Number), append(messages, m)
	}
	slices.SortFunc(messages, func(a, b *memory.Message) int { return int(int64(a.Number) - int64(b.Number)) })
	b := appendHeader(nil, 1, maxNumber, 0)
	for _, m := range messages {
		start := len(b)
		if b = finishFrame(
			appendSnapshot(append(beginFrame(b), recordSnapshot), m, j.config.TimeScale), start,
		); len(m.PluginNotes) > 0 {
			start = len(b)
			b = finishFrame(appendText(beginPayload(beginFrame(b), recordPluginNotes, m.Number), m.PluginNotes), start)
		}
	}
	seg := &segment{number: 1, messageBytes: map[uint32]int64{}}
	if err := writeFileAtomic(j.config.FS, seg.name(), b, noPause); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	j.segments = append(j.segments, seg)
	j.config.Log.Info("legacy journal converted", "from", name, "messages", len(messages))
	return nil
}
