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
// transfers within a share of the disk limit. What it gives up of that it never takes back: the
// next process may use it from when it is told.
type leavingProcess struct {
	write      func([]byte) error
	processDir string
	journal    *journal.Journal
	disk       share.LeavingDisk
	use        share.DiskUse // as last seen, and with the transfers written since
	conns      int           // client connections that it keeps
	pending    int           // messages that it may hold
	told       share.Kept    // what the next process was told last
}

// What is worth a transfer of its own once it is given up: a part of the disk limit, by which that
// is divided, and numbers of client connections and of messages.
const (
	tellDiskDivisor = 32
	tellConns       = 16
	tellPending     = 16
)

// newLeaving returns a process that begins to hand over, and lowers its journal's share.
// pending is how many messages it may hold.
func newLeaving(handOver Handover, messages *journal.Journal, pending int) *leavingProcess {
	l := &leavingProcess{write: handOver.Send, processDir: handOver.ProcessDir, journal: messages,
		use: handOver.Use.Disk, conns: handOver.Use.ClientConns, pending: pending}
	l.use.Needed = messages.NeededBytes(l.use.Limit)
	l.disk = share.KeepDisk(l.use)
	l.told = l.kept()
	l.applyShare()
	return l
}

// kept returns what the process keeps now.
func (l *leavingProcess) kept() share.Kept {
	return share.Kept{ProcessDir: l.processDir, DiskBytes: l.disk.Bytes(), ClientConns: l.conns, Pending: l.pending}
}

// update lowers the shares by what the process no longer needs. pending is how many messages it
// holds.
func (l *leavingProcess) update(use LeavingUse, pending int) {
	l.use = use.Disk
	l.use.Needed = l.journal.NeededBytes(l.use.Limit)
	l.disk.Lower(l.use)
	l.conns = min(l.conns, use.ClientConns)
	l.pending = share.LowerPending(l.pending, pending, l.conns)
	l.applyShare()
}

func (l *leavingProcess) applyShare() { l.journal.SetShare(l.disk.JournalBudget(l.use)) }

// hasShareToTell reports whether enough was given up for a transfer without messages.
func (l *leavingProcess) hasShareToTell() bool {
	return l.told.DiskBytes-l.disk.Bytes() >= l.use.Limit/tellDiskDivisor ||
		l.told.ClientConns-l.conns >= tellConns || l.told.Pending-l.pending >= tellPending
}

// fitUpdate returns the size of a transfer of an update without messages. What the next process can
// do without is left out of one that does not fit into the share: first the endpoint list, which it
// gets from discovery as well, then what was learned.
func (l *leavingProcess) fitUpdate(update *handover.Update) share.Transfer {
	l.use.Needed = l.journal.NeededBytes(l.use.Limit)
	size := l.measure(nil, update)
	if !l.disk.Fits(l.use, size) && update.EndpointList != nil {
		update.EndpointList = nil
		size = l.measure(nil, update)
	}
	if !l.disk.Fits(l.use, size) && update.LearnedState != nil {
		update.LearnedState = nil
		size = l.measure(nil, update)
	}
	return size
}

// messageCapacity returns how many bytes of messages may be added to an update.
func (l *leavingProcess) messageCapacity(update share.Transfer) int64 {
	return l.disk.MessageCapacity(l.use, update)
}

// measure returns the size of a transfer.
func (l *leavingProcess) measure(msgs []*memory.Message, update *handover.Update) (size share.Transfer) {
	kept := l.kept()
	update.Kept = &kept
	metadata := int64(len(journal.EncodeTransfer(nil, update.Encode(), clock.Scale{})))
	size.File = metadata
	size.Kept = int64(len(journal.EncodeTransfer(nil, update.ForRestart().Encode(), clock.Scale{})))
	for _, m := range msgs {
		size.Reserve += l.journal.MessageReserve(len(m.ID))
	}
	if len(msgs) > 0 {
		size.File = int64(len(journal.EncodeTransfer(msgs, update.Encode(), clock.Scale{})))
		size.Messages = size.File - metadata
	}
	return size
}

// send writes a transfer, which tells what this process keeps from then on.
func (l *leavingProcess) send(msgs []*memory.Message, update *handover.Update, scale clock.Scale) error {
	size := l.measure(msgs, update)
	l.disk.Pass(size)
	l.pending -= len(msgs)
	kept := l.kept() // has no more digits than it was measured with
	update.Kept = &kept
	content := journal.EncodeTransfer(msgs, update.Encode(), scale)
	fileBytes := plan.DiskSize(int64(len(content)))
	l.use.Spooled += fileBytes
	l.applyShare()
	if err := l.write(content); err != nil {
		l.disk.Restore(size)
		l.pending += len(msgs)
		l.use.Spooled -= fileBytes
		l.applyShare()
		return err
	}
	l.told = kept
	return nil
}
