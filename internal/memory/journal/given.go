package journal

import (
	"errors"
	"fmt"
	"io"

	"oatfold/internal/clock"
	"oatfold/internal/memory"
)

// A file that one process gives to the next is a segment's head and records of the same form: messages as they stand, their plug-ins'
// notes, and last one record of news, which this package only carries.
const recNews byte = 'W'

// ErrIncompleteTransfer says that a given file is not whole.
var ErrIncompleteTransfer = errors.New("journal: given file is not whole")

// EncodeTransfer writes messages as they stand, dated on a scale that both processes have, and news. Their bodies have to be in memory; one that was not kept is, from here on.
func EncodeTransfer(msgs []*memory.Message, news []byte, dates clock.Scale) []byte {
	b := appendHead(nil, 0, 0, 0)
	for _, m := range msgs {
		kept := *m
		kept.MemoryOnly = false
		at := len(b)
		if b = frame(appendKept(append(begin(b), recKept), &kept, dates), at); len(m.PluginNotes) > 0 {
			at = len(b)
			b = frame(appendText(head(begin(b), recNotes, m.Number), m.PluginNotes), at)
		}
		if at = len(b); m.Terms != (memory.Terms{}) {
			b = frame(appendTerms(head(begin(b), recTerms, m.Number), m.Terms), at)
		}
	}
	at := len(b)
	return frame(append(append(begin(b), recNews), news...), at)
}

// DecodeTransfer reads such a file. Numbers are those of the process that gave.
func DecodeTransfer(raw []byte, dates clock.Scale) (msgs []*memory.Message, news []byte, err error) {
	s, whole := newState(dates), false
	end := walk(raw, func(_, _ int, payload []byte, bad error) {
		switch {
		case bad != nil:
			err = bad
		case payload[0] == recNews:
			news, whole = payload[1:], true
		default:
			if e := s.apply(payload); e != nil {
				err = e
			} else if payload[0] == recKept {
				nums(payload, func(n uint32) { msgs = append(msgs, s.table.Get(n)) })
			}
		}
	})
	if err != nil || !whole || end < len(raw) {
		return nil, nil, fmt.Errorf("%w: %w", ErrIncompleteTransfer, errors.Join(err, io.ErrUnexpectedEOF))
	}
	return msgs, news, nil
}

// AppendTransferred adds a message that another process had taken on, as it stands, and enters it into t. Like an end it is written as soon as the
// disk takes it: it was promised already.
func (j *Journal) AppendTransferred(t *memory.Table, m *memory.Message) {
	j.top = max(j.top, m.Number)
	j.open()
	j.arena = appendKept(append(j.arena, recKept), m, j.set.TimeScale)
	if j.shut(entry{num: m.Number}); len(m.PluginNotes) > 0 {
		j.open()
		j.arena = appendText(head(j.arena, recNotes, m.Number), m.PluginNotes)
		j.shut(entry{num: m.Number})
	}
	if m.Terms != (memory.Terms{}) {
		j.open()
		j.arena = appendTerms(head(j.arena, recTerms, m.Number), m.Terms)
		j.shut(entry{num: m.Number})
	}
	t.Add(m)
}

// HasUnwritten tells whether records wait for a disk that takes them.
func (j *Journal) HasUnwritten() bool { return len(j.batch) > 0 }

// UsedBytes is what the journal's files take.
func (j *Journal) UsedBytes() int64 { return j.used() }

// Unavailable tells whether the disk took no records at the last commit that had some.
func (j *Journal) Unavailable() bool { return j.sick }
