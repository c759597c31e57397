package exchange

import (
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// settleHedge ends the hedging of the attempt that has ended with err, and returns err, or nil if
// the hedge's response is forwarded. It waits for a hedge under way.
func (r *exchangeRun) settleHedge(err error) error {
	h := r.hedging
	if h == nil {
		return err
	}
	took := r.cfg.Clock.Now().Sub(h.startedAt)
	if err != nil && verdict.From(err).Code == verdict.CodeCallerCancelled && !h.hasWon() {
		h.take(false)
	}
	if r.record.hedged = !h.neverSent(); r.record.hedged {
		r.attempts++
	}
	switch {
	case err == nil && isSuccess(r.record.status):
		h.watch.Answered(took)
	case r.record.gaveUp != nil && !h.hasWon():
		h.watch.Beaten(took)
	}
	if err == nil || !r.record.hedged {
		return err
	}
	<-h.done
	r.attempted[h.endpoint.ID], r.sentTo[h.endpoint.Address] = true, true
	r.heldBytes += h.side.heldBytes
	if h.ran {
		r.executedAttempts++
	}
	if !h.hasWon() {
		if r.fallback == nil {
			r.fallback = h.failure
		}
		return err
	}
	h.watch.Beaten(took)
	r.record.endpoint, r.record.zone, r.record.softwareVersion, r.record.answer = h.endpoint.ID, h.endpoint.Zone, h.endpoint.SoftwareVersion, h.answer
	r.record.hedgeWon = true
	if isSuccess(h.response.status) {
		r.recordRunTime(h.took)
		r.cfg.Crashes.ReportResponse(r.request, h.endpoint.Service)
	}
	return r.writeResponse(h.response)
}

// neverSent reports whether no hedge was sent, and has none sent from now on.
func (h *hedging) neverSent() bool {
	h.mu.Lock()
	if h.endpoint != nil {
		h.mu.Unlock()
		return false
	}
	h.taken = true
	if h.timer != nil {
		h.timer.Stop()
	}
	started := h.started
	h.mu.Unlock()
	if started {
		<-h.done // it reads what the next attempt changes
	}
	return true
}

// countHedge counts in a metric of hedges.
func (r *exchangeRun) countHedge(name string, tags map[string]string) {
	if r.cfg.Metrics != nil {
		r.cfg.Metrics.Tagged(tags).Counter(name).Inc(1)
	}
}
