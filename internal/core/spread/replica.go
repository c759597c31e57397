// Package spread brings small versioned records to all hosts: new records are
// pushed to a few random hosts of the availability zone and, by the zone's
// relays, to one relay of each other zone; digests exchanged with one host at
// a time repair what was lost. The package is pure: time, randomness and the
// list of hosts are handed in, and messages are handed out. Nothing in it is
// safe for concurrent use.
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
	// bucketCount is the number of groups whose sums are compared to find
	// which records differ.
	bucketCount = 64
	// MaxRecords bounds the records that a host keeps.
	MaxRecords = 1 << 14
	// MaxNameBytes bounds the length of a topic and of a key.
	MaxNameBytes = 256
	scopeCount   = 2
)

// name identifies a record.
type recordID struct{ topic, key string }

func compareRecordIDs(a, b recordID) int {
	return cmp.Or(strings.Compare(a.topic, b.topic), strings.Compare(a.key, b.key))
}

// ScopedRecord is a record with its scope.
type ScopedRecord struct {
	port.Record
	Scope port.Scope
}

// replica holds the newest known version of each record, with sums over them
// that are equal on two hosts if the records are.
type replica struct {
	records map[recordID]*ScopedRecord
	hashes  [scopeCount][bucketCount]uint32
	ids     [scopeCount][bucketCount]map[recordID]struct{}
}

func newReplica() *replica {
	r := &replica{records: make(map[recordID]*ScopedRecord)}
	for s := range r.ids {
		for b := range r.ids[s] {
			r.ids[s][b] = make(map[recordID]struct{})
		}
	}
	return r
}

func recordIDHash(n recordID) uint64 {
	return xxhash.Sum64String(n.topic) ^ bits.RotateLeft64(xxhash.Sum64String(n.key), 1)
}

func versionHash(n recordID, version uint64) uint32 {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], recordIDHash(n))
	binary.BigEndian.PutUint64(raw[8:], version)
	return uint32(xxhash.Sum64(raw[:]))
}

func bucketOf(n recordID) int { return int(recordIDHash(n) % bucketCount) }

// put stores an item if it is newer than the known one.
func (r *replica) put(now time.Time, it ScopedRecord) bool {
	n := recordID{it.Topic, it.Key}
	if isExpired(now, it) || int(it.Scope) >= scopeCount {
		return false
	}
	old, known := r.records[n]
	if known && old.Version >= it.Version {
		return false
	}
	if !known && len(r.records) >= MaxRecords {
		return false
	}
	if known {
		r.remove(n)
	}
	r.records[n] = &it
	b := bucketOf(n)
	r.hashes[it.Scope][b] ^= versionHash(n, it.Version)
	r.ids[it.Scope][b][n] = struct{}{}
	return true
}

func (r *replica) remove(n recordID) {
	it := r.records[n]
	b := bucketOf(n)
	r.hashes[it.Scope][b] ^= versionHash(n, it.Version)
	delete(r.ids[it.Scope][b], n)
	delete(r.records, n)
}

// expire forgets the items whose time is over.
func (r *replica) removeExpired(now time.Time) {
	for n, it := range r.records {
		if isExpired(now, *it) {
			r.remove(n)
		}
	}
}

func isExpired(now time.Time, it ScopedRecord) bool {
	return !it.ExpiresAt.IsZero() && !now.Before(it.ExpiresAt)
}

// newer reports whether a version is newer than the known one.
func (r *replica) isNewer(n recordID, version uint64) bool {
	it, ok := r.records[n]
	return !ok || it.Version < version
}

// sum is one number over all records of a scope.
func (r *replica) digest(s port.Scope) uint64 {
	return xxhash.Sum64(r.bucketDigests(s))
}

func (r *replica) bucketDigests(s port.Scope) []byte {
	raw := make([]byte, 0, bucketCount*4)
	for _, sum := range r.hashes[s] {
		raw = binary.BigEndian.AppendUint32(raw, sum)
	}
	return raw
}

// differing returns a bit for each bucket whose sum is not that in raw.
func (r *replica) differingBuckets(s port.Scope, raw []byte) uint64 {
	if len(raw) != bucketCount*4 {
		return 0
	}
	var mask uint64
	for b, sum := range r.hashes[s] {
		if binary.BigEndian.Uint32(raw[b*4:]) != sum {
			mask |= 1 << b
		}
	}
	return mask
}
