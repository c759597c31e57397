package coldstart

import (
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// overcommit is the number of requests per slot, as reported and with this
	// host's own added, up to which a warm endpoint gets more.
	overcommit = 2
	// firstWindow is the number of attempts that one host sends at a time to
	// an endpoint that has just become warm. It grows with each answer.
	firstWindow = 1
	// reportLag is how old an endpoint's report may be.
	reportLag = 3 * time.Second
	// longUse is how long a permit has to last for an attempt whose deadline is
	// later than any permit's end.
	longUse = MaxLifetime - 2*time.Second
	// incarnationsKept is the number of earlier processes that late reports
	// are recognised from.
	incarnationsKept = 8
)

// state is what a Gate knows of one endpoint.
type state struct {
	endpoint string
	epoch    Epoch
	// word is the holder's last word: whether the endpoint is warm.
	word bool
	// fence is the highest fencing number that a reply came under.
	fence uint64
	// doubts counts this host's own doubts; settled is how many of them the
	// holder has answered.
	doubts, settled int
	// changedAt is when the epoch was taken over.
	changedAt time.Time
	// incarnations are the processes seen in reports, the newest last.
	incarnations []string

	inFlight int
	// window bounds inFlight while warm.
	window  int
	permits []*permit
	// returns are for the next Ask.
	returns []Return

	reported     port.LoadReport
	sentByReport int
}

// permit is the right to send one attempt that ends before it expires.
type permit struct {
	id, fence uint64
	expires   time.Time
}

func (s *state) doubted() bool { return s.doubts > s.settled }

func (s *state) warm() bool { return s.word && !s.doubted() }

// adopt takes over a newer word.
func (s *state) adopt(now time.Time, w Word) {
	if w.Epoch <= s.epoch {
		return
	}
	s.epoch, s.word = w.Epoch, w.Warm
	s.changedAt = now
	s.window = firstWindow
	s.reported = port.LoadReport{}
	s.incarnations = nil
	if w.Incarnation != "" {
		s.incarnations = []string{w.Incarnation}
	}
}

// full reports whether a warm endpoint has no place for one more attempt.
func (s *state) full(slots int) bool {
	return s.inFlight >= min(s.window, slots) || s.estimate() >= overcommit*slots
}

// use takes a permit that lasts until deadline, or longUse if that is
// earlier; nil if there is none.
func (s *state) use(now, deadline time.Time) *permit {
	if long := now.Add(longUse); deadline.After(long) {
		deadline = long
	}
	for i, p := range s.permits {
		if !p.expires.Before(deadline) && now.Before(p.expires) {
			s.permits = slices.Delete(s.permits, i, i+1)
			return p
		}
	}
	return nil
}

// estimate returns the requests at the endpoint: the last report, corrected by
// what this host has begun and ended since.
func (s *state) estimate() int {
	reported := s.reported.Running + s.reported.Waiting
	return max(s.inFlight, reported+s.inFlight-s.sentByReport)
}

// judge takes what an attempt's end tells and reports a sign of a cold start.
func (s *state) judge(now time.Time, end End) bool {
	sign := end.Reset
	if end.Load == nil {
		return sign
	}
	s.reported, s.sentByReport = *end.Load, s.inFlight
	if s.restarted(end.Load.Incarnation) {
		sign = true
	}
	if s.word && end.Load.Cold && now.Sub(s.changedAt) > reportLag {
		sign = true
	}
	return sign
}

// restarted notes the process that a report names and tells whether it is
// another one than the last. Reports of earlier processes come late and tell
// nothing.
func (s *state) restarted(incarnation string) bool {
	if incarnation == "" || slices.Contains(s.incarnations, incarnation) {
		return false
	}
	s.incarnations = append(s.incarnations, incarnation)
	if len(s.incarnations) > incarnationsKept {
		s.incarnations = s.incarnations[1:]
	}
	return len(s.incarnations) > 1
}

// giveBack moves the unused permits to the returns.
func (s *state) giveBack(now time.Time) {
	for _, p := range s.permits {
		if now.Before(p.expires) {
			s.returns = append(s.returns, p.result(End{}))
		}
	}
	s.permits = nil
}

// result returns the permit with what its attempt told.
func (p *permit) result(end End) Return {
	r := Return{Permit: p.id, Fence: p.fence, Answered: end.Answered, Lingers: end.Reset && !end.Stopped}
	if end.Load != nil {
		r.Incarnation, r.Cold = end.Load.Incarnation, end.Load.Cold
	}
	return r
}
