package rollout

import (
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

const (
	// staleRegistration is how long after a completion the registrations of stopped
	// endpoints may still be in the store.
	staleRegistration = time.Minute
	// offerTime is how long after they were offered stage calls may go to endpoints.
	offerTime = 200 * time.Millisecond
	// maxColdPart is the part of the roll-out after which answers of cold endpoints are
	// judged for their time as well.
	maxColdPart = 0.5
	// drainDecline is the weight of a run at another version that is shorter than the
	// longest of late.
	drainDecline = 0.02
)

// Clock tells the time.
type Clock interface{ Now() time.Time }

// Participant is the part of one host in one roll-out. It is safe for concurrent use.
type Participant struct {
	bounds Bounds
	order  Order
	clock  Clock
	// begun is when this host learned of the order, and ahead how much longer another host
	// has known it.
	begun time.Time
	ahead time.Duration

	mu sync.Mutex
	// slack is this host's part of Bounds.Slack.
	slack float64
	// sent and exposed are the requests that went to the service and to the target;
	// reserved is the number of those that may go to the target next.
	sent, exposed, reserved int64
	// permits is the number of requests that may be at another version or go there.
	permits int64
	// unknownUntil is when the last request has ended that may be at another version since
	// before this host knew the order.
	unknownUntil time.Time
	// othersSeen is set once an endpoint of another version was known.
	othersSeen bool
	grant      Grant
	grantEnds  time.Time
	openEnds   time.Time
	// firstGrantAt is when the first of the collectors was asked for its newest grant.
	firstGrantAt time.Time
	// offeredUntil is until when a stage call may go to another version that was offered.
	offeredUntil time.Time
	// statusRevision is that of the status; endedAt is when this host learned of the end, and
	// endedRevision that of the status then.
	status         Status
	statusRevision int64
	endedAt        time.Time
	endedRevision  int64
	// sealed is the revision of the status to which the seal is bound; 0 without a seal.
	sealed  int64
	stopped string
	cells   map[Key]*versionedCell
	// version counts the changes of cells.
	version int64
	drain   time.Duration
	coldEnd map[catalog.Incarnation]time.Time
}

type versionedCell struct {
	Counts
	version int64
}

// Grant is what a collector allows a host for some time.
type Grant struct {
	// Elapsed is the time since the order.
	Elapsed time.Duration `cbor:"1,keyasint"`
	// Share of the requests goes to the target; with Full all, unless it has no endpoint
	// for them.
	Share float64 `cbor:"2,keyasint,omitempty"`
	Full  bool    `cbor:"3,keyasint,omitempty"`
	// Seal is the revision of the status in force if no request may go to another version
	// until the status has another revision; 0 otherwise.
	Seal int64 `cbor:"4,keyasint,omitempty"`
	// Stopped is why the target is bad; empty if it is not. It is final.
	Stopped string `cbor:"5,keyasint,omitempty"`
	// Known is the newest version of the host's cells that the collector has.
	Known int64 `cbor:"6,keyasint,omitempty"`
	// Open is how long, from the report, the bound holds for all hosts together whatever
	// this one has used of its part.
	Open time.Duration `cbor:"7,keyasint,omitempty"`
}

// Report is what a host tells a collector.
type Report struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation is the start of the host's process.
	Incarnation int64         `cbor:"2,keyasint"`
	Elapsed     time.Duration `cbor:"3,keyasint"`
	Sent        int64         `cbor:"4,keyasint"`
	Exposed     int64         `cbor:"5,keyasint"`
	// Permits is the number of requests that may be at another version.
	Permits int64  `cbor:"6,keyasint"`
	Full    bool   `cbor:"7,keyasint,omitempty"`
	Sealed  int64  `cbor:"8,keyasint,omitempty"`
	Stopped string `cbor:"9,keyasint,omitempty"`
	// Drain is the longest that a request ran at another version of late.
	Drain time.Duration `cbor:"10,keyasint,omitempty"`
	// Cells are those that changed after the version Base, up to Version.
	Cells   []Cell `cbor:"11,keyasint,omitempty"`
	Base    int64  `cbor:"12,keyasint,omitempty"`
	Version int64  `cbor:"13,keyasint,omitempty"`
	// TargetUsable says that the host knows endpoints of the target.
	TargetUsable bool `cbor:"14,keyasint,omitempty"`
}

// NewParticipant returns the part of a host that learns of an order now. late says that the
// host has started after the order: it has no part of the slack.
func NewParticipant(b Bounds, order Order, late bool, clock Clock) *Participant {
	if late {
		b.Slack = 0
	}
	return &Participant{bounds: b, order: order, clock: clock, begun: clock.Now(), cells: make(map[Key]*versionedCell), coldEnd: make(map[catalog.Incarnation]time.Time)}
}

// Order returns the order.
func (p *Participant) Order() Order { return p.order }

// SetHosts sets the number of hosts that divide the slack.
func (p *Participant) SetHosts(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slack = slackMargin * p.bounds.Slack / float64(n+spareHosts)
}

