// Package fairshare finds out which customers take more than their share of scarce
// capacity. Shares are max-min fair with equal weights: what a customer doesn't ask for
// is divided among the others. As long as there is capacity for all that is asked for,
// nobody exceeds a share.
package fairshare

import (
	"math"
	"slices"
	"time"
)

const (
	// memory is the time constant with which asked and admitted work is forgotten.
	memory = 3 * time.Second
	// lackMemory is how long a lack of capacity counts.
	lackMemory = 10 * time.Second
	// scarceLoad is the part of the resource above which asked work makes it scarce. It is
	// less than the whole, because work comes unevenly.
	scarceLoad = 0.8
	// minAge is the shortest time that a ledger is taken to have counted for.
	minAge = 500 * time.Millisecond
	// levelMaxAge is how long a computed level is reused.
	levelMaxAge = 50 * time.Millisecond
	// forgottenRate is the rate of asked work below which a customer is removed.
	forgottenRate = 1e-4
)

// Ledger counts the work that customers ask for and that is admitted, for one resource.
// Work is the time that it takes at the whole resource. The zero value is ready to use. It
// is not safe for concurrent use.
type Ledger struct {
	customers map[string]*use
	// startedAt is when the first work was counted.
	startedAt time.Time
	// lackedAt is when work of a customer within its share was last not admitted in time.
	lackedAt time.Time
	// level is the rate up to which a customer is within its share, and contested the rate
	// of all who ask for more together, as of levelAt.
	level, contested float64
	levelAt          time.Time
}

// use is the decaying work of one customer.
type use struct {
	asked, admitted time.Duration
	at              time.Time
}

// decay forgets work up to the given time.
func (u *use) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(u.at)) / float64(memory))
	u.asked, u.admitted, u.at = time.Duration(factor*float64(u.asked)), time.Duration(factor*float64(u.admitted)), now
}

// rate returns the part of the resource that decaying work takes. What was asked for
// before the ledger started counts as much as since then.
func (l *Ledger) rate(now time.Time, work time.Duration) float64 {
	age := max(minAge, now.Sub(l.startedAt))
	return float64(work) / (float64(memory) * (1 - math.Exp(-float64(age)/float64(memory))))
}

// useOf returns the use of a customer at the given time.
func (l *Ledger) useOf(now time.Time, customer string) *use {
	u := l.customers[customer]
	if u == nil {
		if l.customers == nil {
			l.customers, l.startedAt = make(map[string]*use), now
		}
		u = &use{at: now}
		l.customers[customer] = u
	}
	u.decay(now)
	return u
}

// Ask counts work that a customer asks for. An empty customer is not counted.
func (l *Ledger) Ask(now time.Time, customer string, work time.Duration) {
	if customer != "" && work > 0 {
		l.useOf(now, customer).asked += work
	}
}

// Admit counts work of a customer that is admitted.
func (l *Ledger) Admit(now time.Time, customer string, work time.Duration) {
	if customer != "" && work > 0 {
		l.useOf(now, customer).admitted += work
	}
}

// Lack records that work of a customer within its share is not admitted: there is no more
// capacity than what is admitted. What customers above their share are refused is no such
// sign: their level would then keep itself low.
func (l *Ledger) Lack(now time.Time) { l.lackedAt = now }

// Exceeds reports whether a customer has more than its share of scarce capacity.
func (l *Ledger) Exceeds(now time.Time, customer string) bool {
	l.update(now)
	u := l.customers[customer]
	if u == nil {
		return false
	}
	u.decay(now)
	return l.rate(now, u.admitted) > l.level
}

// Contested returns the part of the resource that is divided among the customers who ask
// for more than their share: what the others leave.
func (l *Ledger) Contested(now time.Time) float64 {
	l.update(now)
	return min(1, l.contested)
}

// update computes the level if it is not recent. It is infinite unless several customers
// ask for more than there is.
func (l *Ledger) update(now time.Time) {
	if now.Sub(l.levelAt) < levelMaxAge {
		return
	}
	l.level, l.contested, l.levelAt = math.Inf(1), math.Inf(1), now
	asked := make([]float64, 0, len(l.customers))
	totalAsked, totalAdmitted := 0.0, 0.0
	for customer, u := range l.customers {
		u.decay(now)
		if l.rate(now, u.asked) < forgottenRate {
			delete(l.customers, customer)
			continue
		}
		asked = append(asked, l.rate(now, u.asked))
		totalAsked += l.rate(now, u.asked)
		totalAdmitted += l.rate(now, u.admitted)
	}
	capacity := scarceLoad
	if now.Sub(l.lackedAt) < lackMemory {
		capacity = min(capacity, totalAdmitted)
	}
	if len(asked) < 2 || totalAsked <= capacity {
		return
	}
	l.level, l.contested = Level(asked, capacity), 0
	for _, a := range asked {
		if a > l.level {
			l.contested += l.level
		}
	}
}

// Level returns the max-min fair level: if nobody gets more than that of what it asks for,
// all together get the capacity. It is infinite if they ask for less. It sorts asked.
func Level(asked []float64, capacity float64) float64 {
	slices.Sort(asked)
	for i, a := range asked {
		share := capacity / float64(len(asked)-i)
		if a > share {
			return share
		}
		capacity -= a
	}
	return math.Inf(1)
}
