// Package audit records the audit trail. Records are buffered in memory and written
// to the store as soon as it is available. The trail is stored under a fixed number of
// keys, which the hosts share.
package audit

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// Limits of the audit trail.
const (
	// maxPendingRecords is the maximum number of records buffered in memory. Beyond
	// it the oldest are dropped.
	maxPendingRecords = 4096
	// segmentCount is the number of segments of the trail. A segment is one key in the
	// store. Each host writes to one segment, selected by a hash of the host's name.
	segmentCount = 16
	// maxSegmentRecords is the maximum number of records in one segment. Beyond it the
	// oldest are dropped.
	maxSegmentRecords = 1024
	// flushInterval is the time between the end of a write and the next write, and the
	// initial backoff after a failed one.
	flushInterval = 2 * time.Second
	// flushTimeout limits the duration of one write, including the read of the segment
	// and the retries after conflicts.
	flushTimeout = 5 * time.Second
	// maxBackoff limits the exponential backoff after failed writes.
	maxBackoff = time.Minute
	// keyPrefix is the prefix of the segments' keys.
	keyPrefix = "audit/"
)

// Log is one host's part of the audit trail. Record and Read are safe for
// concurrent use; Run must be called only once.
type Log struct {
	store port.Store
	log   *slog.Logger
	// key is the key of the host's segment.
	key string

	// mu guards pending and dropped.
	mu sync.Mutex
	// pending holds the records that are not known to be stored, in the order in which
	// they were recorded.
	pending []port.AuditRecord
	// dropped counts the records removed from pending because it was full.
	dropped int
	// wake holds an element if a record was added since Run last woke up.
	wake chan struct{}
}

// New returns the Log of the host with the given name. Its records are written only
// while Run runs.
func New(host string, store port.Store, log *slog.Logger) *Log {
	segment := xxhash.Sum64String(host) % segmentCount
	return &Log{store: store, log: log, key: fmt.Sprintf("%s%02d", keyPrefix, segment), wake: make(chan struct{}, 1)}
}

// Record implements port.Audit. It does not block.
func (l *Log) Record(r port.AuditRecord) {
	l.mu.Lock()
	l.pending = append(l.pending, r)
	if excess := len(l.pending) - maxPendingRecords; excess > 0 {
		l.pending = slices.Delete(l.pending, 0, excess)
		l.dropped += excess
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run writes records to the store until ctx ends, then makes one last attempt to write
// the pending ones.
func (l *Log) Run(ctx context.Context) {
	backoff := flushInterval
	for {
		select {
		case <-ctx.Done():
			lastCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
			l.flush(lastCtx)
			cancel()
			return
		case <-l.wake:
		}
		for !l.flush(ctx) && ctx.Err() == nil {
			port.Sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
		backoff = flushInterval
		port.Sleep(ctx, flushInterval)
	}
}

// flush makes one attempt to write the pending records and reports whether none is
// left of those that were pending at its start.
func (l *Log) flush(ctx context.Context) bool {
	l.mu.Lock()
	batch := slices.Clone(l.pending)
	l.mu.Unlock()
	if len(batch) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := l.appendToSegment(ctx, batch); err != nil {
		l.log.Debug("audit records could not be stored", slog.Int("records", len(batch)), slog.Any("error", err))
		return false
	}
	l.removePending(batch)
	return true
}

// removePending removes the written records from the pending ones. It compares IDs
// because Record may have dropped some of them during the write.
func (l *Log) removePending(written []port.AuditRecord) {
	ids := map[string]bool{}
	for _, r := range written {
		ids[r.ID] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = slices.DeleteFunc(l.pending, func(r port.AuditRecord) bool { return ids[r.ID] })
}

// appendToSegment adds the batch to the host's segment. Records that a write whose
// response was lost has already stored are not added again. It replaces a segment that
// cannot be decoded.
func (l *Log) appendToSegment(ctx context.Context, batch []port.AuditRecord) error {
	entry, err := l.store.Get(ctx, l.key)
	if err != nil && !errors.Is(err, port.ErrNotFound) {
		return err
	}
	for {
		records, err := decodeRecords(entry)
		if err != nil {
			l.log.Error("audit segment cannot be decoded and is overwritten", slog.String("key", l.key), slog.Any("error", err))
		}
		data, err := json.Marshal(mergeRecords(records, batch))
		if err != nil {
			return errors.Wrap(err, "encode audit records")
		}
		entry, err = l.store.CompareAndSwap(ctx, l.key, entry.Revision, data, 0)
		if !errors.Is(err, port.ErrConflict) {
			return err
		}
	}
}

// decodeRecords returns the records of a segment. A segment that is not in the store
// has revision 0 and no records.
func decodeRecords(e port.Entry) ([]port.AuditRecord, error) {
	if e.Revision == 0 {
		return nil, nil
	}
	var out []port.AuditRecord
	if err := json.Unmarshal(e.Value, &out); err != nil {
		return nil, errors.Wrap(err, "decode audit records")
	}
	return out, nil
}

// mergeRecords returns the union of both by ID, oldest first, limited to the newest
// maxSegmentRecords.
func mergeRecords(existing, added []port.AuditRecord) []port.AuditRecord {
	seen := map[string]bool{}
	var out []port.AuditRecord
	for _, r := range slices.Concat(existing, added) {
		if !seen[r.ID] {
			seen[r.ID] = true
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b port.AuditRecord) int { return a.Time.Compare(b.Time) })
	return out[max(0, len(out)-maxSegmentRecords):]
}

// Query selects records. A zero field matches all records.
type Query struct {
	Kind    port.AuditKind
	Subject string
	// Since excludes records from before this time.
	Since time.Time
}

func (q Query) matches(r port.AuditRecord) bool {
	return (q.Kind == "" || q.Kind == r.Kind) && (q.Subject == "" || q.Subject == r.Subject) && !r.Time.Before(q.Since)
}

// Trail is the result of a query.
type Trail struct {
	// Records are ordered from newest to oldest.
	Records []port.AuditRecord `json:"records"`
	// Partial means that the store could not be read, or a part of it could not be
	// decoded. This host's pending records are always included.
	Partial bool `json:"partial"`
	// Dropped is the number of this host's records that were dropped because the
	// store was unavailable for too long.
	Dropped int `json:"dropped"`
}

// Read returns the matching records: those stored by all hosts and this host's pending
// ones.
func (l *Log) Read(ctx context.Context, q Query) Trail {
	l.mu.Lock()
	all := slices.Clone(l.pending)
	trail := Trail{Dropped: l.dropped}
	l.mu.Unlock()
	entries, err := l.store.List(ctx, keyPrefix)
	trail.Partial = err != nil
	for _, e := range entries {
		records, err := decodeRecords(e)
		trail.Partial = trail.Partial || err != nil
		all = append(all, records...)
	}
	seen := map[string]bool{}
	for _, r := range all {
		if q.matches(r) && !seen[r.ID] {
			seen[r.ID] = true
			trail.Records = append(trail.Records, r)
		}
	}
	slices.SortStableFunc(trail.Records, func(a, b port.AuditRecord) int {
		return cmp.Or(b.Time.Compare(a.Time), cmp.Compare(b.ID, a.ID))
	})
	return trail
}
