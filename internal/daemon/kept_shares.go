package daemon

import (
	"maps"
	"slices"
	"sync"

	"oatfold/internal/handover/processdir"
	"oatfold/internal/handover/share"
)

// This file keeps what leaving processes have of the limits, and divides the disk limit between the
// processes of one relay.

// keptShares is what leaving processes keep of the limits, as they told it last.
type keptShares struct {
	mu       sync.Mutex
	byDir    map[string]share.Kept
	bySender map[string]string // process directory of each sender of transfers
}

// tell records what the sender of a transfer keeps. An earlier version tells nothing.
func (k *keptShares) tell(sender string, kept *share.Kept) {
	if kept == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.byDir == nil {
		k.byDir, k.bySender = map[string]share.Kept{}, map[string]string{}
	}
	k.byDir[kept.ProcessDir], k.bySender[sender] = *kept, kept.ProcessDir
}

// forget is called once no process is leaving: a directory's name may be used again.
func (k *keptShares) forget() {
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.byDir)
	clear(k.bySender)
}

// counts returns how many client connections and messages the leaving processes keep together. told
// is false if none of them told.
func (k *keptShares) counts() (clientConns, pending int, told bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, kept := range k.byDir {
		clientConns += kept.ClientConns
		pending += kept.Pending
	}
	return clientConns, pending, len(k.byDir) > 0
}

// dirs returns the directories of the processes that told what they keep.
func (k *keptShares) dirs() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Collect(maps.Keys(k.byDir))
}

// othersBytes returns what is taken by the files outside some directories, or by what the leaving
// processes keep, if that is more. told is false if one of those did not tell.
func (k *keptShares) othersBytes(usage processdir.Usage, leaving []string, without ...string) (bytes int64, told bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	taken := map[string]int64{}
	for name, used := range usage.Dirs {
		if !slices.Contains(without, name) {
			taken[name] = used
		}
	}
	for sender, used := range usage.Spool {
		if dir, known := k.bySender[sender]; known && slices.Contains(leaving, dir) {
			taken[dir] += used // a part of what it keeps
		} else {
			bytes += used
		}
	}
	told = true
	for _, name := range leaving {
		kept, known := k.byDir[name]
		if told = told && known; known {
			taken[name] = max(taken[name], kept.DiskBytes)
		}
	}
	for _, used := range taken {
		bytes += used
	}
	return bytes, told
}

// updateJournalShare sets the journal's share of the disk limit: what others leave of it. Transfers
// of processes that have ended count twice, since their messages may still be adopted.
func (s *successor) updateJournalShare() {
	usage := s.stateDir.Usage()
	others, told := s.kept.othersBytes(usage, s.leaving, s.dir.Name)
	switch budget := share.SuccessorDisk(s.diskBytes(), others); {
	case len(s.leaving) == 0:
		for _, spooled := range usage.Spool {
			budget -= spooled
		}
		s.host.SetJournalBudget(budget)
	case told:
		s.host.SetJournalShare(budget)
	default:
		s.host.SetUntoldJournalShare(s.diskBytes(), others)
	}
}

// divideDisk sets the shares of the disk limit for the next batch of an adopted journal, and
// returns how many bytes the batch may have.
func (s *successor) divideDisk(j *leftJournal) (batchBytes int64) {
	usage := s.stateDir.Usage()
	others, _ := s.kept.othersBytes(usage, s.leaving, s.dir.Name, j.dir.Name)
	limit, adopted := s.diskBytes(), usage.Dirs[j.dir.Name]
	// First for new messages, so that none takes the room that is divided next.
	committed := s.host.SetJournalShare(share.DivideForAdoption(limit, others, adopted, 0).Successor)
	division := share.DivideForAdoption(limit, others, adopted, committed)
	j.journal.SetShare(division.Adopted)
	return division.Batch
}

// diskUse returns the use of the disk limit as this process sees it while it leaves. A process that
// was leaving already when this one began to serve still has what it told.
func (r *relay) diskUse() share.DiskUse {
	usage := r.stateDir.Usage()
	spooled := usage.Spool[processdir.Sender()]
	delete(usage.Spool, processdir.Sender())
	leaving := slices.DeleteFunc(r.kept.dirs(), func(name string) bool {
		return r.stateDir.Status(name) != processdir.StatusServing
	})
	others, _ := r.kept.othersBytes(usage, leaving, r.dir.Name)
	return share.DiskUse{Limit: r.diskBytes(), Others: others, Spooled: spooled}
}
