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
	// attemptLife is how long a witness keeps an attempt whose end it does not hear.
	attemptLife = time.Minute
	// maxKept bounds the attempts that a witness keeps.
	maxKept = 8192
)

// Attempt is one attempt of a request as its witness knows it.
type Attempt struct {
	Print    Fingerprint `cbor:"1,keyasint"`
	Host     string      `cbor:"2,keyasint"`
	Endpoint string      `cbor:"3,keyasint"`
	// Incarnation is the endpoint's before the attempt; empty if not known.
	Incarnation string `cbor:"5,keyasint,omitempty"`
	// Ended takes an attempt out.
	Ended bool `cbor:"4,keyasint,omitempty"`
}

// Witness reaches the other hosts about attempts. Its methods are called
// without locks held.
type Witness interface {
	// Enter tells the request's witness of an attempt and returns the attempts
	// of other hosts that have not ended. It waits a few milliseconds at most;
	// without an answer nothing is known.
	Enter(ctx context.Context, a Attempt) []Attempt
	// Leave tells the witness that an attempt has ended. It does not wait.
	Leave(a Attempt)
	// Answers reports whether a host still answers.
	Answers(ctx context.Context, host string) bool
}

// kept is an attempt with the time until which it is kept, in Unix milliseconds.
type kept struct {
	Attempt
	until int64
}

// Keep takes in an attempt as a witness and returns those of other hosts with
// the same request that have not ended.
func (g *Guard) Keep(a Attempt) []Attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	list := g.attempts[a.Print]
	var others []Attempt
	left := list[:0]
	for _, k := range list {
		if k.until <= now.UnixMilli() || k.Host == a.Host && k.Endpoint == a.Endpoint {
			continue
		}
		left = append(left, k)
		if k.Host != a.Host {
			others = append(others, k.Attempt)
		}
	}
	if !a.Ended && len(g.attempts) < maxKept {
		left = append(left, kept{a, now.Add(attemptLife).UnixMilli()})
	}
	if len(left) == 0 {
		delete(g.attempts, a.Print)
	} else {
		g.attempts[a.Print] = left
	}
	return others
}

// kept returns the attempts of other hosts that this one is the witness of.
func (g *Guard) kept(f Fingerprint) []Attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now().UnixMilli()
	var out []Attempt
	for _, k := range g.attempts[f] {
		if k.until > now {
			out = append(out, k.Attempt)
		}
	}
	return out
}

// consult enters an attempt with its witness. It reports whether an earlier
// attempt's host has died with what it saw: then the request is a suspect.
func (g *Guard) consult(ctx context.Context, f Fingerprint, endpoint string) bool {
	if g.cfg.Witness == nil {
		return false
	}
	own := Attempt{Print: f, Host: g.cfg.Host, Endpoint: endpoint, Incarnation: g.incarnation(ctx, endpoint)}
	// This host may itself be the witness of the others.
	earlier := append(g.kept(f), g.cfg.Witness.Enter(ctx, own)...)
	for _, a := range earlier {
		if g.cfg.Witness.Answers(ctx, a.Host) || g.outlived(ctx, a) {
			continue
		}
		// Another host may have heard of it meanwhile, and be further on.
		if g.lookup(f).State == Clear {
			// When the endpoint died is not known, so no other death there is
			// judged by it.
			g.mark(Record{Print: f, State: Suspect}, suspectLife)
		}
		g.takeOut(a)
		g.dismiss(f, endpoint)
		return true
	}
	return false
}

// outlived reports whether an attempt's endpoint still is the incarnation that
// the attempt was sent to. The attempt is kept while the endpoint works: it may
// crash yet.
func (g *Guard) outlived(ctx context.Context, a Attempt) bool {
	if a.Incarnation == "" {
		return false
	}
	load, err := g.cfg.Probe(ctx, a.Endpoint)
	if err != nil || load.Incarnation != a.Incarnation {
		return false
	}
	if load.Running == 0 && load.Waiting == 0 {
		g.takeOut(a)
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
	g.Reported(endpoint, load.Incarnation)
	return load.Incarnation
}

// Reported takes in the incarnation that an endpoint gave with an answer.
func (g *Guard) Reported(endpoint, incarnation string) {
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

// takeOut takes another host's attempt out at its witness.
func (g *Guard) takeOut(a Attempt) {
	a.Ended = true
	g.Keep(a)
	g.cfg.Witness.Leave(a)
}

// dismiss takes an attempt out at its witness.
func (g *Guard) dismiss(f Fingerprint, endpoint string) {
	if g.cfg.Witness != nil {
		g.cfg.Witness.Leave(Attempt{Print: f, Host: g.cfg.Host, Endpoint: endpoint, Ended: true})
	}
}
