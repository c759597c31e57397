// Package spread distributes small versioned records to all hosts by gossip.
// New records are pushed to a few random hosts of the availability zone and, by
// the zone's relays, to one relay of each other zone. Anti-entropy repairs lost
// messages: hosts exchange digests with one other host at a time. The package
// does no I/O: it takes the time, the random source and the list of hosts as
// arguments and returns the messages to send. Nothing in it is safe for
// concurrent use.
package spread

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// bucketCount is the number of buckets whose digests are compared to find the
	// records that differ.
	bucketCount = 64
	// MaxRecords bounds the records that a host keeps.
	MaxRecords = 1 << 14
	// MaxNameBytes bounds the length of a topic and of a key in received records.
	MaxNameBytes = 256
	// scopeCount is the number of values of port.GossipScope.
	scopeCount = 2
)

// recordID identifies a record.
type recordID struct{ topic, key string }

func compareRecordIDs(a, b recordID) int {
	return cmp.Or(strings.Compare(a.topic, b.topic), strings.Compare(a.key, b.key))
}

// ScopedRecord is a record with its scope.
type ScopedRecord struct {
	port.GossipRecord
	Scope port.GossipScope
}

// replica holds the newest known version of each record. Its bucket digests are
// equal on two hosts if the versions of their records are.
type replica struct {
	records map[recordID]*ScopedRecord
	// digests holds for each bucket the XOR of the version hashes of its records.
	digests [scopeCount][bucketCount]uint32
	// idsByBucket holds the IDs of the records in each bucket.
	idsByBucket [scopeCount][bucketCount]map[recordID]struct{}
}

func newReplica() *replica {
	r := &replica{records: make(map[recordID]*ScopedRecord)}
	for s := range r.idsByBucket {
		for b := range r.idsByBucket[s] {
			r.idsByBucket[s][b] = make(map[recordID]struct{})
		}
	}
	return r
}

func recordIDHash(id recordID) uint64 {
	return xxhash.Sum64String(id.topic) ^ bits.RotateLeft64(xxhash.Sum64String(id.key), 1)
}

// versionHash returns a hash of a record's ID and version, not of its value.
func versionHash(id recordID, version uint64) uint32 {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], recordIDHash(id))
	binary.BigEndian.PutUint64(raw[8:], version)
	return uint32(xxhash.Sum64(raw[:]))
}

func bucketOf(id recordID) int { return int(recordIDHash(id) % bucketCount) }

// put stores a record if it is newer than the known version, not expired and of a
// known scope, and reports whether it did. It rejects records without a known
// version once there are MaxRecords.
func (r *replica) put(now time.Time, rec ScopedRecord) bool {
	id := recordID{rec.Topic, rec.Key}
	if isExpired(now, rec) || int(rec.Scope) >= scopeCount {
		return false
	}
	old, known := r.records[id]
	if known && old.Version >= rec.Version {
		return false
	}
	if !known && len(r.records) >= MaxRecords {
		return false
	}
	if known {
		r.remove(id)
	}
	r.records[id] = &rec
	b := bucketOf(id)
	r.digests[rec.Scope][b] ^= versionHash(id, rec.Version)
	r.idsByBucket[rec.Scope][b][id] = struct{}{}
	return true
}

// remove removes a record, which must exist.
func (r *replica) remove(id recordID) {
	rec := r.records[id]
	b := bucketOf(id)
	r.digests[rec.Scope][b] ^= versionHash(id, rec.Version)
	delete(r.idsByBucket[rec.Scope][b], id)
	delete(r.records, id)
}

// removeExpired removes the expired records.
func (r *replica) removeExpired(now time.Time) {
	for id, rec := range r.records {
		if isExpired(now, *rec) {
			r.remove(id)
		}
	}
}

func isExpired(now time.Time, rec ScopedRecord) bool {
	return !rec.ExpiresAt.IsZero() && !now.Before(rec.ExpiresAt)
}

// isNewer reports whether a version is newer than the known one, or none is known.
func (r *replica) isNewer(id recordID, version uint64) bool {
	rec, ok := r.records[id]
	return !ok || rec.Version < version
}

// digest returns a hash over the versions of all records of a scope.
func (r *replica) digest(s port.GossipScope) uint64 {
	return xxhash.Sum64(r.bucketDigests(s))
}

// bucketDigests returns the digests of all buckets of a scope, 4 bytes each in big
// endian.
func (r *replica) bucketDigests(s port.GossipScope) []byte {
	raw := make([]byte, 0, bucketCount*4)
	for _, digest := range r.digests[s] {
		raw = binary.BigEndian.AppendUint32(raw, digest)
	}
	return raw
}

// differingBuckets returns a bit mask of the buckets whose digest differs from
// the peer's. A malformed digest list yields an empty mask.
func (r *replica) differingBuckets(s port.GossipScope, peerDigests []byte) uint64 {
	if len(peerDigests) != bucketCount*4 {
		return 0
	}
	var mask uint64
	for b, digest := range r.digests[s] {
		if binary.BigEndian.Uint32(peerDigests[b*4:]) != digest {
			mask |= 1 << b
		}
	}
	return mask
}
