package journal

import (
	"oatfold/internal/memory"
	"oatfold/internal/memory/journal/plan"
)

// defaultMaxAttempts is the limit of attempts for a message until SetMaxAttempts.
const defaultMaxAttempts = 6

// reserves counts the space that is kept free for the records that may still follow for each pending
// message: its attempts, its notification and its completion.
type reserves struct {
	maxAttempts  int
	idBytes      map[uint32]int // by message number
	totalIDBytes int
}

func newReserves() reserves {
	return reserves{maxAttempts: defaultMaxAttempts, idBytes: map[uint32]int{}}
}

// add reserves for a message, from when it is accepted.
func (r *reserves) add(m *memory.Message) {
	r.remove(m.Number)
	r.idBytes[m.Number] = len(m.ID)
	r.totalIDBytes += len(m.ID)
}

// remove ends the reserve of a message that is completed or not accepted after all.
func (r *reserves) remove(number uint32) {
	r.totalIDBytes -= r.idBytes[number]
	delete(r.idBytes, number)
}

// bytes returns the reserved space of all messages.
func (r *reserves) bytes() int64 {
	return int64(len(r.idBytes))*plan.MessageReserve(r.maxAttempts, 0) + int64(r.totalIDBytes)
}
