package hedge

import "time"

// Attempt is the watch over the first attempt at one request. Its methods may be called
// concurrently.
type Attempt struct {
	policy *Policy
	key    Key
	delay  time.Duration
	// The policy's lock guards the fields below. judged is set once the attempt is known to
	// be slow or not.
	judged bool
}

// Delay returns the time after which the attempt is slow and a hedge may be sent, or false if
// none is sent: hedges are off, or too few responses of its kind were measured.
func (a *Attempt) Delay() (time.Duration, bool) {
	if a == nil || a.delay <= 0 {
		return 0, false
	}
	return a.delay, true
}

// Slow records that the attempt has taken longer than Delay, and returns why no hedge is sent
// for it now. Only Take takes one.
func (a *Attempt) Slow() Denial {
	if a == nil {
		return Paused
	}
	a.policy.mu.Lock()
	defer a.policy.mu.Unlock()
	s := a.policy.stateOf(a.key.Service)
	a.judge(s, true)
	return s.denial()
}

// Take takes a hedge from what the service's requests have earned and returns Allowed, or
// the reason why none may be sent. The caller must call HedgeEnded for one that is sent.
func (a *Attempt) Take() Denial {
	if a == nil {
		return Paused
	}
	a.policy.mu.Lock()
	defer a.policy.mu.Unlock()
	s := a.policy.stateOf(a.key.Service)
	d := s.denial()
	if d == Allowed {
		s.credit--
	}
	return d
}

// Answered records that the attempt got its response after d.
func (a *Attempt) Answered(d time.Duration) { a.observe(d, false) }

// Beaten records that the attempt was cancelled after d without a response, since its hedge
// had one: it would have taken longer.
func (a *Attempt) Beaten(d time.Duration) { a.observe(d, true) }

func (a *Attempt) observe(d time.Duration, beaten bool) {
	if a == nil {
		return
	}
	a.policy.mu.Lock()
	defer a.policy.mu.Unlock()
	s := a.policy.stateOf(a.key.Service)
	s.windowOf(a.key).add(d, beaten)
	if a.delay > 0 {
		a.judge(s, beaten || d > a.delay)
	}
}

// judge records once whether the attempt was slow. The caller holds the policy's lock.
func (a *Attempt) judge(s *serviceState, slow bool) {
	if !a.judged {
		a.judged = true
		s.recordSpeed(slow)
	}
}

// HedgeEnded records that the hedge of the attempt has ended, and whether its response was
// used.
func (a *Attempt) HedgeEnded(won bool) {
	if a == nil {
		return
	}
	a.policy.mu.Lock()
	defer a.policy.mu.Unlock()
	a.policy.stateOf(a.key.Service).recordHedge(won)
}
