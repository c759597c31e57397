// Package results caches the outputs of completed stages in memory, so that a
// caller's retry of the same request can reuse them. The cache key covers the
// customer, the pipeline definition, the idempotency key if there is one, and
// the input, so that a result is never returned for a different request.
package results

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Key identifies a request's results. It is a cryptographic digest, so that
// callers cannot construct a key that collides with another customer's.
type Key [sha256.Size]byte

// KeyOf returns the key of a request. It fails if the pipeline cannot be encoded
// as JSON.
func KeyOf(req *pipeline.Request) (Key, error) {
	definition, err := json.Marshal(req.Pipeline)
	if err != nil {
		return Key{}, err
	}
	h := sha256.New()
	for _, part := range [][]byte{[]byte(req.Customer), definition, []byte(req.IdempotencyKey), req.Input} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	var k Key
	h.Sum(k[:0])
	return k, nil
}

// Owner returns the id of the live host that stores the key's results, by
// rendezvous hashing; false if no host is live.
func Owner(members []port.Member, k Key) (string, bool) {
	owner, maxWeight, found := "", uint64(0), false
	for _, m := range members {
		if m.State != port.MemberLive {
			continue
		}
		h := xxhash.New()
		_, _ = h.Write(k[:])
		_, _ = h.WriteString(m.ID)
		if weight := h.Sum64(); !found || weight > maxWeight {
			owner, maxWeight, found = m.ID, weight, true
		}
	}
	return owner, found
}
