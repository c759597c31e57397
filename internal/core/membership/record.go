package membership

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// Topic is the topic of the hosts' records; the key is the host's id.
const Topic = "host"

// A record's version orders all word of a host: first by incarnation, then by
// the host's own count of changes, then by what others say of that change.
const (
	rankBits  = 2
	countBits = 20
	maxCount  = 1<<countBits - 1
)

// rank tells whose word a record is. At the same count a higher rank wins,
// and the host itself answers with a higher count.
type rank uint64

const (
	// rankOwn is the host's own word.
	rankOwn rank = 0
	// rankSuspect says that the host did not answer.
	rankSuspect rank = 1
	// rankGone says that it did not answer for long.
	rankGone rank = 2
)

// MaxIncarnation is the highest incarnation that a version has room for.
const MaxIncarnation = 1<<(64-rankBits-countBits) - 1

// version is a record's version, taken apart.
type version struct {
	incarnation uint64
	count       uint64
	rank        rank
}

func (v version) pack() uint64 {
	return v.incarnation<<(rankBits+countBits) | min(v.count, maxCount)<<rankBits | uint64(v.rank)
}

func unpack(packed uint64) version {
	return version{
		incarnation: packed >> (rankBits + countBits),
		count:       packed >> rankBits & maxCount,
		rank:        rank(packed & (1<<rankBits - 1)),
	}
}

// body is a record's value.
type body struct {
	_       struct{} `cbor:",toarray"`
	Zone    string
	Address string
	Release uint64
	Leaving bool
}

var encMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func (b body) encode() []byte {
	raw, err := encMode.Marshal(b)
	if err != nil {
		panic(err)
	}
	return raw
}

func decodeBody(r port.GossipRecord) (body, error) {
	var b body
	if err := cbor.Unmarshal(r.Value, &b); err != nil {
		return body{}, errors.Wrapf(err, "membership: record of host %q", r.Key)
	}
	return b, nil
}
