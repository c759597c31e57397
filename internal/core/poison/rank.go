package poison

import (
	"cmp"
	"log/slog"
	"slices"
	"time"
)

// evict removes the evidence of least weight, the oldest first, if there is too much
// of it. Blamed traits are only removed if there are too many of these alone. l.mu must
// be held.
func (l *Ledger) evict(now time.Time) {
	if len(l.traits) <= maxTraits {
		return
	}
	ranked := l.ranked(func(*evidence) bool { return true })
	for n := len(ranked); n > maxTraits-maxTraits/evictedShare; n-- {
		last := ranked[n-1]
		if last.blamed && n <= maxTraits {
			return
		}
		if last.blamed {
			l.cfg.Log.Warn("requests are no longer refused for crashes", slog.String("trait", string(last.trait)), slog.String("reason", "too many traits"),
				slog.Int("crashes", last.crashes), slog.Duration("after", now.Sub(last.blamedSince).Round(time.Millisecond)))
		}
		l.recount(last.crashes > 0, last.blamed, false, false)
		delete(l.traits, last.trait)
	}
}

type rankedEvidence struct {
	trait  Trait
	weight int
	*evidence
}

// ranked returns the evidence that is selected, the most important first: by weight,
// parts before whole requests, of which there are many, and by when it was learned.
// l.mu must be held.
func (l *Ledger) ranked(selected func(e *evidence) bool) []rankedEvidence {
	list := make([]rankedEvidence, 0, len(l.traits))
	for t, e := range l.traits {
		if selected(e) {
			list = append(list, rankedEvidence{t, e.weight(), e})
		}
	}
	slices.SortFunc(list, func(a, b rankedEvidence) int {
		if order := cmp.Compare(b.weight, a.weight); order != 0 {
			return order
		}
		if a.trait.isRequest() != b.trait.isRequest() {
			return map[bool]int{true: 1, false: -1}[a.trait.isRequest()]
		}
		return cmp.Or(b.learnedAt.Compare(a.learnedAt), cmp.Compare(a.trait, b.trait))
	})
	return list
}
