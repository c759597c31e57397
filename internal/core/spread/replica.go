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
type name struct{ topic, key string }

func compareNames(a, b name) int {
	return cmp.Or(strings.Compare(a.topic, b.topic), strings.Compare(a.key, b.key))
}

// Item is a record with its scope.
type Item struct {
	port.GossipRecord
	Scope port.GossipScope
}

// replica holds the newest known version of each record, with sums over them
// that are equal on two hosts if the records are.
type replica struct {
	items map[name]*Item
	sums  [scopeCount][bucketCount]uint32
	names [scopeCount][bucketCount]map[name]struct{}
}

func newReplica() *replica {
	r := &replica{items: make(map[name]*Item)}
	for s := range r.names {
		for b := range r.names[s] {
			r.names[s][b] = make(map[name]struct{})
		}
	}
	return r
}

func nameHash(n name) uint64 {
	return xxhash.Sum64String(n.topic) ^ bits.RotateLeft64(xxhash.Sum64String(n.key), 1)
}

func itemHash(n name, version uint64) uint32 {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], nameHash(n))
	binary.BigEndian.PutUint64(raw[8:], version)
	return uint32(xxhash.Sum64(raw[:]))
}

func bucketOf(n name) int { return int(nameHash(n) % bucketCount) }

// put stores an item if it is newer than the known one.
func (r *replica) put(now time.Time, it Item) bool {
	n := name{it.Topic, it.Key}
	if expired(now, it) || int(it.Scope) >= scopeCount {
		return false
	}
	old, known := r.items[n]
	if known && old.Version >= it.Version {
		return false
	}
	if !known && len(r.items) >= MaxRecords {
		return false
	}
	if known {
		r.remove(n)
	}
	r.items[n] = &it
	b := bucketOf(n)
	r.sums[it.Scope][b] ^= itemHash(n, it.Version)
	r.names[it.Scope][b][n] = struct{}{}
	return true
}

func (r *replica) remove(n name) {
	it := r.items[n]
	b := bucketOf(n)
	r.sums[it.Scope][b] ^= itemHash(n, it.Version)
	delete(r.names[it.Scope][b], n)
	delete(r.items, n)
}

// expire forgets the items whose time is over.
func (r *replica) expire(now time.Time) {
	for n, it := range r.items {
		if expired(now, *it) {
			r.remove(n)
		}
	}
}

func expired(now time.Time, it Item) bool {
	return !it.ExpiresAt.IsZero() && !now.Before(it.ExpiresAt)
}

// newer reports whether a version is newer than the known one.
func (r *replica) newer(n name, version uint64) bool {
	it, ok := r.items[n]
	return !ok || it.Version < version
}

// sum is one number over all records of a scope.
func (r *replica) sum(s port.GossipScope) uint64 {
	return xxhash.Sum64(r.bucketSums(s))
}

func (r *replica) bucketSums(s port.GossipScope) []byte {
	raw := make([]byte, 0, bucketCount*4)
	for _, sum := range r.sums[s] {
		raw = binary.BigEndian.AppendUint32(raw, sum)
	}
	return raw
}

// differing returns a bit for each bucket whose sum is not that in raw.
func (r *replica) differing(s port.GossipScope, raw []byte) uint64 {
	if len(raw) != bucketCount*4 {
		return 0
	}
	var mask uint64
	for b, sum := range r.sums[s] {
		if binary.BigEndian.Uint32(raw[b*4:]) != sum {
			mask |= 1 << b
		}
	}
	return mask
}
