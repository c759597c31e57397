package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// maxReports bounds the reports sent in one message.
	maxReports = 24
	// spreadTime is how long a change is sent before everything else.
	spreadTime = 5 * time.Second
	// reportTransit is the time for which a report may be on its way. It is added to
	// its age, so that a report that returns to its source looks older there, not newer.
	reportTransit = 400 * time.Millisecond
)

// Report tells another host what an endpoint's newest response said about its rate
// limit. It has an age instead of a time, as the hosts' clocks differ.
type Report struct {
	Endpoint      string `cbor:"1,keyasint"`
	StartedUnixMs int64  `cbor:"2,keyasint,omitempty"`
	// Limited means that the response named a limit, PerSecond.
	Limited   bool    `cbor:"3,keyasint,omitempty"`
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since the response.
	Age time.Duration `cbor:"5,keyasint"`
}

// Reports returns what another host should know: recent changes first, then the
// limits in force that were confirmed last, maxReports at most.
func (l *Limiter) Reports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	type entry struct {
		Report
		isNew bool
	}
	var entries []entry
	for i, s := range l.states {
		sinceChange := now.Sub(s.changedAt)
		if s.confirmedAt.IsZero() || !s.limited && (s.changedAt.IsZero() || sinceChange > endedRetention) {
			continue
		}
		entries = append(entries, entry{Report{i.ID, i.StartedUnixMs, s.limited, s.rate, s.age(now)}, sinceChange <= spreadTime})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		if a.isNew != b.isNew {
			return map[bool]int{true: -1, false: 1}[a.isNew]
		}
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	reports := make([]Report, 0, min(len(entries), maxReports))
	for _, e := range entries[:min(len(entries), maxReports)] {
		reports = append(reports, e.Report)
	}
	return reports
}

// Merge applies the reports of another host, except those that are older than what
// this host knows.
func (l *Limiter) Merge(reports []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, r := range reports {
		i := catalog.Incarnation{ID: r.Endpoint, StartedUnixMs: r.StartedUnixMs}
		if l.limitedState(i) == nil && !r.Limited || r.Limited && !valid(r.PerSecond) || r.Age < 0 {
			continue
		}
		s := l.stateOf(i)
		at := now.Add(-r.Age - reportTransit)
		if !s.confirmedAt.IsZero() && s.age(now) <= now.Sub(at) {
			continue
		}
		s.confirmedAt = at
		l.apply(i, s, port.RateLimit{Named: r.Limited, PerSecond: r.PerSecond}, "host")
	}
}
