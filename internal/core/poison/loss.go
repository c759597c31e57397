package poison

import (
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

const (
	// lossSize endpoints of a service that ended within lossSpan of each other were lost
	// together. The span covers the time that hosts take to notice it and the error of
	// the ages in reports.
	lossSize = 7
	lossSpan = 2 * time.Second
	// Further endpoints count as lost with them from marginBefore the first to marginAfter
	// the last of them. Times in reports are too early rather than too late.
	marginBefore = time.Second
	marginAfter  = 400 * time.Millisecond
	// lossInterval is the time after a loss in which no other one begins: endpoints that
	// go on crashing are not lost together.
	lossInterval = 10 * time.Second
	// lossTTL is how long a loss is remembered: longer than crashes without a blame.
	lossTTL = evidenceTTL + lossInterval
	// maxEndings bounds the endings of endpoints that are remembered of a service, and
	// maxLossServices the services.
	maxEndings      = 64
	maxLossServices = 64
)

// losses finds endpoints of a service that were lost together. What ended them is hardly
// a request: the requests that they were responding to share the parts that are in use
// everywhere.
type losses struct {
	endedAt map[catalog.Incarnation]time.Time
	// periods are those in which endpoints were lost together, in order.
	periods []period
}

type period struct{ from, to time.Time }

// ended records when an incarnation of an endpoint ended and reports whether it shows that
// endpoints were lost together. Only the first time that is recorded counts.
func (s *losses) ended(i catalog.Incarnation, at time.Time) bool {
	if _, known := s.endedAt[i]; known {
		return false
	}
	s.endedAt[i] = at
	if len(s.endedAt) > maxEndings {
		for i, other := range s.endedAt {
			if at.Sub(other) > lossSpan {
				delete(s.endedAt, i)
			}
		}
		if len(s.endedAt) > maxEndings {
			delete(s.endedAt, i)
			return false
		}
	}
	return s.find(at)
}

// forget takes back that an incarnation ended. s may be nil.
func (s *losses) forget(i catalog.Incarnation) {
	if s != nil {
		delete(s.endedAt, i)
	}
}

// find looks for endpoints that were lost together with one that ended at a time.
func (s *losses) find(at time.Time) bool {
	s.periods = slices.DeleteFunc(s.periods, func(p period) bool { return at.Sub(p.to) > lossTTL })
	for _, p := range s.periods {
		if at.After(p.from.Add(-lossInterval)) && at.Before(p.to.Add(lossInterval)) {
			return false
		}
	}
	var near []time.Time
	for _, other := range s.endedAt {
		if other.Sub(at).Abs() <= lossSpan {
			near = append(near, other)
		}
	}
	slices.SortFunc(near, time.Time.Compare)
	for i := 0; i+lossSize <= len(near); i++ {
		if first, last := near[i], near[i+lossSize-1]; last.Sub(first) <= lossSpan {
			s.periods = append(s.periods, period{first.Add(-marginBefore), last.Add(marginAfter)})
			return true
		}
	}
	return false
}

// lostTogether reports whether an endpoint that ended at a time was lost together with
// others. s may be nil.
func (s *losses) lostTogether(at time.Time) bool {
	return s != nil && slices.ContainsFunc(s.periods, func(p period) bool { return !at.Before(p.from) && !at.After(p.to) })
}

// ended records the end of an incarnation of an endpoint that is known to have ended, as it is for
// parts of prompts. l.mu must be held.
func (l *Ledger) ended(service string, i catalog.Incarnation, at time.Time) {
	s := l.losses[service]
	if s == nil {
		if len(l.losses) >= maxLossServices {
			return
		}
		s = &losses{endedAt: make(map[catalog.Incarnation]time.Time)}
		l.losses[service] = s
	}
	if s.ended(i, at) {
		l.sweptAt = time.Time{} // the next call settles all traits anew
	}
}

// countCrashes returns the number of crashes at a service that count against a trait with
// a threshold. Those of endpoints that were lost together are not enough for a blame. l.mu
// must be held.
func (l *Ledger) countCrashes(service string, s *serviceEvidence, threshold int) int {
	together := 0
	for _, at := range s.crashedAt {
		if l.losses[service].lostTogether(at) {
			together++
		}
	}
	return len(s.crashedAt) - max(0, together-(threshold-1))
}
