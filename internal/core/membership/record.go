package membership

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// Topic is the topic of the hosts' records; the key is the host's id.
const Topic = "host"

// A record's version orders all records about a host: first by incarnation, then
// by the host's count of changes to its own record, then by liveness.
const (
	livenessBits    = 2
	changeCountBits = 20
	maxChangeCount  = 1<<changeCountBits - 1
)

// liveness is what a record says of whether the host responds. At the same change
// count the higher value wins; the host itself refutes it with a higher count.
type liveness uint64

const (
	// livenessAlive marks a record that the host itself published.
	livenessAlive liveness = 0
	// livenessSuspect marks a host that did not respond to another host.
	livenessSuspect liveness = 1
	// livenessGone marks a host that did not refute the suspicion in time.
	livenessGone liveness = 2
)

// MaxIncarnation is the highest incarnation that fits into a version.
const MaxIncarnation = 1<<(64-livenessBits-changeCountBits) - 1

// version holds the parts of a record's version.
type version struct {
	incarnation uint64
	changeCount uint64
	liveness    liveness
}

// pack returns the version as a number that orders records. It caps the change count
// at maxChangeCount.
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

// hostRecord is the CBOR value of a host's record.
type hostRecord struct {
	_                struct{} `cbor:",toarray"`
	AvailabilityZone string
	Address          string
	ReleaseVersion   uint64
	Leaving          bool
}

var encMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func (rec hostRecord) encode() []byte {
	raw, err := encMode.Marshal(rec)
	if err != nil {
		panic(err)
	}
	return raw
}

func decodeHostRecord(r port.GossipRecord) (hostRecord, error) {
	var rec hostRecord
	if err := cbor.Unmarshal(r.Value, &rec); err != nil {
		return hostRecord{}, errors.Wrapf(err, "membership: decode record of host %q", r.Key)
	}
	return rec, nil
}
