package origin

import (
	"container/list"
	"time"
)

// maxRecords bounds the records that a host holds: about 160 bytes each.
const maxRecords = 32 << 10

// Record is the origin of the stream that a caller's attempt began.
type Record struct {
	// Attempt is the id of the attempt that brought the first event.
	Attempt string `cbor:"1,keyasint"`
	Origin  Origin `cbor:"2,keyasint"`
	// Sequence orders the records of one attempt: each is replaced by a higher one.
	Sequence int `cbor:"3,keyasint,omitempty"`
}

// Records holds records until they expire, the oldest ones being dropped if there are
// too many. It is not safe for concurrent use.
type Records struct {
	byAttempt map[string]*list.Element
	// byAge holds the records in the order in which they were added.
	byAge *list.List
}

type storedRecord struct {
	Record
	expiresAt time.Time
}

// Supersedes reports whether a record replaces another one of its attempt: a higher one, or one by
// which the origin is in doubt.
func (r Record) Supersedes(o Record) bool {
	return r.Sequence > o.Sequence || r.Sequence == o.Sequence && !r.Origin.Known()
}

// NewRecords returns an empty store of records.
func NewRecords() *Records {
	return &Records{byAttempt: make(map[string]*list.Element), byAge: list.New()}
}

// Put adds a record until expiresAt, unless one of its attempt is there that supersedes it. It
// drops expired records.
func (r *Records) Put(record Record, now, expiresAt time.Time) {
	if e := r.byAttempt[record.Attempt]; e != nil {
		if e.Value.(storedRecord).Supersedes(record) {
			return
		}
		r.remove(e)
	}
	r.byAttempt[record.Attempt] = r.byAge.PushBack(storedRecord{record, expiresAt})
	for e := r.byAge.Front(); e != nil && (r.byAge.Len() > maxRecords || now.After(e.Value.(storedRecord).expiresAt)); e = r.byAge.Front() {
		r.remove(e)
	}
}

func (r *Records) remove(e *list.Element) {
	r.byAge.Remove(e)
	delete(r.byAttempt, e.Value.(storedRecord).Attempt)
}

// Get returns the record of an attempt; false if there is none.
func (r *Records) Get(attempt string, now time.Time) (Record, bool) {
	e := r.byAttempt[attempt]
	if e == nil {
		return Record{}, false
	}
	stored := e.Value.(storedRecord)
	return stored.Record, !now.After(stored.expiresAt)
}

// Len returns the number of records held.
func (r *Records) Len() int { return r.byAge.Len() }
