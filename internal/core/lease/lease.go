// Package lease decides when a host acquires, renews and releases a lease in the
// store, and whether the host holds it. A lease is one key with a TTL that its
// holder rewrites in time; the revision at which a host acquired it is its
// fencing token. The package does no I/O: an Elector returns the store call to
// make and is given the result. An Elector is not safe for concurrent use.
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
	// expiryMargin is how long before the lease expires in the store the holder
	// stops acting on it. It allows for clocks that run at different rates.
	expiryMargin = time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 3 * time.Second
	// pollInterval is the time between two reads by a candidate that does not
	// hold the lease.
	pollInterval = 5 * time.Second
	// leavingPollInterval is the time between two reads while the holder is about to
	// stop and release the lease.
	leavingPollInterval = time.Second
	// acquireDelayPerRank is how much longer than the candidate before it each
	// candidate waits before it acquires a free lease.
	acquireDelayPerRank = 2 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call. minBackoff
	// lets a holder retry several times before its lease expires.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
)

// Key returns the store key of a zone's lease for a purpose.
func Key(zone, purpose string) string { return "lease/" + zone + "/" + purpose }

// Operation is the kind of a Call.
type Operation uint8

// The operations.
const (
	// Read reads the key.
	Read Operation = iota + 1
	// Write writes Value with the TTL if the key's revision is Prev.
	Write
	// Delete deletes the key if its revision is Prev.
	Delete
)

// Call is one call to the store that an Elector requests.
type Call struct {
	Operation Operation
	Key       string
	// Prev is the revision that the key must have; 0 means that it must not exist.
	Prev  uint64
	Value []byte
	TTL   time.Duration
	// SentAt is when NextCall returned the call, which is before it was sent.
	SentAt time.Time

	nonce string
}

// Lease is a held lease as its holder sees it.
type Lease struct {
	// Fence is the fencing token, 0 if the lease is not held.
	Fence uint64
	// Since is when the host learned that it had acquired the lease, Until when it
	// must stop acting on it.
	Since, Until time.Time
}

// storedLease is the value of the lease's key.
type storedLease struct {
	Host string `json:"host"`
	// Nonce is unique to each write, so that the host can recognise a write whose
	// response was lost.
	Nonce string `json:"nonce"`
	// Fence is 0 in the write that acquires the lease: there the fencing token
	// is the write's own revision.
	Fence uint64 `json:"fence,omitempty"`
}

// Elector is the state machine by which one host acquires, renews and releases one
// lease.
type Elector struct {
	host     string
	key      string
	newNonce func() string

	// revision is the lease's revision in the store as last written by this host,
	// 0 if this host does not hold the lease.
	revision uint64
	lease    Lease
	// uncertainWrite is a write that may or may not have taken effect; nil if
	// there is none.
	uncertainWrite *Call
	inFlight       bool
	// readAgain is set by HolderReleased while a call is in flight, whose result may be
	// older than the release.
	readAgain  bool
	nextCallAt time.Time
	// backoff is the delay after the last failed call, 0 if the last call succeeded.
	backoff time.Duration
	// lastReadAt is when the lease was last read, zero before.
	lastReadAt time.Time
	// freeSince is when the lease was first found free; zero if it was last found
	// held, or has not been read.
	freeSince time.Time
	// releasing is set by Release and stays set.
	releasing   bool
	otherHolder string
}

// NewElector returns an Elector for the key that holds no lease. newNonce returns a
// string at each call that is unique across all hosts.
func NewElector(host, key string, newNonce func() string) *Elector {
	return &Elector{host: host, key: key, newNonce: newNonce}
}

// Held returns the lease if this host may act on it at the given time, which it may
// not after Release.
func (e *Elector) Held(now time.Time) (Lease, bool) {
	if e.lease.Fence == 0 || e.releasing {
		return Lease{}, false
	}
	if !e.lease.ValidAt(now) {
		return Lease{}, false
	}
	return e.lease, true
}

// ValidAt reports whether the holder may act on the lease at the given time. Both
// the monotonic and the wall clock must be before its end, so that a host that
// was paused or suspended finds its lease expired before it acts.
func (l Lease) ValidAt(now time.Time) bool {
	return l.Fence > 0 && now.Before(l.Until) && now.Round(0).Before(l.Until.Round(0))
}

// Revision returns the store's revision of the lease as last written by this
// host, 0 if this host has not acquired the lease or knows that it has lost it.
func (e *Elector) Revision() uint64 { return e.revision }

// OtherHolder returns the other host that was last seen to hold the lease; empty
// if there was none.
func (e *Elector) OtherHolder() string { return e.otherHolder }

// NextCall returns the call that is due; false if there is none. rank is this host's
// position among the candidates, from 0, or negative if it is not a candidate: then
// it renews a lease that it holds but does not acquire one. NextCall returns no
// other call until HandleResult has been called with this one.
func (e *Elector) NextCall(now time.Time, rank int) (Call, bool) {
	if e.inFlight || now.Before(e.nextCallAt) {
		return Call{}, false
	}
	call := Call{Key: e.key, SentAt: now}
	switch {
	case e.uncertainWrite != nil:
		call.Operation = Read
	case e.releasing:
		if e.revision == 0 {
			return Call{}, false
		}
		call.Operation, call.Prev = Delete, e.revision
	case e.revision > 0:
		call = e.newWriteCall(now, e.revision, e.lease.Fence)
	case rank < 0:
		return Call{}, false
	case e.AcquisitionDue(now, rank):
		call = e.newWriteCall(now, 0, 0)
	default:
		call.Operation = Read
	}
	e.inFlight = true
	return call, true
}

