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
	// kindSync carries the sums over all records and asks for a kindSums.
	kindSync messageKind = 1
	// kindSums answers a kindSync; it carries the buckets' sums if they differ.
	kindSums messageKind = 2
	// kindHeads carries the versions of all records in the differing buckets.
	kindHeads messageKind = 3
	// kindUpdate carries records, offers of large ones, and wants.
	kindUpdate messageKind = 4
)

// message is what hosts send each other. New fields get new numbers.
type message struct {
	Kind      messageKind `cbor:"1,keyasint"`
	Seq       uint32      `cbor:"2,keyasint,omitempty"`
	FleetSum  uint64      `cbor:"3,keyasint,omitempty"`
	ZoneSum   uint64      `cbor:"4,keyasint,omitempty"`
	FleetSums []byte      `cbor:"5,keyasint,omitempty"`
	ZoneSums  []byte      `cbor:"6,keyasint,omitempty"`
	FleetMask uint64      `cbor:"7,keyasint,omitempty"`
	ZoneMask  uint64      `cbor:"8,keyasint,omitempty"`
	Heads     []head      `cbor:"9,keyasint,omitempty"`
	Wants     []wireName  `cbor:"10,keyasint,omitempty"`
	Records   []wireItem  `cbor:"11,keyasint,omitempty"`
}

// head is a record without its value.
type head struct {
	_       struct{} `cbor:",toarray"`
	Topic   string
	Key     string
	Version uint64
}

type wireName struct {
	_     struct{} `cbor:",toarray"`
	Topic string
	Key   string
}

type wireItem struct {
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

func headOf(it *Item) head { return head{Topic: it.Topic, Key: it.Key, Version: it.Version} }

func (h head) name() name { return name{h.Topic, h.Key} }

func toWire(it *Item) wireItem {
	w := wireItem{Topic: it.Topic, Key: it.Key, Version: it.Version, Value: it.Value, Scope: uint8(it.Scope)}
	if !it.ExpiresAt.IsZero() {
		w.Expires = it.ExpiresAt.UnixMilli()
	}
	return w
}

// item checks what came over the wire.
func (w wireItem) item() (Item, bool) {
	if w.Topic == "" || len(w.Topic) > MaxNameBytes || len(w.Key) > MaxNameBytes || len(w.Value) > port.MaxValueBytes {
		return Item{}, false
	}
	it := Item{GossipRecord: port.GossipRecord{Topic: w.Topic, Key: w.Key, Version: w.Version, Value: w.Value}, Scope: port.GossipScope(w.Scope)}
	if w.Expires != 0 {
		it.ExpiresAt = time.UnixMilli(w.Expires)
	}
	return it, true
}

// size is about what the item takes in a message, in bytes.
func size(it *Item) int { return len(it.Topic) + len(it.Key) + len(it.Value) + 28 }
