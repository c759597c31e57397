package stagework

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// requesterSilence is how long a host from which a plan has come may be silent before it is
// asked whether it is there: hosts with plans send others, or notices, more often.
const requesterSilence = 750 * time.Millisecond

// errRequesterLost is the cause with which the plans of a host that does not respond end.
// If their sender is there after all, it has others run them.
var errRequesterLost = verdict.New(verdict.CodeNotReady, verdict.NotRun, "the host that sent the plan did not respond")

// remotePlan is a plan that this host runs for another one.
type remotePlan struct {
	requester string
	cancel    context.CancelCauseFunc
}

// requester is a host for which this host runs plans.
type requester struct {
	heardAt time.Time
	// asked is set while this host waits for its response.
	asked bool
}

// beginRemotePlan records a plan that this host runs for another one. The function
// returned removes it.
func (d *Dispatcher) beginRemotePlan(request, host string, cancel context.CancelCauseFunc) (end func()) {
	d.heardFrom(host)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[request] = remotePlan{host, cancel}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.running, request)
	}
}

// heardFrom records that a host has sent something.
func (d *Dispatcher) heardFrom(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requesters[host] == nil {
		d.requesters[host] = &requester{}
	}
	d.requesters[host].heardAt = d.cfg.Clock.Now()
}

// checkRequesters asks the hosts that have been silent and whose plans run here whether
// they are there, and forgets those without plans. The connection of a host that is cut off
// or has lost its power stays open, and the results of its plans would be made for nobody.
func (d *Dispatcher) checkRequesters() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	withPlans := make(map[string]bool)
	for _, p := range d.running {
		withPlans[p.requester] = true
	}
	for host, r := range d.requesters {
		switch {
		case r.asked || now.Sub(r.heardAt) < requesterSilence:
		case !withPlans[host]:
			delete(d.requesters, host)
		default:
			r.asked = true
			go d.askRequester(host, r)
		}
	}
}

// askRequester ends the plans of a host that does not respond.
func (d *Dispatcher) askRequester(host string, r *requester) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	// A notice that cancels no plan: hosts of all builds respond to it.
	_, err := d.cfg.Peers.Ask(ctx, host, kindCancel, nil)
	d.mu.Lock()
	defer d.mu.Unlock()
	r.asked = false
	if err == nil {
		r.heardAt = d.cfg.Clock.Now()
		return
	}
	if d.cfg.Clock.Now().Sub(r.heardAt) < requesterSilence {
		return // it has sent something meanwhile
	}
	n := 0
	for _, p := range d.running {
		if p.requester == host {
			p.cancel(errRequesterLost)
			n++
		}
	}
	d.cfg.Log.Warn("plans of a lost host ended", slog.String("host", host), slog.Int("plans", n), slog.Any("error", err))
}

// requesterLost reports whether a plan has ended because its sender did not respond.
func requesterLost(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errRequesterLost) }
