package stagework

import (
	"slices"
	"strings"

	"github.com/pimentorill/pimentorill/internal/core/gather"
	"github.com/pimentorill/pimentorill/internal/core/poison"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/crashing"
	"github.com/pimentorill/pimentorill/internal/port"
)

// A piece may crash the endpoint that runs it, and all requests with pieces in the call are there
// then. A request that one more crash would have refused gets calls of its own: the crash is its
// own, or all of its pieces are made, which clears it.

// checkCrashes returns a *verdict.Error with CodeQuarantined and NotRun if the plan's pieces are
// not to be called.
func (sc *Scheduler) checkCrashes(p *Plan) error {
	if p.Trait == "" || sc.cfg.Crashes == nil {
		return nil
	}
	return sc.cfg.Crashes.CheckTrait(p.Trait)
}

// caution says how the plan's pieces may be called.
func (sc *Scheduler) caution(p *Plan) gather.Caution {
	switch sc.cfg.Crashes.Suspicion(p.Trait) {
	case poison.IsBlamed:
		return gather.Held
	case poison.OneMoreBlames:
		return gather.Alone
	default:
		return gather.Unrestricted
	}
}

// cancelRefused cancels the plans that are refused by now. The caller holds sc.mu.
func (sc *Scheduler) cancelRefused() {
	for r, cancel := range sc.runs {
		if err := sc.checkCrashes(r.Plan); err != nil {
			cancel(err)
		}
	}
}

// reportMade records that all pieces of a plan were made.
func (sc *Scheduler) reportMade(p *Plan) {
	if p.Trait == "" || sc.cfg.Crashes == nil {
		return
	}
	var services []string
	for _, s := range p.Stages {
		if s.Pieces > 0 && !slices.Contains(services, s.Service) {
			services = append(services, s.Service)
		}
	}
	sc.cfg.Crashes.ReportPieces(p.Trait, services)
}

// traitsOf returns the traits of the requests with pieces in a call. The caller holds sc.mu.
func (sc *Scheduler) traitsOf(c *gather.Call) []poison.Trait {
	if sc.cfg.Crashes == nil {
		return nil
	}
	requests := c.Requests()
	var traits []poison.Trait
	for r := range sc.runs {
		if r.Trait != "" && slices.Contains(requests, r.Request) && !slices.Contains(traits, r.Trait) {
			traits = append(traits, r.Trait)
		}
	}
	return traits
}

// beginCall records that a call is about to be made. The function returned records its outcome.
func (sc *Scheduler) beginCall(c *gather.Call, traits []poison.Trait) func(err error) {
	if sc.cfg.Crashes == nil {
		return func(error) {}
	}
	attempt := sc.cfg.Crashes.Begin(strings.Join(c.Requests(), ","), c.Endpoint, func() []poison.Trait { return traits })
	return func(err error) {
		switch {
		case err == nil:
			attempt.Heard()
			attempt.End(crashing.Answered)
		case verdict.Of(err) == verdict.NotRun:
			attempt.End(crashing.Answered)
		case port.IsConnectionLoss(err):
			attempt.End(crashing.Broken)
		default:
			attempt.End(crashing.Unanswered)
		}
	}
}
