package exchange

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/rollout"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// rolledOut returns those of the endpoints to which a roll-out lets the exchange go.
func (r *exchangeRun) rolledOut(endpoints []*catalog.Endpoint) []*catalog.Endpoint {
	return r.cfg.Rollouts.Eligible(&r.version, r.service.Name, endpoints, func(some []*catalog.Endpoint) bool {
		return r.cfg.Balancer.CanPick(some, r.criteria(""))
	})
}

// recordVersion tells the roll-out how an attempt ended.
func (r *exchangeRun) recordVersion(e *catalog.Endpoint, outcome balance.Outcome, err error, took time.Duration) {
	a := rollout.Answer{Route: r.route.Name, Time: took}
	switch {
	case err == nil:
		a.Failed = r.record.status >= statusServerError
	case outcome == balance.Cancelled && verdict.From(err).Code == verdict.CodeCallerCancelled, outcome == balance.NoCapacity, outcome == balance.AddressReused, verdict.Of(err) == verdict.NotRun:
		a.Ignored = true
	case outcome == balance.Cancelled:
		a.Failed = r.remainingTime() <= deadlineMargin
		a.Ignored = !a.Failed
	default:
		a.Failed = true
	}
	r.cfg.Rollouts.End(&r.version, e, a)
}
