package suspect

import (
	"context"
	"time"
)

// A host that fails together with the endpoint it uses cannot report the
// crash. Each attempt is therefore registered with a witness, another host,
// before it is sent, and unregistered when it ends. The next host that runs
// the request learns from the witness of attempts that have not ended. If the
// host of such an attempt no longer responds, its endpoint is presumed to have
// crashed and the request becomes a suspect.

const (
	// witnessTTL is how long a witness keeps an attempt that is not
	// unregistered.
	witnessTTL = time.Minute
	// maxWitnessedRequests bounds the requests whose attempts a witness keeps.
	// At the limit, no further attempt is registered.
	maxWitnessedRequests = 8192
)

// Attempt is an attempt of a request as registered with its witness.
type Attempt struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Host is the id of the host that runs the attempt.
	Host     string `cbor:"2,keyasint"`
	Endpoint string `cbor:"3,keyasint"`
	// Incarnation is the endpoint's incarnation before the attempt; empty if
	// unknown.
	Incarnation string `cbor:"5,keyasint,omitempty"`
	// Ended unregisters the attempt.
	Ended bool `cbor:"4,keyasint,omitempty"`
}

// Witness registers attempts with other hosts. Its methods are called without
// locks held.
type Witness interface {
	// Register registers an attempt with the request's witness and returns the
	// attempts of other hosts that have not ended. It waits a few milliseconds
	// at most; if no witness responds, it returns nil.
	Register(ctx context.Context, a Attempt) []Attempt
	// Unregister tells the witness that an attempt has ended. It does not
	// block.
	Unregister(a Attempt)
	// HostResponds reports whether the host with this id still responds.
	HostResponds(ctx context.Context, host string) bool
}

// witnessedAttempt is an attempt with its expiry time, in Unix milliseconds.
type witnessedAttempt struct {
	Attempt
	expiresAt int64
}

// WitnessAttempt registers an attempt with this host as its witness, or
// unregisters it if it has ended. A host's attempts of one request on the same
// endpoint share a registration. It returns the registered attempts of the same
// request by other hosts that have neither ended nor expired.
func (g *Guard) WitnessAttempt(a Attempt) []Attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	list := g.witnessed[a.Fingerprint]
	var others []Attempt
	remaining := list[:0]
	for _, w := range list {
		if w.expiresAt <= now.UnixMilli() || w.Host == a.Host && w.Endpoint == a.Endpoint {
			continue
		}
		remaining = append(remaining, w)
		if w.Host != a.Host {
			others = append(others, w.Attempt)
		}
	}
	if !a.Ended && len(g.witnessed) < maxWitnessedRequests {
		remaining = append(remaining, witnessedAttempt{a, now.Add(witnessTTL).UnixMilli()})
	}
	if len(remaining) == 0 {
		delete(g.witnessed, a.Fingerprint)
	} else {
		g.witnessed[a.Fingerprint] = remaining
	}
	return others
}

// witnessedAttempts returns the unexpired attempts of a request that this host
// is the witness of.
func (g *Guard) witnessedAttempts(f Fingerprint) []Attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now().UnixMilli()
	var out []Attempt
	for _, w := range g.witnessed[f] {
		if w.expiresAt > now {
			out = append(out, w.Attempt)
		}
	}
	return out
}

// registerAndDetectCrash registers an attempt with its witness. It returns
// true if the host of an earlier attempt has failed and that attempt's
// endpoint may have crashed. The request is then a suspect, unless a later state
// is known, and the new attempt is unregistered.
func (g *Guard) registerAndDetectCrash(ctx context.Context, f Fingerprint, endpoint string) bool {
	if g.cfg.Witness == nil {
		return false
	}
	own := Attempt{Fingerprint: f, Host: g.cfg.Host, Endpoint: endpoint, Incarnation: g.incarnation(ctx, endpoint)}
	// This host may itself be the witness of earlier attempts.
	earlier := append(g.witnessedAttempts(f), g.cfg.Witness.Register(ctx, own)...)
	for _, a := range earlier {
		if g.cfg.Witness.HostResponds(ctx, a.Host) || g.sameIncarnation(ctx, a) {
			continue
		}
		// Another host may have published a later state in the meantime.
		if g.lookup(f).State == Clear {
			// The record names no endpoint: the time of the crash is unknown,
			// so it must not explain other crashes of that endpoint.
			g.publish(Record{Fingerprint: f, State: Suspect}, suspectTTL)
		}
		g.removeWitnessed(a)
		g.unregister(f, endpoint)
		return true
	}
	return false
}

// sameIncarnation reports whether an attempt's endpoint still has the
// incarnation that the attempt was sent to. It unregisters the attempt if that
// endpoint is idle, since the attempt can no longer crash it.
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

// incarnation returns an endpoint's last reported incarnation. If none is
// known, it probes the endpoint and stores the result; it returns "" if the
// probe fails.
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

// SetIncarnation stores the incarnation that an endpoint has reported. It
// ignores an empty one.
func (g *Guard) SetIncarnation(endpoint, incarnation string) {
	if incarnation == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.incarnations[endpoint] = incarnation
}

// forgetIncarnation deletes the incarnation of an endpoint that crashed.
func (g *Guard) forgetIncarnation(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.incarnations, endpoint)
}

// removeWitnessed unregisters another host's attempt, on this host and with the
// request's witness.
func (g *Guard) removeWitnessed(a Attempt) {
	a.Ended = true
	g.WitnessAttempt(a)
	g.cfg.Witness.Unregister(a)
}

// unregister unregisters an attempt of this host from its witness.
func (g *Guard) unregister(f Fingerprint, endpoint string) {
	if g.cfg.Witness != nil {
		g.cfg.Witness.Unregister(Attempt{Fingerprint: f, Host: g.cfg.Host, Endpoint: endpoint, Ended: true})
	}
}
