package spread

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// messageKind tells what a message asks for. Unknown kinds are ignored.
type messageKind uint8

const (
	// kindDigest carries the sums over all records and asks for a kindBucketDigests.
	kindDigest messageKind = 1
	// kindBucketDigests answers a kindDigest; it carries the buckets' sums if they differ.
	kindBucketDigests messageKind = 2
	// kindVersions carries the versions of all records in the differing buckets.
	kindVersions messageKind = 3
	// kindUpdate carries records, offers of large ones, and wants.
	kindUpdate messageKind = 4
)

// message is what hosts send each other. New fields get new numbers.
type message struct {
	Kind               messageKind     `cbor:"1,keyasint"`
	Seq                uint32          `cbor:"2,keyasint,omitempty"`
	FleetDigest        uint64          `cbor:"3,keyasint,omitempty"`
	ZoneDigest         uint64          `cbor:"4,keyasint,omitempty"`
	FleetBucketDigests []byte          `cbor:"5,keyasint,omitempty"`
	ZoneBucketDigests  []byte          `cbor:"6,keyasint,omitempty"`
	FleetBucketMask    uint64          `cbor:"7,keyasint,omitempty"`
	ZoneBucketMask     uint64          `cbor:"8,keyasint,omitempty"`
	Versions           []recordVersion `cbor:"9,keyasint,omitempty"`
	Requests           []wireRecordID  `cbor:"10,keyasint,omitempty"`
	Records            []wireRecord    `cbor:"11,keyasint,omitempty"`
}

// head is a record without its value.
type recordVersion struct {
	_       struct{} `cbor:",toarray"`
	Topic   string
	Key     string
	Version uint64
}

type wireRecordID struct {
	_     struct{} `cbor:",toarray"`
	Topic string
	Key   string
}

type wireRecord struct {
	_       struct{} `cbor:",toarray"`
	Topic   string
	Key     string
	Version uint64
	Value   []byte
	// Expires is in Unix milliseconds, 0 for never.
	Expires int64
	Scope   uint8
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

func versionOf(it *ScopedRecord) recordVersion {
	return recordVersion{Topic: it.Topic, Key: it.Key, Version: it.Version}
}

func (h recordVersion) id() recordID { return recordID{h.Topic, h.Key} }

func toWire(it *ScopedRecord) wireRecord {
	w := wireRecord{Topic: it.Topic, Key: it.Key, Version: it.Version, Value: it.Value, Scope: uint8(it.Scope)}
	if !it.ExpiresAt.IsZero() {
		w.Expires = it.ExpiresAt.UnixMilli()
	}
	return w
}

// item checks what came over the wire.
func (w wireRecord) scopedRecord() (ScopedRecord, bool) {
	if w.Topic == "" || len(w.Topic) > MaxNameBytes || len(w.Key) > MaxNameBytes || len(w.Value) > port.MaxValueBytes {
		return ScopedRecord{}, false
	}
	it := ScopedRecord{Record: port.Record{Topic: w.Topic, Key: w.Key, Version: w.Version, Value: w.Value}, Scope: port.Scope(w.Scope)}
	if w.Expires != 0 {
		it.ExpiresAt = time.UnixMilli(w.Expires)
	}
	return it, true
}

// size is about what the item takes in a message, in bytes.
func approxSize(it *ScopedRecord) int { return len(it.Topic) + len(it.Key) + len(it.Value) + 28 }
