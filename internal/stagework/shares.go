package stagework

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/fairshare"
)

// exceedsShare counts what a plan asks for and reports whether its customer has more than
// its share of any of the services that the plan needs. contested is the part of these
// services that such customers divide among them; 1 if the customer is within its share.
// The caller holds sc.mu.
func (sc *Scheduler) exceedsShare(p *Plan, now time.Time) (exceeds bool, contested float64) {
	contested = 1
	for _, s := range p.Stages {
		work := sc.work(s, now)
		if p.Customer == "" || work == 0 {
			continue
		}
		ledger := sc.shares[s.Service]
		if ledger == nil {
			ledger = &fairshare.Ledger{}
			sc.shares[s.Service] = ledger
		}
		ledger.Ask(now, p.Customer, work)
		if ledger.Exceeds(now, p.Customer) {
			exceeds, contested = true, min(contested, ledger.Contested(now))
		}
	}
	return exceeds, contested
}

// countAdmitted counts what a plan is given. The caller holds sc.mu.
func (sc *Scheduler) countAdmitted(p *Plan, now time.Time) {
	sc.admittedWork[priorityLevel(p.Priority)].add(now, sc.largestWork(p, now))
	for _, s := range p.Stages {
		if ledger := sc.shares[s.Service]; ledger != nil {
			ledger.Admit(now, p.Customer, sc.work(s, now))
		}
	}
}

// countLack counts a plan of a customer within its share that is refused. The caller holds sc.mu.
func (sc *Scheduler) countLack(p *Plan, now time.Time) {
	for _, s := range p.Stages {
		if ledger := sc.shares[s.Service]; ledger != nil && s.Pieces > 0 {
			ledger.Lack(now)
		}
	}
}

// work returns how long the pieces of a stage take at all endpoints of its service; 0 if
// there are none. The caller holds sc.mu.
func (sc *Scheduler) work(s Stage, now time.Time) time.Duration {
	q := sc.queues[s.Service]
	if q == nil {
		return 0
	}
	work := drainTime(q.Limits(), s.Pieces, q.EffectiveEndpoints(now, ""))
	if work >= unboundedWait {
		return 0
	}
	return work
}
