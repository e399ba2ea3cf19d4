package wire

import (
	"oatfold/internal/clock"
	"oatfold/internal/handover"
	"oatfold/internal/handover/share"
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal"
	"oatfold/internal/memory/journal/plan"
)

// leavingProcess writes the transfers of a process that hands over, and keeps its journal and its
// transfers within a share of the disk limit. What it gives up of that it never takes back: the next
// process may use it from when it is told.
type leavingProcess struct {
	write      func([]byte) error
	processDir string
	journal    *journal.Journal
	disk       share.LeavingDisk
	use        share.DiskUse // as last seen, and with the transfers written since
	conns      int           // client connections that it keeps
	told       share.Kept    // what the next process was told last
}

// What is worth a transfer of its own once it is given up: a part of the disk limit, by which that is
// divided, and a number of client connections.
const (
	tellDiskDivisor = 32
	tellConns       = 16
)

// newLeaving returns a process that begins to hand over, and lowers its journal's share.
func newLeaving(handOver Handover, messages *journal.Journal) *leavingProcess {
	l := &leavingProcess{write: handOver.Send, processDir: handOver.ProcessDir, journal: messages,
		use: handOver.Use.Disk, conns: handOver.Use.ClientConns}
	l.use.Needed = messages.NeededBytes(l.use.Limit)
	l.disk = share.KeepDisk(l.use)
	l.told = l.kept()
	l.applyShare()
	return l
}

// kept returns what the process keeps now.
func (l *leavingProcess) kept() share.Kept {
	return share.Kept{ProcessDir: l.processDir, DiskBytes: l.disk.Bytes(), ClientConns: l.conns}
}

// update lowers the shares by what the process no longer needs.
func (l *leavingProcess) update(use LeavingUse) {
	l.use = use.Disk
	l.use.Needed = l.journal.NeededBytes(l.use.Limit)
	l.disk.Lower(l.use)
	l.conns = min(l.conns, use.ClientConns)
	l.applyShare()
}

func (l *leavingProcess) applyShare() { l.journal.SetShare(l.disk.JournalBudget(l.use)) }

// capacity returns how many bytes may be passed on now.
func (l *leavingProcess) capacity() int64 {
	l.use.Needed = l.journal.NeededBytes(l.use.Limit)
	return l.disk.TransferCapacity(l.use)
}

// hasShareToTell reports whether enough was given up for a transfer without messages.
func (l *leavingProcess) hasShareToTell() bool {
	return l.told.DiskBytes-l.disk.Bytes() >= l.use.Limit/tellDiskDivisor || l.told.ClientConns-l.conns >= tellConns
}

// fitUpdate returns the bytes to pass for an update, without messages. What the next process can do
// without is left out of one that does not fit into capacity bytes.
func (l *leavingProcess) fitUpdate(update *handover.Update, capacity int64) int64 {
	kept := l.kept()
	update.Kept = &kept
	cost := l.cost(nil, update, clock.Scale{})
	if cost > capacity && (update.EndpointList != nil || update.LearnedState != nil) {
		update.EndpointList, update.LearnedState = nil, nil
		cost = l.cost(nil, update, clock.Scale{})
	}
	return cost
}

// cost returns the bytes to pass for a transfer.
func (l *leavingProcess) cost(msgs []*memory.Message, update *handover.Update, scale clock.Scale) int64 {
	metadata := update.Encode()
	reserve := int64(0)
	for _, m := range msgs {
		reserve += l.journal.MessageReserve(len(m.ID))
	}
	content := int64(len(journal.EncodeTransfer(msgs, metadata, scale)))
	return share.TransferCost(content, int64(len(journal.EncodeTransfer(nil, metadata, scale))), reserve)
}

// send writes a transfer, which tells what this process keeps from then on.
func (l *leavingProcess) send(msgs []*memory.Message, update *handover.Update, scale clock.Scale) error {
	kept := l.kept()
	update.Kept = &kept
	cost := l.cost(msgs, update, scale)
	l.disk.Pass(cost)
	kept.DiskBytes = l.disk.Bytes() // has no more digits than the cost was counted with
	content := journal.EncodeTransfer(msgs, update.Encode(), scale)
	size := plan.DiskSize(int64(len(content)))
	l.use.Spooled += size
	l.applyShare()
	if err := l.write(content); err != nil {
		l.disk.Restore(cost)
		l.use.Spooled -= size
		l.applyShare()
		return err
	}
	l.told = kept
	return nil
}
