// Package lease decides when a host tries to get, keep and give back a lease
// in the store, and whether it holds it. A lease is one key that vanishes
// unless it is written again in time; the revision at which a host got it is
// its fencing number. The package is pure: it says which call to make and is
// told the outcome. A Claim is not safe for concurrent use.
package lease

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// TTL is how long the store keeps a lease that is not renewed.
	TTL = 10 * time.Second
	// margin is how long before the store's end the holder stops to act: room
	// for clocks that run at different rates.
	expiryMargin = time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 3 * time.Second
	// pollInterval is the time between two looks of a candidate that does
	// not hold the lease.
	pollInterval = 5 * time.Second
	// acquireDelayPerRank is how much longer each candidate after the first waits
	// before it takes a free lease.
	acquireDelayPerRank = 2 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call. The
	// first lets a holder try again several times before its lease ends.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
)

// Key returns the store's key of a zone's lease for a duty.
func Key(zone, duty string) string { return "lease/" + zone + "/" + duty }

// Operation is what a Claim wants done with the store.
type Operation uint8

// The operations.
const (
	// Read reads the key.
	Read Operation = iota + 1
	// Write writes Value if the key's revision is Prev.
	Write
	// Delete deletes the key if its revision is Prev.
	Delete
)

// Call is one call to the store.
type Call struct {
	Operation Operation
	Key       string
	Prev      uint64
	Value     []byte
	TTL       time.Duration
	// SentAt is when the call was decided, before it is sent.
	SentAt time.Time

	nonce string
}

// Lease is a lease as its holder sees it.
type Lease struct {
	Fence uint64
	// Since is when the host got the lease, Until when it stops to act on it.
	Since, Until time.Time
}

// document is the key's value.
type storedLease struct {
	Host string `json:"host"`
	// Nonce is new with each write, so that a write whose answer was lost is
	// known again.
	Nonce string `json:"nonce"`
	// Fence is 0 in the write that gets the lease: its own revision counts.
	Fence uint64 `json:"fence,omitempty"`
}

// Elector is one host's effort to hold one lease.
type Elector struct {
	host     string
	key      string
	newNonce func() string

	revision uint64
	lease    Lease
	// unsettled is the write whose answer was lost.
	uncertainWrite *Call
	inFlight       bool
	nextCallAt     time.Time
	backoff        time.Duration
	freeSince      time.Time
	releasing      bool
	otherHolder    string
}

// NewElector returns a claim; newNonce returns a new unique text at each call.
func NewElector(host, key string, newNonce func() string) *Elector {
	return &Elector{host: host, key: key, newNonce: newNonce}
}

// Held returns the lease if this host may act on it at the given time. Both
// the monotonic and the wall clock must be before the end, so that a host
// that was paused or suspended finds its lease ended before it acts.
func (c *Elector) Held(now time.Time) (Lease, bool) {
	if c.lease.Fence == 0 || c.releasing {
		return Lease{}, false
	}
	if !c.lease.ValidAt(now) {
		return Lease{}, false
	}
	return c.lease, true
}

// ValidAt reports whether the holding allows to act at the given time.
func (h Lease) ValidAt(now time.Time) bool {
	return h.Fence > 0 && now.Before(h.Until) && now.Round(0).Before(h.Until.Round(0))
}

// Revision is the store's revision of the lease as last written by this host.
func (c *Elector) Revision() uint64 { return c.revision }

// OtherHolder returns the host that was last seen to hold the lease, if not this one.
func (c *Elector) OtherHolder() string { return c.otherHolder }

// NextCall returns the call that is due. rank is this host's place among the
// candidates, below 0 if it is none. Each call returned must be answered by
// Done before Next returns another.
func (c *Elector) NextCall(now time.Time, rank int) (Call, bool) {
	if c.inFlight || now.Before(c.nextCallAt) {
		return Call{}, false
	}
	call := Call{Key: c.key, SentAt: now}
	switch {
	case c.uncertainWrite != nil:
		call.Operation = Read
	case c.releasing:
		if c.revision == 0 {
			return Call{}, false
		}
		call.Operation, call.Prev = Delete, c.revision
	case c.revision > 0:
		call = c.newWriteCall(now, c.revision, c.lease.Fence)
	case rank < 0:
		return Call{}, false
	case !c.freeSince.IsZero() && now.Sub(c.freeSince) >= time.Duration(rank)*acquireDelayPerRank:
		call = c.newWriteCall(now, 0, 0)
	default:
		call.Operation = Read
	}
	c.inFlight = true
	return call, true
}

