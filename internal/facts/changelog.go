package facts

import (
	"context"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// maxLoggedChanges bounds the changes that a host remembers for those that follow it.
	maxLoggedChanges = 4096
	// loggedTime is how long they are remembered.
	loggedTime = 30 * time.Second
)

// ChangesStatus says whether a host can tell another one what has changed.
type ChangesStatus uint8

const (
	// ChangesOK means that the changes are complete.
	ChangesOK ChangesStatus = iota
	// ChangesNotFollowing means that the host does not watch the store itself.
	ChangesNotFollowing
	// ChangesCompacted means that the host does not remember all changes since.
	ChangesCompacted
	// ChangesStoreAway means that the host gets no response from the store.
	ChangesStoreAway
)

// Changes is what a host that watches the store tells another one: the items that changed
// after a position.
type Changes struct {
	Status ChangesStatus   `cbor:"1,keyasint,omitempty"`
	Items  []port.KeyValue `cbor:"2,keyasint,omitempty"`
	// Epoch and Revision are the store's position after the changes.
	Epoch    int64 `cbor:"3,keyasint,omitempty"`
	Revision int64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since the store confirmed that position as its newest, and Waited how
	// long the host waited for a change.
	Age    time.Duration `cbor:"5,keyasint,omitempty"`
	Waited time.Duration `cbor:"6,keyasint,omitempty"`
}

// Position returns the store's position after the changes.
func (c *Changes) Position() port.StorePosition {
	return port.StorePosition{Epoch: c.Epoch, Revision: c.Revision}
}

// changelog remembers the newest changes for the hosts that follow this one. It is safe
// for concurrent use.
type changelog struct {
	clock port.Clock

	mu sync.Mutex
	// changes are complete from the position after on, in order.
	changes []loggedChange
	after   port.StorePosition
	// position is the newest one, which the store confirmed at confirmedAt; zero before
	// the first update.
	position    port.StorePosition
	confirmedAt time.Time
	// updated is closed with the next update, or when what a follower is told changes.
	updated chan struct{}
}

type loggedChange struct {
	item port.KeyValue
	at   time.Time
}

func newChangelog(clock port.Clock) *changelog {
	return &changelog{clock: clock, updated: make(chan struct{})}
}

// add records an update that leads to a position. Without continuous, the items are not
// all that changed since the position before, so that nothing earlier can be told.
func (l *changelog) add(items []port.KeyValue, position port.StorePosition, confirmedAt time.Time, continuous bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !continuous || position.Epoch != l.position.Epoch || l.position == (port.StorePosition{}) {
		l.changes, l.after, items = nil, position, nil
	}
	for _, item := range items {
		l.changes = append(l.changes, loggedChange{item, now})
	}
	drop := 0
	for drop < len(l.changes) && (len(l.changes)-drop > maxLoggedChanges || now.Sub(l.changes[drop].at) > loggedTime) {
		l.after.Revision = max(l.after.Revision, l.changes[drop].item.Revision)
		drop++
	}
	l.changes = append([]loggedChange(nil), l.changes[drop:]...)
	l.position, l.confirmedAt = position, confirmedAt
	l.notify()
}

// notify wakes those that wait for an update. l.mu must be held.
func (l *changelog) notify() {
	close(l.updated)
	l.updated = make(chan struct{})
}

// wake wakes those that wait for an update.
func (l *changelog) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notify()
}

// since returns what changed after a position and a channel that is closed with the next
// update.
func (l *changelog) since(after port.StorePosition) (*Changes, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &Changes{Epoch: l.position.Epoch, Revision: l.position.Revision, Age: l.clock.Now().Sub(l.confirmedAt)}
	if after.Epoch != l.position.Epoch || after.Before(l.after) {
		c.Status = ChangesCompacted
		return c, l.updated
	}
	for _, change := range l.changes {
		if change.item.Revision > after.Revision {
			c.Items = append(c.Items, change.item)
		}
	}
	return c, l.updated
}

// Changes returns what changed in the store after a position, for another host: at once if
// something has, else with the next response of the store, and after wait at the latest.
// The status says if this host can't tell. It returns nil if ctx ends first.
func (r *Replica) Changes(ctx context.Context, after port.StorePosition, wait time.Duration) *Changes {
	startedAt := r.cfg.Clock.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := false; ; {
		c, updated := r.changelog.since(after)
		switch {
		case !r.watchesStore.Load():
			return &Changes{Status: ChangesNotFollowing}
		case r.storeStatus.unavailable():
			return &Changes{Status: ChangesStoreAway}
		case waited || c.Status != ChangesOK || len(c.Items) > 0:
			c.Waited = r.cfg.Clock.Now().Sub(startedAt)
			return c
		}
		select {
		case <-updated:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		waited = true
	}
}
