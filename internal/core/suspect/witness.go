package suspect

import (
	"context"
	"time"
)

// A host that dies with what it alone saw can't tell of a crash. So each
// attempt is entered with a witness, another host, before it is sent, and
// taken out at its end. Who tries the request next hears from the witness of
// an attempt that has not ended; if that attempt's host does not answer any
// more, its endpoint is taken as dead and the request as a suspect.

const (
	// witnessTTL is how long a witness keeps an attempt whose end it does not hear.
	witnessTTL = time.Minute
	// maxWitnessedRequests bounds the attempts that a witness keeps.
	maxWitnessedRequests = 8192
)

// Attempt is one attempt of a request as its witness knows it.
type Attempt struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Host        string      `cbor:"2,keyasint"`
	Endpoint    string      `cbor:"3,keyasint"`
	// Incarnation is the endpoint's before the attempt; empty if not known.
	Incarnation string `cbor:"5,keyasint,omitempty"`
	// Ended takes an attempt out.
	Ended bool `cbor:"4,keyasint,omitempty"`
}

// Witness reaches the other hosts about attempts. Its methods are called
// without locks held.
type Witness interface {
	// Register tells the request's witness of an attempt and returns the attempts
	// of other hosts that have not ended. It waits a few milliseconds at most;
	// without an answer nothing is known.
	Register(ctx context.Context, a Attempt) []Attempt
	// Unregister tells the witness that an attempt has ended. It does not wait.
	Unregister(a Attempt)
	// HostResponds reports whether a host still answers.
	HostResponds(ctx context.Context, host string) bool
}

// kept is an attempt with the time until which it is kept, in Unix milliseconds.
type witnessedAttempt struct {
	Attempt
	expiresAt int64
}

// WitnessAttempt takes in an attempt as a witness and returns those of other hosts with
// the same request that have not ended.
func (g *Guard) WitnessAttempt(a Attempt) []Attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	list := g.witnessed[a.Fingerprint]
	var others []Attempt
	left := list[:0]
	for _, k := range list {
		if k.expiresAt <= now.UnixMilli() || k.Host == a.Host && k.Endpoint == a.Endpoint {
			continue
		}
		left = append(left, k)
		if k.Host != a.Host {
			others = append(others, k.Attempt)
		}
	}
	if !a.Ended && len(g.witnessed) < maxWitnessedRequests {
		left = append(left, witnessedAttempt{a, now.Add(witnessTTL).UnixMilli()})
	}
	if len(left) == 0 {
		delete(g.witnessed, a.Fingerprint)
	} else {
		g.witnessed[a.Fingerprint] = left
	}
	return others
}

// kept returns the attempts of other hosts that this one is the witness of.
func (g *Guard) witnessedAttempts(f Fingerprint) []Attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now().UnixMilli()
	var out []Attempt
	for _, k := range g.witnessed[f] {
		if k.expiresAt > now {
			out = append(out, k.Attempt)
		}
	}
	return out
}

// consult enters an attempt with its witness. It reports whether an earlier
// attempt's host has died with what it saw: then the request is a suspect.
func (g *Guard) registerAndDetectCrash(ctx context.Context, f Fingerprint, endpoint string) bool {
	if g.cfg.Witness == nil {
		return false
	}
	own := Attempt{Fingerprint: f, Host: g.cfg.Host, Endpoint: endpoint, Incarnation: g.incarnation(ctx, endpoint)}
	// This host may itself be the witness of the others.
	earlier := append(g.witnessedAttempts(f), g.cfg.Witness.Register(ctx, own)...)
	for _, a := range earlier {
		if g.cfg.Witness.HostResponds(ctx, a.Host) || g.sameIncarnation(ctx, a) {
			continue
		}
		// Another host may have heard of it meanwhile, and be further on.
		if g.lookup(f).State == Clear {
			// When the endpoint died is not known, so no other death there is
			// judged by it.
			g.publish(Record{Fingerprint: f, State: Suspect}, suspectTTL)
		}
		g.removeWitnessed(a)
		g.unregister(f, endpoint)
		return true
	}
	return false
}

// outlived reports whether an attempt's endpoint still is the incarnation that
// the attempt was sent to. The attempt is kept while the endpoint works: it may
// crash yet.
func (g *Guard) sameIncarnation(ctx context.Context, a Attempt) bool {
	if a.Incarnation == "" {
		return false
	}
	load, err := g.cfg.Probe(ctx, a.Endpoint)
	if err != nil || load.Incarnation != a.Incarnation {
		return false
	}
	if load.Running == 0 && load.Waiting == 0 {
		g.removeWitnessed(a)
	}
	return true
}

// incarnation returns an endpoint's incarnation as last reported to this host.
// An endpoint that it has not heard of is asked; empty if it does not answer.
func (g *Guard) incarnation(ctx context.Context, endpoint string) string {
	g.mu.Lock()
	known := g.incarnations[endpoint]
	g.mu.Unlock()
	if known != "" {
		return known
	}
	load, err := g.cfg.Probe(ctx, endpoint)
	if err != nil {
		return ""
	}
	g.SetIncarnation(endpoint, load.Incarnation)
	return load.Incarnation
}

// SetIncarnation takes in the incarnation that an endpoint gave with an answer.
func (g *Guard) SetIncarnation(endpoint, incarnation string) {
	if incarnation == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.incarnations[endpoint] = incarnation
}

// forgetIncarnation drops what is known of an endpoint that died.
func (g *Guard) forgetIncarnation(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.incarnations, endpoint)
}

// removeWitnessed takes another host's attempt out at its witness.
func (g *Guard) removeWitnessed(a Attempt) {
	a.Ended = true
	g.WitnessAttempt(a)
	g.cfg.Witness.Unregister(a)
}

// dismiss takes an attempt out at its witness.
func (g *Guard) unregister(f Fingerprint, endpoint string) {
	if g.cfg.Witness != nil {
		g.cfg.Witness.Unregister(Attempt{Fingerprint: f, Host: g.cfg.Host, Endpoint: endpoint, Ended: true})
	}
}
