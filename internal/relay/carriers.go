package relay

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// confirmedFor is how long a host counts as a carrier after it last reached an
	// endpoint for this host, and rejectedFor how long it is not asked after it did not.
	confirmedFor = 5 * time.Second
	rejectedFor  = time.Second
	// askedAtOnce is the number of hosts that are asked at the same time whether they
	// reach an endpoint; half of them are of this host's zone if there are enough.
	askedAtOnce = 4
	// maxAsked bounds the hosts that are asked in one search: an endpoint that has ended
	// responds to none, and all hosts ask.
	maxAsked = 12
	// wantedCarriers is the number of carriers among which the load is spread.
	wantedCarriers = 3
	// askTimeout bounds the question whether a host reaches an endpoint, and the wait for the
	// response to a notice.
	askTimeout = 400 * time.Millisecond
	// noticeInterval is the pause before a notice is sent again, and noticeTimeout the time
	// after which it is given up.
	noticeInterval = 100 * time.Millisecond
	noticeTimeout  = 10 * time.Second
)

// errMisdirected means that another endpoint has the address of the one that was looked for.
var errMisdirected = verdict.New(verdict.CodeEndpointFailed, verdict.NotRun, "another endpoint has the address")

// carriers are the hosts that carry calls for this one. It is safe for concurrent use.
type carriers struct {
	cfg Config

	mu    sync.Mutex
	hosts map[string]*carrierState
}

// carrierState is what this host knows of another one as a carrier.
type carrierState struct {
	// confirmedAt is when it last reached an endpoint for this host.
	confirmedAt time.Time
	// reached and rejected hold the endpoints that it reached and did not reach, with the
	// times.
	reached, rejected map[catalog.Incarnation]time.Time
	// rests holds the ends of the rests that endpoints have asked the host for.
	rests    map[catalog.Incarnation]time.Time
	inFlight int
}

func newCarriers(cfg Config) *carriers {
	return &carriers{cfg: cfg, hosts: make(map[string]*carrierState)}
}

// state returns the state of a host. The caller holds c.mu.
func (c *carriers) state(host string) *carrierState {
	s := c.hosts[host]
	if s == nil {
		s = &carrierState{reached: make(map[catalog.Incarnation]time.Time), rejected: make(map[catalog.Incarnation]time.Time), rests: make(map[catalog.Incarnation]time.Time)}
		c.hosts[host] = s
	}
	return s
}

// eligible returns the hosts that respond, are not leaving, and lie in the region of
// this host or of the endpoint: requests may be bound to regions.
func (c *carriers) eligible(e *catalog.Endpoint) []string {
	hosts := c.cfg.Hosts()
	var list []string
	for _, id := range c.cfg.Peers.Others() {
		region := c.cfg.Regions[hosts[id].Zone]
		if !hosts[id].Leaving && (region == c.cfg.Regions[c.cfg.Zone] || region == c.cfg.Regions[e.Zone]) {
			list = append(list, id)
		}
	}
	return list
}

// pick chooses the carrier of a call to an endpoint, none of those excluded, and counts
// the call until done is called with it: of two carriers drawn at random the one with
// fewer calls. It prefers those that reached this endpoint, then those of this host's zone.
// If the endpoint has asked all of them for rest, there is none; rest is the time until the
// first of these may send to it.
func (c *carriers) pick(e *catalog.Endpoint, excluded map[string]bool) (host string, rest time.Duration) {
	eligible := c.eligible(e)
	hosts := c.cfg.Hosts()
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var best []string
	bestRank := 0
	for _, id := range eligible {
		s := c.hosts[id]
		if s == nil || now.Sub(s.confirmedAt) > confirmedFor || now.Sub(s.rejected[e.Incarnation()]) < rejectedFor {
			continue
		}
		if left := s.rests[e.Incarnation()].Sub(now); left > 0 {
			if rest == 0 || left < rest {
				rest = left
			}
			continue
		}
		if excluded[id] {
			continue
		}
		rank := 1
		if now.Sub(s.reached[e.Incarnation()]) <= confirmedFor {
			rank += 2
		}
		if hosts[id].Zone == c.cfg.Zone {
			rank++
		}
		if rank > bestRank {
			best, bestRank = nil, rank
		}
		if rank == bestRank {
			best = append(best, id)
		}
	}
	if len(best) == 0 {
		return "", rest
	}
	host = best[rand.IntN(len(best))]
	if other := best[rand.IntN(len(best))]; c.hosts[other].inFlight < c.hosts[host].inFlight {
		host = other
	}
	c.hosts[host].inFlight++
	return host, 0
}

// recordRest records that an endpoint has asked a host for rest.
func (c *carriers) recordRest(host string, e *catalog.Endpoint, rest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(host).rests[e.Incarnation()] = c.cfg.Clock.Now().Add(rest)
}

// done ends a call that pick counted. reaches says that the carrier reaches the endpoint, as
// far as it is known; pathless that it has said that it does not.
func (c *carriers) done(host string, e *catalog.Endpoint, reaches, pathless bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(host)
	s.inFlight--
	if pathless {
		// It may have lost its path to all endpoints.
		s.confirmedAt = time.Time{}
	}
	c.recordLocked(s, e, reaches)
}

