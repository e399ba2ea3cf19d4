package plan

// completionShare is the part of the budget, as a divisor, that remembered completions may take.
const completionShare = 4

// CompletionLimit returns how many bytes of completion records are retained for their ids.
func CompletionLimit(budget int64) int64 { return budget / completionShare }

// CompletionWindow says which completions are recent enough to be retained: the last ones, bounded
// in number and in the bytes of their records. Completions have consecutive sequence numbers.
type CompletionWindow struct {
	sizes       []int32 // bytes by sequence number, modulo the number of places
	first, next uint64  // sequence numbers of the oldest retained one, and of the one after the latest
	bytes       int64   // of all that are retained
	limit       int64   // bytes
}

// NewCompletionWindow returns an empty window with places for count completions and limit bytes.
func NewCompletionWindow(count int, limit int64) *CompletionWindow {
	return &CompletionWindow{sizes: make([]int32, count), first: 1, next: 1, limit: limit}
}

// Add adds the completion with that sequence number, whose record has size bytes; 0 if it need not
// be retained. Skipped numbers count as such. One that is not above all earlier ones is ignored.
func (w *CompletionWindow) Add(sequence uint64, size int64) {
	if sequence < w.next {
		return
	}
	places := uint64(len(w.sizes))
	if sequence-w.next >= places { // all that were added before are too old
		w.first, w.next, w.bytes = sequence, sequence, 0
	}
	for w.next <= sequence {
		if w.next-w.first == places {
			w.dropFirst()
		}
		w.sizes[w.next%places] = 0
		w.next++
	}
	w.sizes[sequence%places] = int32(size)
	w.bytes += size
	w.trim()
}

// SetLimit changes the limit in bytes. What a lower limit drops stays dropped.
func (w *CompletionWindow) SetLimit(limit int64) {
	w.limit = limit
	w.trim()
}

// RetainFrom returns the sequence number from which on completions are retained.
func (w *CompletionWindow) RetainFrom() uint64 { return w.first }

func (w *CompletionWindow) trim() {
	for w.bytes > w.limit && w.first < w.next {
		w.dropFirst()
	}
}

func (w *CompletionWindow) dropFirst() {
	w.bytes -= int64(w.sizes[w.first%uint64(len(w.sizes))])
	w.first++
}