// AcquisitionDue reports whether a host with this rank, as of NextCall, may acquire the
// lease now, because it was found free.
func (e *Elector) AcquisitionDue(now time.Time, rank int) bool {
	return rank >= 0 && !e.freeSince.IsZero() && now.Sub(e.freeSince) >= time.Duration(rank)*acquireDelayPerRank
}

// newWriteCall returns the call that acquires the lease, with prev and fence 0, or
// renews it.
func (e *Elector) newWriteCall(now time.Time, prev, fence uint64) Call {
	nonce := e.newNonce()
	value, err := json.Marshal(storedLease{Host: e.host, Nonce: nonce, Fence: fence})
	if err != nil {
		panic(err)
	}
	return Call{Operation: Write, Key: e.key, Prev: prev, Value: value, TTL: TTL, SentAt: now, nonce: nonce}
}

// HolderLeaving advances the next read of the lease, because its holder is about to
// release it: nobody acts on it from then until a candidate has read that it is free.
func (e *Elector) HolderLeaving() {
	if e.otherHolder == "" || e.revision > 0 {
		return
	}
	if at := e.lastReadAt.Add(leavingPollInterval); at.Before(e.nextCallAt) {
		e.nextCallAt = at
	}
}

// HolderReleased makes the next read of the lease due, because its holder says that it has
// released it.
func (e *Elector) HolderReleased(now time.Time) {
	if e.revision > 0 || e.releasing {
		return
	}
	e.nextCallAt = now
	e.readAgain = e.inFlight
}

// HandleResult applies the result of a call: the entry and the error as the store
// returned them.
func (e *Elector) HandleResult(now time.Time, call Call, entry port.Entry, err error) {
	e.inFlight = false
	if errors.Is(err, port.ErrUnavailable) {
		e.handleUnavailable(now, call, err)
		return
	}
	e.backoff = 0
	switch call.Operation {
	case Write:
		e.handleWriteResult(now, call, entry, err)
	case Delete:
		e.markLost(now)
	case Read:
		e.handleReadResult(now, entry, err)
	}
	if e.readAgain && e.revision == 0 {
		e.nextCallAt = now
	}
	e.readAgain = false
}

// handleUnavailable sets the backoff after a call that the store did not complete.
// A write that may have taken effect is to be read back.
func (e *Elector) handleUnavailable(now time.Time, call Call, err error) {
	e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
	e.nextCallAt = now.Add(e.backoff)
	if call.Operation == Write && errors.Is(err, port.ErrUncertain) {
		e.uncertainWrite = &call
	}
}

func (e *Elector) handleWriteResult(now time.Time, call Call, entry port.Entry, err error) {
	if err != nil {
		// Another host holds the lease, or it had expired.
		e.markLost(now)
		e.handleReadResult(now, entry, nil)
		return
	}
	e.applyWrite(now, call, entry.Revision)
}

// applyWrite records a write that took effect. The lease's time counts from before
// the write was sent, since the store may have started the TTL at any time since.
func (e *Elector) applyWrite(now time.Time, call Call, revision uint64) {
	if call.Prev == 0 {
		e.lease = Lease{Fence: revision, Since: now}
	}
	e.revision = revision
	e.lease.Until = call.SentAt.Add(TTL - expiryMargin)
	e.uncertainWrite = nil
	e.freeSince = time.Time{}
	e.otherHolder = ""
	e.nextCallAt = call.SentAt.Add(renewInterval)
	if e.releasing {
		e.nextCallAt = now
	}
}

// markLost records that this host does not hold the lease.
func (e *Elector) markLost(now time.Time) {
	e.revision, e.lease, e.uncertainWrite = 0, Lease{}, nil
	e.freeSince = time.Time{}
	e.nextCallAt = now.Add(pollInterval)
}

// handleReadResult applies the key's entry as it was read, or as the store returned
// it with a conflict.
func (e *Elector) handleReadResult(now time.Time, entry port.Entry, err error) {
	e.lastReadAt = now
	missing := entry.Revision == 0 || errors.Is(err, port.ErrNotFound)
	var stored storedLease
	if !missing && json.Unmarshal(entry.Value, &stored) != nil {
		stored = storedLease{Host: "unknown"}
	}
	if e.uncertainWrite != nil && !missing && stored.Nonce == e.uncertainWrite.nonce {
		e.applyWrite(now, *e.uncertainWrite, entry.Revision)
		return
	}
	if e.uncertainWrite != nil && entry.Revision == e.revision && e.revision > 0 {
		// The uncertain renewal did not take effect; the lease is unchanged.
		e.uncertainWrite = nil
		e.nextCallAt = now
		return
	}
	if e.uncertainWrite != nil || e.revision > 0 {
		e.markLost(now)
	}
	if !missing {
		e.otherHolder = stored.Host
		e.freeSince = time.Time{}
		e.nextCallAt = now.Add(pollInterval)
		return
	}
	e.otherHolder = ""
	if e.freeSince.IsZero() {
		e.freeSince = now
	}
	e.nextCallAt = now
}

// Release releases the lease: from now on Held returns false, and NextCall returns
// the call that deletes the lease from the store.
func (e *Elector) Release(now time.Time) {
	e.releasing = true
	e.nextCallAt = now
}

// Released reports whether no call is in flight and, as far as this host knows,
// the store holds no lease of it.
func (e *Elector) Released() bool { return !e.inFlight && e.uncertainWrite == nil && e.revision == 0 }