// record records whether a host reached an endpoint for this host.
func (c *carriers) record(host string, e *catalog.Endpoint, reached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordLocked(c.state(host), e, reached)
}

// recordLocked is record for a caller that holds c.mu.
func (c *carriers) recordLocked(s *carrierState, e *catalog.Endpoint, reached bool) {
	now := c.cfg.Clock.Now()
	if !reached {
		s.rejected[e.Incarnation()] = now
		delete(s.reached, e.Incarnation())
		return
	}
	s.confirmedAt = now
	s.reached[e.Incarnation()] = now
	delete(s.rejected, e.Incarnation())
}

// prune forgets hosts that are no longer known, and what is out of date.
func (c *carriers) prune() {
	hosts := c.cfg.Hosts()
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.hosts {
		for _, m := range []map[catalog.Incarnation]time.Time{s.reached, s.rejected} {
			for i, at := range m {
				if now.Sub(at) > confirmedFor {
					delete(m, i)
				}
			}
		}
		for i, end := range s.rests {
			if now.After(end) {
				delete(s.rests, i)
			}
		}
		if _, known := hosts[id]; !known && s.inFlight == 0 {
			delete(c.hosts, id)
		}
	}
}

// candidates returns the hosts to ask next whether they reach an endpoint: carriers
// first, then hosts of this zone and of others, in a random order. With toSend, hosts that the
// endpoint has asked for rest are left out.
func (c *carriers) candidates(e *catalog.Endpoint, asked map[string]bool, toSend bool) []string {
	hosts := c.cfg.Hosts()
	now := c.cfg.Clock.Now()
	eligible := c.eligible(e)
	rand.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	var confirmed, near, far []string
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range eligible {
		s := c.hosts[id]
		switch {
		case asked[id] || s != nil && now.Sub(s.rejected[e.Incarnation()]) < rejectedFor:
		case toSend && s != nil && s.rests[e.Incarnation()].After(now):
		case s != nil && now.Sub(s.confirmedAt) <= confirmedFor:
			confirmed = append(confirmed, id)
		case hosts[id].Zone == c.cfg.Zone:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	if len(confirmed) >= wantedCarriers {
		return confirmed[:1]
	}
	nearCount := min(len(near), max(askedAtOnce/2, askedAtOnce-len(far)))
	list := append(confirmed, append(near[:nearCount:nearCount], far...)...)
	return list[:min(askedAtOnce, len(list))]
}

// find returns nil once a host says that it reaches the endpoint, with toSend one that the
// endpoint has not asked for rest, and with anew one to which it responds now. The error is that of
// the last host asked, or errNoCarrier.
func (c *carriers) find(ctx context.Context, e *catalog.Endpoint, toSend, anew bool) error {
	defer c.prune()
	payload, err := cbor.Marshal(probeRequest{Endpoint: refTo(e), Anew: anew})
	if err != nil {
		return err
	}
	err = errNoCarrier
	for asked := make(map[string]bool); ctx.Err() == nil && len(asked) < maxAsked; {
		hosts := c.candidates(e, asked, toSend)
		if len(hosts) == 0 {
			return err
		}
		answers := make(chan error, len(hosts))
		for _, host := range hosts {
			asked[host] = true
			go func() {
				rest, err := c.ask(ctx, host, e, payload)
				if err == nil && toSend && rest > 0 {
					err = errNoCarrier
				}
				answers <- err
			}()
		}
		for range hosts {
			if answer := <-answers; answer == nil {
				return nil
			} else {
				err = answer
			}
		}
	}
	return cmp.Or(ctx.Err(), err)
}

// ask asks a host whether it reaches an endpoint, and records the answer. rest is how long the
// endpoint has asked the host for rest. The question is not dropped if ctx ends: each answer
// helps to find carriers.
func (c *carriers) ask(ctx context.Context, host string, e *catalog.Endpoint, payload []byte) (rest time.Duration, err error) {
	askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	encoded, err := c.cfg.Peers.Ask(askCtx, host, kindProbe, payload)
	var reply callReply
	if err == nil {
		if err = cbor.Unmarshal(encoded, &reply); err == nil && reply.Failure != nil {
			err = reply.Failure.decode(host)
		} else if err == nil && reply.Misdirected {
			err = errMisdirected
		}
	}
	c.record(host, e, err == nil)
	if err != nil {
		c.cfg.Log.Debug("host does not reach an endpoint either", slog.String("host", host), slog.String("endpoint", e.ID), slog.Any("error", err))
		return 0, err
	}
	if reply.Notice.Rest > 0 {
		c.recordRest(host, e, reply.Notice.Rest)
	}
	return reply.Notice.Rest, nil
}

// notify sends a notice to a carrier, again until it responds or noticeTimeout has passed. It
// doesn't wait for that; the channel is closed then.
func (c *carriers) notify(host, kind string, payload []byte) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
		defer cancel()
		for ctx.Err() == nil {
			askCtx, cancel := context.WithTimeout(ctx, askTimeout)
			_, err := c.cfg.Peers.Ask(askCtx, host, kind, payload)
			cancel()
			if _, known := c.cfg.Hosts()[host]; err == nil || !known {
				return
			}
			port.Sleep(ctx, noticeInterval)
		}
	}()
	return ended
}
