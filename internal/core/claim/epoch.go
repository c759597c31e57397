package claim

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// returnTimeout limits how long after a restore of the store unknown keys are
	// rejected while the claims of other hosts are not known to be back.
	returnTimeout = 10 * time.Second
	// epochQueryInterval is the pause between two queries whether the claims of the other
	// hosts are back.
	epochQueryInterval = 250 * time.Millisecond
	// epochQueryTimeout limits one such query.
	epochQueryTimeout = time.Second
)

// errClaimsNotBack means that the store came back from an older copy and that claims lost
// with it may not have been written again yet.
var errClaimsNotBack = errors.New("claim: claims are not back after a restore of the store")

// Restore describes how a host got over a restore of the store from an older copy.
type Restore struct {
	// FormerEpoch and Epoch are the store's epochs.
	FormerEpoch, Epoch int64
	// Claims is the number of claims that this host wrote again.
	Claims int
	// Duration is how long this host rejected unknown keys.
	Duration time.Duration
	// Missing lists the hosts whose claims were given up.
	Missing []string
}

// epochState is what a host knows of the store's epochs. A claim is only used in the
// epoch in which it was written: then either the host holds it in memory, and writes it
// again in the next epoch, or it gives it up. It is safe for concurrent use.
type epochState struct {
	mu sync.Mutex
	// known is the newest epoch that a response of the store or a host named.
	known int64
	// learnedAt is when this host learned of known, firstLearnedAt when the first of the
	// hosts that it asked did.
	learnedAt, firstLearnedAt time.Time
	former                    int64
	// unnamed means that a response of the store named no epoch.
	unnamed bool
	// rewritten means that this host's claims of earlier epochs are in the store in known,
	// since rewrittenAt.
	rewritten      bool
	rewrittenAt    time.Time
	rewrittenCount int
	// open means that unknown keys may be claimed in known: the claims of all hosts are
	// back since openFrom, or were given up then.
	open     bool
	openFrom time.Time
	// stalled means that open is not expected soon.
	stalled bool
	// changed is closed and replaced when open or stalled changes.
	changed chan struct{}
}

func newEpochState() *epochState { return &epochState{open: true, changed: make(chan struct{})} }

// learn records that the store is in epoch, which another host learned age ago. It
// reports whether the epoch is new to this host.
func (s *epochState) learn(epoch int64, now time.Time, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch < s.known || epoch == 0 {
		return false
	}
	if first := now.Add(-age); epoch > s.known || first.Before(s.firstLearnedAt) {
		s.firstLearnedAt = first
	}
	if epoch == s.known {
		return false
	}
	s.former, s.known, s.learnedAt = s.known, epoch, now
	s.rewritten, s.rewrittenAt, s.rewrittenCount = false, time.Time{}, 0
	s.open, s.openFrom = false, time.Time{}
	s.setStalledLocked(false)
	return true
}

// setUnnamed records that a response of the store named no epoch.
func (s *epochState) setUnnamed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unnamed = true
}

// namesNone reports whether the store is known to name no epochs.
func (s *epochState) namesNone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unnamed && s.known == 0
}

// setRewritten records that this host's claims of earlier epochs were written again.
func (s *epochState) setRewritten(epoch int64, at time.Time, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch == s.known {
		s.rewritten, s.rewrittenAt, s.rewrittenCount = true, at, count
	}
}

// setOpen records that the claims of all hosts are back since from, or were given up.
func (s *epochState) setOpen(epoch int64, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch == s.known {
		s.open, s.openFrom = true, from
		s.setStalledLocked(false)
	}
}

func (s *epochState) setStalled(epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch == s.known {
		s.setStalledLocked(true)
	}
}

func (s *epochState) setStalledLocked(stalled bool) {
	s.stalled = stalled
	close(s.changed)
	s.changed = make(chan struct{})
}

// epochStatus is a copy of an epochState.
type epochStatus struct {
	known, former             int64
	learnedAt, firstLearnedAt time.Time
	rewritten                 bool
	rewrittenAt               time.Time
	rewrittenCount            int
}

func (s *epochState) status() epochStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return epochStatus{
		known: s.known, former: s.former, learnedAt: s.learnedAt, firstLearnedAt: s.firstLearnedAt,
		rewritten: s.rewritten, rewrittenAt: s.rewrittenAt, rewrittenCount: s.rewrittenCount,
	}
}

// waitOpen waits until unknown keys may be claimed. It returns errClaimsNotBack if that
// is not expected soon or ctx ends.
func (s *epochState) waitOpen(ctx context.Context) error {
	for {
		s.mu.Lock()
		open, stalled, changed := s.open, s.stalled, s.changed
		s.mu.Unlock()
		if open {
			return nil
		}
		if stalled {
			return errClaimsNotBack
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errClaimsNotBack
		}
	}
}

// confirm calls hold and returns true if a claim that was requested at requestedAt and
// found in the store in epoch may be used: no host has written other claims again since,
// and this host has not begun to list its claims for a later epoch.
func (s *epochState) confirm(epoch int64, requestedAt time.Time, hold func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch != s.known || !s.open || requestedAt.Before(s.openFrom) {
		return false
	}
	hold()
	return true
}