// SetLongestRun sets how long a request to the service may run.
func (p *Participant) SetLongestRun(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unknownUntil = p.begun.Add(d)
}

// SetStatus tells the status in the store and its revision, 0 for none.
func (p *Participant) SetStatus(s Status, revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Target != p.order.Target {
		s.State = None
	}
	if s.State.Ended() && !p.status.State.Ended() {
		p.endedAt, p.endedRevision = p.clock.Now(), revision
	}
	if p.status.State.Ended() && !s.State.Ended() {
		s.State = p.status.State // a restored store has lost the end
	}
	if p.sealed != 0 && revision != p.sealed {
		p.sealed = 0
	}
	p.status, p.statusRevision = s, revision
}

// Ended returns the state in which the roll-out has ended for this host.
func (p *Participant) Ended() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.status.State.Ended() {
		return p.status.State
	}
	return None
}

// Apply applies a collector's grant to a report made at the given time. isFirst says that
// it is the first of the collectors; of another one only a stop counts while the first grants.
func (p *Participant) Apply(g Grant, reportedAt time.Time, isFirst bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.Stopped != "" {
		p.stop(g.Stopped)
	}
	p.ahead = max(p.ahead, g.Elapsed-p.clock.Now().Sub(p.begun))
	if isFirst {
		p.firstGrantAt = reportedAt
	} else if reportedAt.Sub(p.firstGrantAt) < p.bounds.GrantTime()/2 {
		return
	}
	p.grant, p.grantEnds, p.openEnds = g, reportedAt.Add(p.bounds.GrantTime()), reportedAt.Add(g.Open)
	if g.Seal != 0 && g.Seal == p.statusRevision && p.stopped == "" {
		p.sealed = g.Seal
	}
}

// stop ends all sends to the target for good. p.mu must be held.
func (p *Participant) stop(cause string) {
	if p.stopped == "" {
		p.stopped = cause
	}
	p.sealed = 0
}

func (p *Participant) elapsed() time.Duration { return p.clock.Now().Sub(p.begun) + p.ahead }

// isStopped reports whether nothing goes to the target any more.
func (p *Participant) isStopped() bool {
	return p.status.State != Completed && (p.stopped != "" || p.status.State == RolledBack)
}

// mayExpose reports whether one more request to the target is within this host's part of
// the bound.
func (p *Participant) mayExpose() bool {
	if p.elapsed() >= p.order.Duration || p.clock.Now().Before(p.openEnds) {
		return true
	}
	return float64(p.exposed+p.reserved+1) <= boundMargin*p.bounds.Share*float64(p.sent)+p.slack
}

// split returns the endpoints of the target and the others.
func (p *Participant) split(endpoints []*catalog.Endpoint) (target, others []*catalog.Endpoint) {
	for _, e := range endpoints {
		if e.SoftwareVersion == p.order.Target {
			target = append(target, e)
		} else {
			others = append(others, e)
		}
	}
	return target, others
}

// isCold reports whether an endpoint of the target may still be slow from its start.
func (p *Participant) isCold(e *catalog.Endpoint, warmUp time.Duration) bool {
	end, known := p.coldEnd[e.Incarnation()]
	if !known {
		end = p.clock.Now().Add(max(warmUp, e.WarmUpRemaining))
		p.coldEnd[e.Incarnation()] = end
	}
	return p.clock.Now().Before(end) && p.elapsed() < scale(maxColdPart, p.order.Duration)
}

// Report returns the report for a collector that has the cells up to the version known.
// endpoints are the usable ones of the service.
func (p *Participant) Report(host string, incarnation, known int64, endpoints []*catalog.Endpoint) Report {
	target, others := p.split(endpoints)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.othersSeen = p.othersSeen || len(others) > 0
	r := Report{Host: host, Incarnation: incarnation, Elapsed: p.elapsed(), Sent: p.sent, Exposed: p.exposed, Permits: p.permits, Sealed: p.sealed,
		Full: p.grant.Full && p.clock.Now().Before(p.grantEnds), Stopped: p.stopped, Drain: p.drain, Base: known, Version: p.version, TargetUsable: len(target) > 0}
	if p.clock.Now().Before(p.unknownUntil) || p.clock.Now().Before(p.offeredUntil) {
		r.Permits++
	}
	if p.status.State == RolledBack && r.Stopped == "" {
		r.Stopped = "rolled back before"
	}
	for key, cell := range p.cells {
		if cell.version > known {
			r.Cells = append(r.Cells, Cell{key, cell.Counts})
		}
	}
	return r
}

// Elapsed returns the time since the order, as far as this host knows.
func (p *Participant) Elapsed() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.elapsed()
}

// Exposure returns the requests that this host has sent to the service and to the target.
func (p *Participant) Exposure() (sent, exposed int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent, p.exposed
}

// Share returns the share of the requests that goes to the target now.
func (p *Participant) Share() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.status.State == Completed || p.sealed != 0:
		return 1
	case p.isStopped() || !p.clock.Now().Before(p.grantEnds):
		return 0
	default:
		return p.grant.Share
	}
}
