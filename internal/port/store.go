package port

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Store is the platform's key-value service. Implementations are safe for
// concurrent use. Every method respects the context's deadline.
//
// The error of a failed write tells whether it may have taken effect: an error
// that wraps ErrUnavailable but not ErrUncertain means that nothing was written.
type Store interface {
	// Get returns the entry of key. With ErrNotFound it returns an entry that has only an
	// epoch.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's revision is prev; prev 0 means that
	// the key must not exist. It returns the entry written. On a mismatch it
	// returns the current entry (zero if there is none) and ErrConflict.
	// A key written with a ttl above zero expires unless it is written again
	// within ttl; with ttl 0 it never expires. Revisions are store-wide, increase
	// and are never reused within an epoch, so the revision of a key that is used as a
	// lease serves as the lease's fencing token.
	CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (Entry, error)
	// CompareAndSwapInEpoch is like CompareAndSwap, and returns ErrConflict too if the
	// store is in another epoch; its zero entry for a missing key has the epoch then.
	// Epoch 0 is no condition.
	CompareAndSwapInEpoch(ctx context.Context, epoch int64, key string, prev uint64, value []byte, ttl time.Duration) (Entry, error)
	// Delete removes key if its revision is prev, otherwise it returns ErrConflict.
	Delete(ctx context.Context, key string, prev uint64) error
	// Watch waits until the key's revision differs from after and returns the
	// entry (zero if the key does not exist). It returns the context's error on
	// timeout.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
}

// Entry is one key of the store with its value and the revision of its last
// write. Revision 0 means that the key does not exist.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	// Epoch is that of the store in the response: it rises each time that the store comes
	// back from an older copy, and revisions are given out again. It is 0 if the store
	// names none.
	Epoch int64 `json:"-"`
}

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Errors of Store and WatchableStore.
var (
	// ErrNotFound means that the key does not exist or that the lease has expired.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key had a different revision; nothing was written.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the store could not be reached or failed the call.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrRateLimited means that the store rejected the call by rate limiting;
	// nothing was written. Errors that wrap it also wrap ErrUnavailable.
	ErrRateLimited = errors.Wrap(ErrUnavailable, "store: rate limited")
	// ErrUncertain means that a write may have taken effect. Errors that
	// wrap it also wrap ErrUnavailable.
	ErrUncertain = errors.Wrap(ErrUnavailable, "store: write may have taken effect")
	// ErrUnfinished means that a response began and did not end in time: the store serves, and
	// what it sends takes longer. Errors that wrap it also wrap ErrUncertain.
	ErrUnfinished = errors.Wrap(ErrUncertain, "store: response did not end")
)

// HostList is the platform's list of the hosts of this system and of endpoints.
// It may be stale.
type HostList interface {
	// Hosts returns the platform's current list.
	Hosts(ctx context.Context) ([]ListedHost, error)
}

// ListedHost is one entry of the host list.
type ListedHost struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	Address          string `json:"address"`
	Leaving          bool   `json:"leaving"`
}

// ErrCompacted means that the store no longer has the changes that
// WatchableStore.Watch was asked for.
var ErrCompacted = errors.New("store: history compacted")
