// Package returns deals out the times at which refused callers are told to come back, so
// that they come in the order of their refusals and no faster than there is room for. What
// is promised to them is kept from callers that come for the first time.
package returns

import (
	"slices"
	"time"
)

const (
	// claimGrace is how long after its time a promise is kept: the time in which a caller
	// connects and sends its request again.
	claimGrace = 500 * time.Millisecond
	// minRate is the lowest rate at which times are dealt out, as a part of the resource.
	minRate = 0.02
)

// Ledger holds the promises for one resource and one kind of callers. Work is the time
// that it takes at the whole resource. The zero value is ready to use. It is not safe for
// concurrent use.
type Ledger struct {
	// promises holds the outstanding promises, the earliest first.
	promises []promise
	// next is when the room after the last promise begins.
	next time.Time
}

// promise is room that is kept for one caller.
type promise struct {
	caller string
	at     time.Time
	work   time.Duration
}

// Promise returns the time from now at which there is room for the given work of a caller,
// at the earliest at the given time. rate is the part of the resource that callers who return may
// take. If that would be after latest, nothing is promised, and ok is false.
func (l *Ledger) Promise(now time.Time, caller string, earliest, latest, work time.Duration, rate float64) (after time.Duration, ok bool) {
	l.expire(now)
	at := now.Add(earliest)
	if l.next.After(at) {
		at = l.next
	}
	after = at.Sub(now)
	if after > latest {
		return after, false
	}
	l.promises = append(l.promises, promise{caller, at, work})
	l.next = at.Add(time.Duration(float64(work) / max(rate, minRate)))
	return after, true
}

// Claim removes the earliest promise to a caller that has come back. It reports whether
// there was one whose time has come.
func (l *Ledger) Claim(now time.Time, caller string) bool {
	l.expire(now)
	for i, p := range l.promises {
		if p.caller == caller && !now.Add(claimGrace).Before(p.at) {
			l.promises = slices.Delete(l.promises, i, i+1)
			return true
		}
	}
	return false
}

// Due returns the promised work whose callers are expected until the given time from now.
func (l *Ledger) Due(now time.Time, within time.Duration) time.Duration {
	l.expire(now)
	sum := time.Duration(0)
	for _, p := range l.promises {
		if p.at.After(now.Add(within)) {
			break
		}
		sum += p.work
	}
	return sum
}

// expire removes the promises whose callers have not come back.
func (l *Ledger) expire(now time.Time) {
	l.promises = slices.DeleteFunc(l.promises, func(p promise) bool { return now.After(p.at.Add(claimGrace)) })
}
