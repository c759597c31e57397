package poison

import "time"

const (
	// respondedTTL is how long a whole response with a part is remembered.
	respondedTTL = 10 * time.Minute
	// soundTime is how long after a whole response with a part crashes don't count
	// against it: they are the crashes of a part in use all the time.
	soundTime = time.Second
	// maxResponded bounds the parts whose responses are remembered.
	maxResponded = 4096
)

// partAt is a part at a service.
type partAt struct {
	service string
	part    Trait
}

// Responded records that this host received a whole successful response from an endpoint
// of a service. Call it for each response: it is what tells sound parts from those that
// crash endpoints if they crashed together.
func (l *Ledger) Responded(service string, r *Request) {
	now := l.cfg.Clock.Now()
	prompt := r.exchange.Prompt
	l.mu.Lock()
	for i, part := range prompt {
		if i+1 == len(prompt) || i == maxParts {
			break
		}
		l.respondedAt[partAt{service, PartTrait(part.ID)}] = now
	}
	if len(l.respondedAt) > maxResponded {
		l.forgetResponses(now)
	}
	l.mu.Unlock()
	if !l.Idle() {
		l.Completed(service, r.Traits())
	}
}

// clearByResponse clears a part of a crash at a service if this host received a whole
// response with it shortly before, and reports whether other hosts should know of that.
// l.mu must be held.
func (l *Ledger) clearByResponse(t Trait, e *evidence, service string, crashedAt time.Time) bool {
	at, ok := l.respondedAt[partAt{service, t}]
	if !ok || crashedAt.Sub(at) > soundTime {
		return false
	}
	return e.addClear(service, at.Add(soundTime-clearTolerance))
}

// forgetResponses forgets the responses that no longer count, or all if there are too many
// that do. l.mu must be held.
func (l *Ledger) forgetResponses(now time.Time) {
	for t, at := range l.respondedAt {
		if now.Sub(at) > respondedTTL {
			delete(l.respondedAt, t)
		}
	}
	if len(l.respondedAt) > maxResponded/2 {
		clear(l.respondedAt)
	}
}

// explained reports whether a trait with enough crashes for a blame was only there when
// another one crashed endpoints, which was there at each of its crashes. For a part that holds if
// this host had responses with it of late and none with the other; for a whole request, whose
// responses never came, if the other one is a whole request too and crashed more endpoints. l.mu
// must be held.
func (l *Ledger) explained(t Trait, e *evidence, now time.Time) bool {
	if !e.restoredAt.IsZero() || !t.isRequest() && !l.hasResponded(t, e, now) {
		return false
	}
	for other, o := range l.traits {
		if other == t || other.isRequest() != t.isRequest() || !o.blamed || !e.within(o) {
			continue
		}
		if t.isRequest() && o.crashes > e.crashes || !t.isRequest() && !l.hasResponded(other, o, now) {
			return true
		}
	}
	return false
}

// hasResponded reports whether this host had a response with a trait of late from a
// service at which it crashed endpoints.
func (l *Ledger) hasResponded(t Trait, e *evidence, now time.Time) bool {
	for service, s := range e.services {
		if at, ok := l.respondedAt[partAt{service, t}]; ok && len(s.crashedAt) > 0 && now.Sub(at) <= respondedTTL {
			return true
		}
	}
	return false
}

// within reports whether all crashes of e are crashes of o as well.
func (e *evidence) within(o *evidence) bool {
	for name, s := range e.services {
		for i := range s.crashedAt {
			if os := o.services[name]; os == nil {
				return false
			} else if _, ok := os.crashedAt[i]; !ok {
				return false
			}
		}
	}
	return true
}
