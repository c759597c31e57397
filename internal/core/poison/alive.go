package poison

import (
	"log/slog"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

const (
	// aliveMargin is how long after the time of a crash a response shows that the endpoint
	// has not crashed: longer than what is added to the ages of reports on their way.
	aliveMargin = 3 * time.Second
	// aliveTTL is how long a response is remembered: longer than crashes without a blame,
	// which other hosts may still tell.
	aliveTTL = clearTTL
	// maxAlive bounds the endpoints whose responses are remembered, and maxAliveReports those
	// in one message.
	maxAlive        = 1024
	maxAliveReports = 64
)

// aliveEndpoint is an incarnation that responded after it had been taken for crashed.
type aliveEndpoint struct {
	respondedAt, learnedAt time.Time
}

// AliveReport tells another host that an incarnation that was taken for crashed responded.
type AliveReport struct {
	Endpoint      string `cbor:"1,keyasint"`
	StartedUnixMs int64  `cbor:"2,keyasint,omitempty"`
	// AgeMs is the time since the response in milliseconds.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
}

// Alive records when incarnations of endpoints responded. Crashes of them that were recorded
// some seconds before are withdrawn: the endpoints had been silent, or out of reach. It returns
// those whose crashes are too recent to tell. Call it only if no later incarnation can have
// responded in their place.
func (l *Ledger) Alive(respondedAt map[catalog.Incarnation]time.Time) (unclear []catalog.Incarnation) {
	if l.Idle() {
		return nil
	}
	now := l.cfg.Clock.Now()
	l.lock(now)
	defer l.unlock()
	l.withdraw(now, func(i catalog.Incarnation, crashedAt time.Time) bool {
		at, responded := respondedAt[i]
		switch {
		case !responded:
			return false
		case at.Sub(crashedAt) < aliveMargin:
			if !slices.Contains(unclear, i) {
				unclear = append(unclear, i)
			}
			return false
		default:
			l.recordAlive(i, at, now)
			return true
		}
	})
	return unclear
}

// withdraw removes the crashes of the incarnations that are alive. l.mu must be held.
func (l *Ledger) withdraw(now time.Time, isAlive func(i catalog.Incarnation, crashedAt time.Time) bool) {
	for t, e := range l.traits {
		withdrawn := false
		for service, s := range e.services {
			for i, at := range s.crashedAt {
				if isAlive(i, at) {
					delete(s.crashedAt, i)
					l.losses[service].forget(i)
					withdrawn = true
				}
			}
		}
		if withdrawn {
			e.withdrawnAt = now
			l.changed = true
			l.settle(t, e, now, "endpoints respond again")
		}
	}
}

// recordAlive remembers that an incarnation responded. l.mu must be held.
func (l *Ledger) recordAlive(i catalog.Incarnation, at, now time.Time) {
	known, ok := l.alive[i]
	if ok && !at.After(known.respondedAt) {
		return
	}
	if !ok {
		l.cfg.Log.Info("endpoint that was taken for crashed responds", slog.String("endpoint", i.ID))
	}
	if len(l.alive) >= maxAlive {
		l.forgetAlive(now)
	}
	l.alive[i] = aliveEndpoint{at, now}
}

// forgetAlive forgets the responses that no longer count, or all if there are too many that
// do. l.mu must be held.
func (l *Ledger) forgetAlive(now time.Time) {
	for i, a := range l.alive {
		if now.Sub(a.respondedAt) > aliveTTL {
			delete(l.alive, i)
		}
	}
	if len(l.alive) >= maxAlive {
		clear(l.alive)
	}
}

// respondedSince reports whether an incarnation is known to have responded after a time. l.mu
// must be held.
func (l *Ledger) respondedSince(i catalog.Incarnation, at time.Time) bool {
	a, ok := l.alive[i]
	return ok && a.respondedAt.After(at)
}

// AliveReports returns which endpoints that were taken for crashed have responded, the newest
// first, 64 at most: with fresh only what this host learned in the last 2 s.
func (l *Ledger) AliveReports(fresh bool) []AliveReport {
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []AliveReport
	for i, a := range l.alive {
		if age := now.Sub(a.learnedAt); age <= freshTime || !fresh && age <= reportedClearAge {
			reports = append(reports, AliveReport{i.ID, i.StartedUnixMs, ageMs(now, a.respondedAt)})
		}
	}
	slices.SortFunc(reports, func(a, b AliveReport) int { return int(a.AgeMs - b.AgeMs) })
	return reports[:min(len(reports), maxAliveReports)]
}

// MergeAlive withdraws the crashes of endpoints that responded to other hosts. It ignores
// malformed reports.
func (l *Ledger) MergeAlive(reports []AliveReport) {
	now := l.cfg.Clock.Now()
	l.lock(now)
	defer l.unlock()
	learned := false
	for _, r := range reports[:min(len(reports), maxAliveReports)] {
		if !validName(r.Endpoint) || r.StartedUnixMs < 0 || !validAge(r.AgeMs) || r.AgeMs > aliveTTL.Milliseconds() {
			continue
		}
		i, at := catalog.Incarnation{ID: r.Endpoint, StartedUnixMs: r.StartedUnixMs}, receivedTime(now, r.AgeMs)
		if !l.respondedSince(i, at.Add(-aliveMargin)) {
			l.recordAlive(i, at, now)
			l.changed = true
			learned = true
		}
	}
	if learned {
		l.withdraw(now, l.respondedSince)
	}
}
