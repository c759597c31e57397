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
	livenessBits    = 2
	changeCountBits = 20
	maxChangeCount  = 1<<changeCountBits - 1
)

// rank tells whose word a record is. At the same count a higher rank wins,
// and the host itself answers with a higher count.
type liveness uint64

const (
	// livenessAlive is the host's own word.
	livenessAlive liveness = 0
	// livenessSuspect says that the host did not answer.
	livenessSuspect liveness = 1
	// livenessGone says that it did not answer for long.
	livenessGone liveness = 2
)

// MaxIncarnation is the highest incarnation that a version has room for.
const MaxIncarnation = 1<<(64-livenessBits-changeCountBits) - 1

// version is a record's version, taken apart.
type version struct {
	incarnation uint64
	changeCount uint64
	liveness    liveness
}

func (v version) pack() uint64 {
	return v.incarnation<<(livenessBits+changeCountBits) | min(v.changeCount, maxChangeCount)<<livenessBits | uint64(v.liveness)
}

func unpackVersion(packed uint64) version {
	return version{
		incarnation: packed >> (livenessBits + changeCountBits),
		changeCount: packed >> livenessBits & maxChangeCount,
		liveness:    liveness(packed & (1<<livenessBits - 1)),
	}
}

// body is a record's value.
type hostRecord struct {
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

func (b hostRecord) encode() []byte {
	raw, err := encMode.Marshal(b)
	if err != nil {
		panic(err)
	}
	return raw
}

func decodeHostRecord(r port.Record) (hostRecord, error) {
	var b hostRecord
	if err := cbor.Unmarshal(r.Value, &b); err != nil {
		return hostRecord{}, errors.Wrapf(err, "membership: record of host %q", r.Key)
	}
	return b, nil
}