func (c *Elector) newWriteCall(now time.Time, prev, fence uint64) Call {
	nonce := c.newNonce()
	value, err := json.Marshal(storedLease{Host: c.host, Nonce: nonce, Fence: fence})
	if err != nil {
		panic(err)
	}
	return Call{Operation: Write, Key: c.key, Prev: prev, Value: value, TTL: TTL, SentAt: now, nonce: nonce}
}

// HandleResult takes the outcome of a call: the entry and the error as the store
// gave them.
func (c *Elector) HandleResult(now time.Time, call Call, entry port.Entry, err error) {
	c.inFlight = false
	if errors.Is(err, port.ErrUnavailable) {
		c.handleUnavailable(now, call, err)
		return
	}
	c.backoff = 0
	switch call.Operation {
	case Write:
		c.handleWriteResult(now, call, entry, err)
	case Delete:
		c.markLost(now)
	case Read:
		c.handleReadResult(now, entry, err)
	}
}

// failed backs off. A write that may have taken effect is read back.
func (c *Elector) handleUnavailable(now time.Time, call Call, err error) {
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	c.nextCallAt = now.Add(c.backoff)
	if call.Operation == Write && errors.Is(err, port.ErrUncertain) {
		c.uncertainWrite = &call
	}
}

func (c *Elector) handleWriteResult(now time.Time, call Call, entry port.Entry, err error) {
	if err != nil {
		// Another host got it, or the lease had lapsed.
		c.markLost(now)
		c.handleReadResult(now, entry, nil)
		return
	}
	c.applyWrite(now, call, entry.Revision)
}

// won notes a write that took effect. The lease holds from before the write
// was sent, since the store may have begun to count at once.
func (c *Elector) applyWrite(now time.Time, call Call, revision uint64) {
	if call.Prev == 0 {
		c.lease = Lease{Fence: revision, Since: now}
	}
	c.revision = revision
	c.lease.Until = call.SentAt.Add(TTL - expiryMargin)
	c.uncertainWrite = nil
	c.freeSince = time.Time{}
	c.otherHolder = ""
	c.nextCallAt = call.SentAt.Add(renewInterval)
	if c.releasing {
		c.nextCallAt = now
	}
}

func (c *Elector) markLost(now time.Time) {
	c.revision, c.lease, c.uncertainWrite = 0, Lease{}, nil
	c.freeSince = time.Time{}
	c.nextCallAt = now.Add(pollInterval)
}

// seen takes what a look found.
func (c *Elector) handleReadResult(now time.Time, entry port.Entry, err error) {
	missing := entry.Revision == 0 || errors.Is(err, port.ErrNotFound)
	var doc storedLease
	if !missing && json.Unmarshal(entry.Value, &doc) != nil {
		doc = storedLease{Host: "unknown"}
	}
	if c.uncertainWrite != nil && !missing && doc.Nonce == c.uncertainWrite.nonce {
		c.applyWrite(now, *c.uncertainWrite, entry.Revision)
		return
	}
	if c.uncertainWrite != nil && entry.Revision == c.revision && c.revision > 0 {
		// The renewal did not take effect; the lease is as it was.
		c.uncertainWrite = nil
		c.nextCallAt = now
		return
	}
	if c.uncertainWrite != nil || c.revision > 0 {
		c.markLost(now)
	}
	if !missing {
		c.otherHolder = doc.Host
		c.freeSince = time.Time{}
		c.nextCallAt = now.Add(pollInterval)
		return
	}
	c.otherHolder = ""
	if c.freeSince.IsZero() {
		c.freeSince = now
	}
	c.nextCallAt = now
}

// Release gives the lease up: Held is false from now on, and Next returns what
// removes it from the store.
func (c *Elector) Release(now time.Time) {
	c.releasing = true
	c.nextCallAt = now
}

// Released reports whether nothing is left to give back.
func (c *Elector) Released() bool { return !c.inFlight && c.uncertainWrite == nil && c.revision == 0 }
