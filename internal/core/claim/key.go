package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
)

const (
	// shardCount is the number of shards of the claims. With one writer host per
	// shard it limits the total write rate. It must be the same on all hosts.
	shardCount = 64
	// bucketSpan is the range of timestamps whose keys share a document. It must
	// be the same on all hosts.
	bucketSpan = 5 * time.Minute
	// undatedBucket is the bucket of keys without a timestamp.
	undatedBucket = -1
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 512
)

// earliestTimestamp and latestTimestamp limit the timestamps that are considered
// plausible. A key with any other timestamp is treated as undated.
var (
	earliestTimestamp = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	latestTimestamp   = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
)

// keyID identifies a customer's idempotency key.
type keyID [16]byte

// Digest identifies the pipeline and input of a request, to detect that a key is
// reused for a different request.
type Digest [16]byte

// DigestOf returns the digest of a pipeline's name and a request's input.
func DigestOf(pipeline string, input []byte) Digest {
	return Digest(hashParts([]byte(pipeline), input))
}

// hashParts hashes the parts with length prefixes, so that different lists of
// parts never hash the same bytes.
func hashParts(parts ...[]byte) [16]byte {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write(p)
	}
	return [16]byte(h.Sum(nil)[:16])
}

// callerKey is the parsed form of a caller's own key. It depends only on the
// customer and the key, so that every host uses the same document.
type callerKey struct {
	id   keyID
	addr documentAddress
	// createdAt is the timestamp in the key, zero if there is none.
	createdAt time.Time
}

func parseCallerKey(customer, key string) callerKey {
	k := callerKey{id: keyID(hashParts([]byte(customer), []byte(key)))}
	k.addr = documentAddress{shard: int(k.id[0]) % shardCount, bucket: undatedBucket}
	createdAt, ok := keyTimestamp(key)
	if !ok {
		return k
	}
	k.createdAt = createdAt
	k.addr.bucket = createdAt.Unix() / int64(bucketSpan/time.Second)
	return k
}

// keyTimestamp returns the timestamp of a key that is a ULID or a version 7 UUID,
// and whether it has a plausible one.
func keyTimestamp(key string) (time.Time, bool) {
	createdAt, ok := ulidTimestamp(key)
	if !ok {
		createdAt, ok = uuidTimestamp(key)
	}
	plausible := ok && createdAt.After(earliestTimestamp) && createdAt.Before(latestTimestamp)
	return createdAt, plausible
}

func ulidTimestamp(key string) (time.Time, bool) {
	id, err := ulid.ParseStrict(key)
	if err != nil {
		return time.Time{}, false
	}
	return ulid.Time(id.Time()), true
}

func uuidTimestamp(key string) (time.Time, bool) {
	const textBytes, versionAt = 36, 14 // of the form with hyphens
	if len(key) != textBytes || key[versionAt] != '7' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 {
		return time.Time{}, false
	}
	ms := binary.BigEndian.Uint64(raw[:8]) >> 16
	return time.UnixMilli(int64(ms)), true
}

// documentAddress identifies the document in the store that holds a key's claim.
type documentAddress struct {
	shard  int
	bucket int64
}

// storeKey returns the document's key in the store.
func (a documentAddress) storeKey() string {
	if a.bucket == undatedBucket {
		return fmt.Sprintf("claim/%02x/undated", a.shard)
	}
	return fmt.Sprintf("claim/%02x/%d", a.shard, a.bucket)
}

// end returns the end of the timestamp range of a dated document.
func (a documentAddress) end() time.Time {
	return time.Unix((a.bucket+1)*int64(bucketSpan/time.Second), 0)
}
