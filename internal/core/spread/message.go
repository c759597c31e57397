package spread

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// messageKind is the type of a message. Receivers ignore unknown kinds.
type messageKind uint8

const (
	// kindDigest starts an exchange. It carries one digest per scope over all
	// records; the receiver responds with kindBucketDigests.
	kindDigest messageKind = 1
	// kindBucketDigests responds to a kindDigest, also if no digest differs. It
	// carries the bucket digests of each scope whose digest differs.
	kindBucketDigests messageKind = 2
	// kindVersions responds to a kindBucketDigests with differing buckets. It
	// carries the versions of all records in as many of them as fit; the receiver
	// responds with kindUpdate.
	kindVersions messageKind = 3
	// kindUpdate carries records, the versions of large records, and requests for
	// records.
	kindUpdate messageKind = 4
)

// message is the wire format between hosts. New fields get new numbers.
type message struct {
	Kind messageKind `cbor:"1,keyasint"`
	// Seq numbers the sender's digests; the response repeats it.
	Seq uint32 `cbor:"2,keyasint,omitempty"`
	// FleetDigest and ZoneDigest are those of replica.digest by scope. Hosts of
	// other zones ignore the fields of the zone scope.
	FleetDigest uint64 `cbor:"3,keyasint,omitempty"`
	ZoneDigest  uint64 `cbor:"4,keyasint,omitempty"`
	// FleetBucketDigests and ZoneBucketDigests are those of replica.bucketDigests;
	// empty if the digest of the scope doesn't differ.
	FleetBucketDigests []byte `cbor:"5,keyasint,omitempty"`
	ZoneBucketDigests  []byte `cbor:"6,keyasint,omitempty"`
	// FleetBucketMask and ZoneBucketMask have a bit set for each bucket whose
	// records are all listed in Versions.
	FleetBucketMask uint64 `cbor:"7,keyasint,omitempty"`
	ZoneBucketMask  uint64 `cbor:"8,keyasint,omitempty"`
	// Versions are versions of records that the sender has.
	Versions []recordVersion `cbor:"9,keyasint,omitempty"`
	// Requests are records that the sender asks the receiver for.
	Requests []wireRecordID `cbor:"10,keyasint,omitempty"`
	Records  []wireRecord   `cbor:"11,keyasint,omitempty"`
	// CatchingUp says in a kindBucketDigests that the sender is not synced itself.
	CatchingUp bool `cbor:"12,keyasint,omitempty"`
}

// recordVersion identifies a record and its version, without the value.
type recordVersion struct {
	_       struct{} `cbor:",toarray"`
	Topic   string
	Key     string
	Version uint64
}

// wireRecordID is a recordID in a message.
type wireRecordID struct {
	_     struct{} `cbor:",toarray"`
	Topic string
	Key   string
}

// wireRecord is a ScopedRecord in a message.
type wireRecord struct {
	_       struct{} `cbor:",toarray"`
	Topic   string
	Key     string
	Version uint64
	Value   []byte
	// Expires is in Unix milliseconds; 0 means never.
	Expires int64
	// Scope is a port.GossipScope.
	Scope uint8
}

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		MaxArrayElements: MaxRecords,
		MaxNestedLevels:  6,
		IndefLength:      cbor.IndefLengthForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (m message) encode() []byte { return must(encMode.Marshal(m)) }

func decodeMessage(raw []byte) (message, error) {
	var m message
	if err := decMode.Unmarshal(raw, &m); err != nil {
		return message{}, errors.Wrap(err, "spread: decode message")
	}
	return m, nil
}

func versionOf(rec *ScopedRecord) recordVersion {
	return recordVersion{Topic: rec.Topic, Key: rec.Key, Version: rec.Version}
}

func (v recordVersion) id() recordID { return recordID{v.Topic, v.Key} }

func toWire(rec *ScopedRecord) wireRecord {
	w := wireRecord{Topic: rec.Topic, Key: rec.Key, Version: rec.Version, Value: rec.Value, Scope: uint8(rec.Scope)}
	if !rec.ExpiresAt.IsZero() {
		w.Expires = rec.ExpiresAt.UnixMilli()
	}
	return w
}

// scopedRecord converts a received record. It returns false if a size exceeds
// its limit or the topic is empty.
func (w wireRecord) scopedRecord() (ScopedRecord, bool) {
	if w.Topic == "" || len(w.Topic) > MaxNameBytes || len(w.Key) > MaxNameBytes || len(w.Value) > port.MaxValueBytes {
		return ScopedRecord{}, false
	}
	rec := ScopedRecord{GossipRecord: port.GossipRecord{Topic: w.Topic, Key: w.Key, Version: w.Version, Value: w.Value}, Scope: port.GossipScope(w.Scope)}
	if w.Expires != 0 {
		rec.ExpiresAt = time.UnixMilli(w.Expires)
	}
	return rec, true
}

// approxSize returns the approximate size of a record in a message, in bytes. 28
// bytes are for the version, the expiry, the scope and the encoding.
func approxSize(rec *ScopedRecord) int { return len(rec.Topic) + len(rec.Key) + len(rec.Value) + 28 }
