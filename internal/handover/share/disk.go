// Package share divides a relay's limits between two of its processes while one replaces the other.
// The process that leaves keeps a share that only shrinks, and tells its size with each transfer;
// the other one may use the rest. So what both may use never exceeds the limit, however late the
// other one learns of a change. The package does no I/O and reads no clock.
package share

import "oatfold/internal/memory/journal/plan"

// Kept is what a leaving process keeps of the relay's limits from now on. Later values are never
// larger.
type Kept struct {
	ProcessDir  string `json:"dir"`     // name of the process's directory
	DiskBytes   int64  `json:"disk"`    // for its journal, and its transfers in the spool
	ClientConns int    `json:"conns"`   // connections of clients
	Pending     int    `json:"pending"` // messages that it holds
}

// DiskUse is the use of the disk limit as a leaving process sees it, in bytes.
type DiskUse struct {
	Limit   int64 // for the journals and transfers of all processes
	Others  int64 // files of others, or what they keep if that is more
	Spooled int64 // own transfers in the spool
	Needed  int64 // own journal: its files, and what it must still be able to write
}

// fairShare returns what the leaving process has and needs, and half of what is free.
func (u DiskUse) fairShare() int64 {
	own := u.Needed + u.Spooled
	return own + max(0, u.Limit-u.Others-own)/2
}

// LeavingDisk is the share of the disk limit that a leaving process keeps.
type LeavingDisk struct{ bytes int64 }

// KeepDisk returns the share of a process that begins to leave.
func KeepDisk(use DiskUse) LeavingDisk { return LeavingDisk{use.fairShare()} }

// Bytes returns the size of the share.
func (l LeavingDisk) Bytes() int64 { return l.bytes }

// Lower gives up what the process no longer needs, and half of what is free.
func (l *LeavingDisk) Lower(use DiskUse) { l.bytes = min(l.bytes, use.fairShare()) }

// JournalBudget returns the part of the share that the journal may use: all but the transfers, and
// the room for further ones, so that no new message keeps the others from being passed on.
func (l LeavingDisk) JournalBudget(use DiskUse) int64 {
	return l.bytes - use.Spooled - min(l.free(use)/2, 2*MaxTransferBytes)
}

// free returns what the share has beyond what its process needs.
func (l LeavingDisk) free(use DiskUse) int64 { return max(0, l.bytes-use.Spooled-use.Needed) }

// MaxTransferBytes bounds the messages of a transfer. It has room for one with the longest body, 64
// KiB, and all that goes with it.
const MaxTransferBytes = 80 << 10

// Transfer is the size of a transfer, in bytes.
type Transfer struct {
	File     int64 // its file
	Messages int64 // the part with the messages
	Kept     int64 // the file that takes its place in the spool, for a restart
	Reserve  int64 // what the other journal reserves for the records that may follow
}

// Passed returns the bytes to pass with the transfer: the room that its messages take in the other
// journal, and that of the file that stays.
func (t Transfer) Passed() int64 {
	return plan.DiskSize(t.Messages+plan.BlockSize) + plan.DiskSize(t.Kept) + t.Reserve
}

// needs returns what a transfer takes of the share until it is adopted: its file is in the spool,
// and what it passes is given up already.
func (t Transfer) needs() int64 { return plan.DiskSize(t.File) + t.Passed() }

// Fits reports whether a transfer may be written now.
func (l LeavingDisk) Fits(use DiskUse, t Transfer) bool { return t.needs() <= l.free(use) }

// MessageCapacity returns how many bytes of messages may be added to a transfer that has none yet.
// They count in its file and in the other journal.
func (l LeavingDisk) MessageCapacity(use DiskUse, t Transfer) int64 {
	return min(max(0, l.free(use)-t.needs())/2, MaxTransferBytes)
}

// Pass gives up what a transfer passes. It is called before the transfer is written, with the
// result as what this process keeps.
func (l *LeavingDisk) Pass(t Transfer) { l.bytes -= t.Passed() }

// Restore takes back what was passed with a transfer that could not be written.
func (l *LeavingDisk) Restore(t Transfer) { l.bytes += t.Passed() }

// SuccessorDisk returns what a journal may use beside others: their files, or what they keep if
// that is more.
func SuccessorDisk(limit, others int64) int64 { return limit - others }

// UntoldDisk returns what a journal that has or reserves own bytes may use beside a leaving process
// that does not tell its share, as earlier versions don't: half of what is free, which that process
// leaves.
func UntoldDisk(limit, own, others int64) int64 { return own + max(0, limit-own-others)/2 }

// Adoption divides the disk limit while one process adopts the journal of another that has ended,
// whose messages are in both journals for a moment.
type Adoption struct {
	Successor int64 // budget of the own journal for new messages
	Adopted   int64 // budget of the adopted journal, whose compaction frees its space
	Batch     int64 // bytes to adopt at once
}

// DivideForAdoption returns the division: adopted is the size of the adopted journal, own what the
// other one has and reserves, and others what all the rest takes.
func DivideForAdoption(limit, others, adopted, own int64) Adoption {
	room := plan.DiskSize(plan.SegmentSize(limit)) + MaxTransferBytes
	successor := limit - others - adopted - room
	free := max(0, limit-others-adopted-max(successor, own))
	batch := min(free/2, MaxTransferBytes)
	return Adoption{Successor: successor, Adopted: adopted + free - batch, Batch: batch}
}
