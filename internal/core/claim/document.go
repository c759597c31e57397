package claim

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// maxStoredOutputBytes is the largest output that is written to the store.
	maxStoredOutputBytes = 1024
	// entryOverheadBytes is the approximate encoded size of an entry without its
	// output.
	entryOverheadBytes = 64
	// maxDocumentBytes is the size above which a document takes no more claims and
	// drops outputs. It is below the store's limit, so that the outcomes of claims
	// already in the document can still be recorded.
	maxDocumentBytes = port.MaxValueBytes * 9 / 10
)

// claimState is the state of a claimed key.
type claimState uint8

const (
	// stateClaimed means that the run is in progress, or ended without a recorded
	// outcome, for example because the host crashed.
	stateClaimed claimState = iota + 1
	// stateRan means that the run completed. Its output is stored, unless it
	// exceeded maxStoredOutputBytes or was dropped to limit the document's size.
	stateRan
)

// entry is one claimed key in a document.
type entry struct {
	_      struct{} `cbor:",toarray"`
	Key    keyID
	Digest Digest
	// ClaimID identifies the claim; it is zero once the entry is compacted.
	ClaimID [16]byte
	// ClaimedAt is in Unix seconds.
	ClaimedAt int64
	State     claimState
	// Output is nil if it is not stored.
	Output []byte
}

// compacted reports whether only the key, the time and the state of the entry are
// left.
func (e *entry) compacted() bool { return e.ClaimID == [16]byte{} }

// document is the content of one value in the store. Its methods modify it in
// place.
type document struct {
	Entries []entry
}

func decodeDocument(value []byte) (document, error) {
	var d document
	if len(value) == 0 {
		return d, nil
	}
	if err := cbor.Unmarshal(value, &d); err != nil {
		return d, errors.Wrap(err, "decode claims")
	}
	return d, nil
}

func (d *document) encode() ([]byte, error) {
	value, err := cbor.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode claims")
	}
	return value, nil
}

func (d *document) clone() document {
	return document{Entries: slices.Clone(d.Entries)}
}

func (d *document) find(key keyID) *entry {
	for i := range d.Entries {
		if d.Entries[i].Key == key {
			return &d.Entries[i]
		}
	}
	return nil
}

// size returns the approximate encoded size in bytes.
func (d *document) size() int {
	total := 0
	for i := range d.Entries {
		total += entryOverheadBytes + len(d.Entries[i].Output)
	}
	return total
}

// opKind is the type of an op.
type opKind uint8

const (
	opAddClaim opKind = iota + 1
	opRecordOutcome
	opReleaseClaim
	opRestoreClaims
)

// op is one idempotent change of a document. It is sent between hosts under its
// Go field names.
type op struct {
	Kind opKind
	// Shard and Bucket are the address of the document.
	Shard  int
	Bucket int64
	Key    keyID
	// Digest is set for opAddClaim.
	Digest Digest
	// Claim is the claim's ID.
	Claim [16]byte
	// Output is set for opRecordOutcome; nil if the output is not to be stored.
	Output []byte
	// Entries is set for opRestoreClaims: claims that the store held and may have lost.
	Entries []entry `cbor:",omitempty"`
	// WantEpoch asks for an epochOpReply.
	WantEpoch bool `cbor:",omitempty"`
	// Expires is the time, in Unix milliseconds, after which nothing waits for
	// the op and it is dropped.
	Expires int64
}

func (o *op) addr() documentAddress { return documentAddress{shard: o.Shard, bucket: o.Bucket} }

// errDocumentFull means that a document has no space for another claim.
var errDocumentFull = errors.New("claim: document is full")

// apply executes an op and reports whether the document changed. For opAddClaim
// it returns the key's entry, which may be that of another claim, or
// errDocumentFull. For opRecordOutcome it returns the changed entry. Otherwise,
// and if the op's claim is not in the document or already has an outcome, the
// entry is zero.
func (d *document) apply(o *op, now time.Time) (entry, bool, error) {
	e := d.find(o.Key)
	switch o.Kind {
	case opAddClaim:
		return d.addClaim(e, o, now)
	case opRestoreClaims:
		return entry{}, d.restoreClaims(o.Entries), nil
	}
	if e == nil || e.ClaimID != o.Claim || e.State != stateClaimed {
		return entry{}, false, nil
	}
	if o.Kind == opReleaseClaim {
		*e = d.Entries[len(d.Entries)-1]
		d.Entries = d.Entries[:len(d.Entries)-1]
		return entry{}, true, nil
	}
	e.State = stateRan
	e.Output = o.Output
	return *e, true, nil
}

func (d *document) addClaim(e *entry, o *op, now time.Time) (entry, bool, error) {
	if e != nil {
		return *e, false, nil
	}
	if d.size()+entryOverheadBytes > maxDocumentBytes {
		return entry{}, false, errDocumentFull
	}
	d.Entries = append(d.Entries, entry{
		Key: o.Key, Digest: o.Digest, ClaimID: o.Claim, ClaimedAt: now.Unix(), State: stateClaimed,
	})
	return d.Entries[len(d.Entries)-1], true, nil
}

// restoreClaims adds the claims that the document lacks and reports whether it changed. A
// claim replaces one of another request for the same key that has not run: the other one
// is not confirmed, or was only after this one had been given up.
func (d *document) restoreClaims(claims []entry) bool {
	changed := false
	for _, claim := range claims {
		existing := d.find(claim.Key)
		switch {
		case existing == nil:
			d.Entries = append(d.Entries, claim)
		case existing.State == stateRan || existing.compacted():
			continue
		case existing.ClaimID == claim.ClaimID && existing.State == claim.State:
			continue
		default:
			*existing = claim
		}
		changed = true
	}
	return changed
}

// trimOutputs drops outputs until the document is within maxDocumentBytes. It
// drops them in the order of the entries, which is only approximately by age,
// because the release of a claim moves the last entry.
func (d *document) trimOutputs() {
	excess := d.size() - maxDocumentBytes
	for i := range d.Entries {
		if excess <= 0 {
			return
		}
		excess -= len(d.Entries[i].Output)
		d.Entries[i].Output = nil
	}
}

// expireEntries compacts the entries older than window and deletes those older
// than retention. It applies to documents of undated keys.
func (d *document) expireEntries(now time.Time, window, retention time.Duration) {
	retained := d.Entries[:0]
	for _, e := range d.Entries {
		age := now.Sub(time.Unix(e.ClaimedAt, 0))
		if age > retention {
			continue
		}
		if age > window {
			e.Digest, e.ClaimID, e.Output = Digest{}, [16]byte{}, nil
		}
		retained = append(retained, e)
	}
	d.Entries = retained
}

// storableOutput returns a copy of the output for a document, or nil if it
// exceeds maxStoredOutputBytes.
func storableOutput(output json.RawMessage) []byte {
	if len(output) > maxStoredOutputBytes {
		return nil
	}
	return bytes.Clone(output)
}
