package rollout

import (
	"slices"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

// Choice is the version that one exchange goes to. The zero Choice is that of an exchange
// that has not asked. It is safe for concurrent use.
type Choice struct {
	// mu guards participant, whose lock guards the other fields.
	mu          sync.Mutex
	participant *Participant

	drawn       bool
	wantsTarget bool
	// reserved counts in Participant.reserved, permitted in permits. atOther is set while the
	// exchange is at another version.
	reserved, permitted, atOther bool
}

// bind makes the choice one of a participant. Another order, or another service, is another
// choice.
func (c *Choice) bind(p *Participant) {
	if c.bound() == p {
		return
	}
	c.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.participant = p
}

// bound returns the participant, nil before the exchange has asked.
func (c *Choice) bound() *Participant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.participant
}

// InProgress reports whether the exchange has asked about a roll-out that has not ended.
func (c *Choice) InProgress() bool {
	p := c.bound()
	return p != nil && p.Ended() == None
}

// Eligible returns the endpoints to which the exchange may go next; all are of the order's
// service. draw is a random number in [0,1), and free reports whether one of some endpoints
// takes a request now.
func (p *Participant) Eligible(c *Choice, endpoints []*catalog.Endpoint, draw float64, free func([]*catalog.Endpoint) bool) []*catalog.Endpoint {
	c.bind(p)
	target, others := p.split(endpoints)
	targetFree := len(target) > 0 && free(target)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.othersSeen = p.othersSeen || len(others) > 0
	granted := p.clock.Now().Before(p.grantEnds)
	switch {
	case p.status.State == Completed:
		p.endReservation(c)
		return append(target, p.startedSince(others)...)
	case p.isStopped():
		return p.permitOthers(c, others)
	case p.sealed != 0 && !c.permitted:
		return target
	case !p.othersSeen: // the version was the only one before the order
		return target
	}
	if !c.drawn && granted {
		c.drawn, c.wantsTarget = true, p.grant.Full || draw < p.grant.Share
	}
	// A stream that began at the target can go on only there.
	wants := c.wantsTarget && targetFree || len(others) == 0 && len(target) > 0
	if wants && granted && (c.reserved || p.mayExpose()) {
		if !c.reserved {
			c.reserved = true
			p.reserved++
		}
		if !c.atOther {
			p.endPermit(c)
		}
		return target
	}
	return p.permitOthers(c, others)
}

// permitOthers counts a permit for the other versions.
func (p *Participant) permitOthers(c *Choice, others []*catalog.Endpoint) []*catalog.Endpoint {
	p.endReservation(c)
	if !c.permitted {
		c.permitted = true
		p.permits++
	}
	return others
}

func (p *Participant) endReservation(c *Choice) {
	if c.reserved {
		c.reserved = false
		p.reserved--
	}
}

func (p *Participant) endPermit(c *Choice) {
	if c.permitted {
		c.permitted = false
		p.permits--
	}
}

// Release ends an exchange.
func (c *Choice) Release() {
	p := c.bound()
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endReservation(c)
	p.endPermit(c)
	c.drawn, c.wantsTarget, c.atOther = false, false, false
}

// Offered returns the endpoints to which a stage call may go now, and draw is as in Eligible.
// Only one of the target is offered while few requests go there.
func (p *Participant) Offered(endpoints []*catalog.Endpoint, draw float64) []*catalog.Endpoint {
	target, others := p.split(endpoints)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.othersSeen = p.othersSeen || len(others) > 0
	granted := p.clock.Now().Before(p.grantEnds)
	switch {
	case p.status.State == Completed:
		return append(target, p.startedSince(others)...)
	case p.isStopped():
	case p.sealed != 0, !p.othersSeen, granted && p.grant.Full && len(target) > 0 && p.mayExpose():
		return target
	case granted && len(target) > 0 && draw < p.grant.Share && p.mayExpose():
		i := int(draw / p.grant.Share * float64(len(target)))
		others = append(slices.Clip(others), target[min(i, len(target)-1)])
	}
	p.offeredUntil = p.clock.Now().Add(offerTime)
	return others
}

// ChooseOffered returns the choice of a stage call to an offered endpoint.
func (p *Participant) ChooseOffered(e *catalog.Endpoint) *Choice {
	c := &Choice{participant: p}
	if e.SoftwareVersion != p.order.Target {
		p.mu.Lock()
		defer p.mu.Unlock()
		c.permitted = true
		p.permits++
	}
	return c
}

// startedSince returns those of the endpoints of other versions that do not stop with the
// completion: they have registered after it.
func (p *Participant) startedSince(others []*catalog.Endpoint) []*catalog.Endpoint {
	if p.clock.Now().Sub(p.endedAt) > staleRegistration {
		return others
	}
	var started []*catalog.Endpoint
	for _, e := range others {
		if e.Revision > p.endedRevision {
			started = append(started, e)
		}
	}
	return started
}

// Begin records that the exchange is sent to an endpoint.
func (c *Choice) Begin(e *catalog.Endpoint) {
	p := c.bound()
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	if e.SoftwareVersion != p.order.Target {
		c.atOther = true
		return
	}
	p.exposed++
	p.endReservation(c)
}

// Answer is how an endpoint ended a request.
type Answer struct {
	Route  string
	Failed bool
	// Ignored means that the end says nothing about the endpoint.
	Ignored bool
	Time    time.Duration
}

// End records an answer. warmUp is how long endpoints of the service are cold.
func (c *Choice) End(e *catalog.Endpoint, a Answer, warmUp time.Duration) {
	p := c.bound()
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.atOther = false
	if c.reserved {
		p.endPermit(c)
	}
	if a.Ignored {
		return
	}
	key := Key{Route: a.Route, Zone: e.Zone}
	isTarget := e.SoftwareVersion == p.order.Target
	if isTarget {
		key.Endpoint = e.ID
	} else {
		p.drain = max(a.Time, p.drain+time.Duration(drainDecline*float64(a.Time-p.drain)))
	}
	cell := p.cells[key]
	if cell == nil {
		cell = &versionedCell{}
		p.cells[key] = cell
	}
	p.version++
	cell.version = p.version
	switch {
	case a.Failed:
		cell.Failures++
		c.wantsTarget = c.wantsTarget && !isTarget // the caller's next attempt goes to what is known
	case isTarget && p.isCold(e, warmUp):
		cell.Unjudged++
	default:
		cell.Times[bucketOf(a.Time)]++
	}
}
