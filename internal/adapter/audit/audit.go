// Package audit keeps the audit trail: in memory at once, and in the store in
// bounded space as soon as the store answers.
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

// Bounds of the trail.
const (
	// memoryLength is the most records that wait in memory; the oldest go first.
	memoryLength = 4096
	// segments is the number of keys that the trail takes in the store. A
	// host writes to one of them, chosen by its name.
	segments = 16
	// segmentLength is the most records in one key.
	segmentLength = 1024
	// flushInterval is the least time between two writes of one host.
	flushInterval = 2 * time.Second
	// flushTimeout bounds one write.
	flushTimeout = 5 * time.Second
	// maxBackoff bounds the pause after failed writes.
	maxBackoff = time.Minute
	keyPrefix  = "audit/"
)

// Log is one host's part of the trail. Record and Read are safe for
// concurrent use; Run is called once.
type Log struct {
	store port.Store
	log   *slog.Logger
	key   string

	mu      sync.Mutex
	pending []port.AuditRecord
	dropped int
	wake    chan struct{}
}

// New returns the log of a host.
func New(host string, store port.Store, log *slog.Logger) *Log {
	segment := xxhash.Sum64String(host) % segments
	return &Log{store: store, log: log, key: fmt.Sprintf("%s%02d", keyPrefix, segment), wake: make(chan struct{}, 1)}
}

// Record adds a record. It returns at once.
func (l *Log) Record(r port.AuditRecord) {
	l.mu.Lock()
	l.pending = append(l.pending, r)
	if over := len(l.pending) - memoryLength; over > 0 {
		l.pending = slices.Delete(l.pending, 0, over)
		l.dropped += over
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run writes records to the store until ctx ends, then tries once more.
func (l *Log) Run(ctx context.Context) {
	wait := flushInterval
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
			l.flush(last)
			cancel()
			return
		case <-l.wake:
		}
		for !l.flush(ctx) && ctx.Err() == nil {
			port.Sleep(ctx, wait)
			wait = min(2*wait, maxBackoff)
		}
		wait = flushInterval
		port.Sleep(ctx, flushInterval)
	}
}

// flush writes what waits and reports whether nothing waits any more.
func (l *Log) flush(ctx context.Context) bool {
	l.mu.Lock()
	batch := slices.Clone(l.pending)
	l.mu.Unlock()
	if len(batch) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := l.write(ctx, batch); err != nil {
		l.log.Debug("audit records wait for the store", slog.Int("records", len(batch)), slog.Any("error", err))
		return false
	}
	l.forget(batch)
	return true
}

// forget drops the written records from memory; newer ones stay.
func (l *Log) forget(written []port.AuditRecord) {
	done := map[string]bool{}
	for _, r := range written {
		done[r.ID] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = slices.DeleteFunc(l.pending, func(r port.AuditRecord) bool { return done[r.ID] })
}

// write adds the batch to the host's segment. Records that are there already,
// from a write whose answer was lost, are not added again.
func (l *Log) write(ctx context.Context, batch []port.AuditRecord) error {
	entry, err := l.store.Get(ctx, l.key)
	if err != nil && !errors.Is(err, port.ErrNotFound) {
		return err
	}
	for {
		records, err := decode(entry)
		if err != nil {
			l.log.Error("audit segment cannot be read and starts anew", slog.String("key", l.key), slog.Any("error", err))
		}
		data, err := json.Marshal(merge(records, batch))
		if err != nil {
			return errors.Wrap(err, "encode audit records")
		}
		entry, err = l.store.CompareAndSwap(ctx, l.key, entry.Revision, data, 0)
		if !errors.Is(err, port.ErrConflict) {
			return err
		}
	}
}

func decode(e port.Entry) ([]port.AuditRecord, error) {
	if e.Revision == 0 {
		return nil, nil
	}
	var out []port.AuditRecord
	if err := json.Unmarshal(e.Value, &out); err != nil {
		return nil, errors.Wrap(err, "decode audit records")
	}
	return out, nil
}

// merge returns the union by id, oldest first, cut to the newest segmentLength.
func merge(have, add []port.AuditRecord) []port.AuditRecord {
	seen := map[string]bool{}
	var out []port.AuditRecord
	for _, r := range slices.Concat(have, add) {
		if !seen[r.ID] {
			seen[r.ID] = true
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b port.AuditRecord) int { return a.Time.Compare(b.Time) })
	return out[max(0, len(out)-segmentLength):]
}

// Query chooses records; zero fields choose all.
type Query struct {
	Kind    port.AuditKind
	Subject string
	Since   time.Time
}

func (q Query) matches(r port.AuditRecord) bool {
	return (q.Kind == "" || q.Kind == r.Kind) && (q.Subject == "" || q.Subject == r.Subject) && !r.Time.Before(q.Since)
}

// Trail is the answer to a query.
type Trail struct {
	// Records are the newest first.
	Records []port.AuditRecord `json:"records"`
	// Partial says that the store did not answer: only this host's records
	// that wait for it are shown.
	Partial bool `json:"partial"`
	// Dropped is the number of records of this host that were lost because
	// the store was away for too long.
	Dropped int `json:"dropped"`
}

// Read returns the records of all hosts that match.
func (l *Log) Read(ctx context.Context, q Query) Trail {
	l.mu.Lock()
	all := slices.Clone(l.pending)
	trail := Trail{Dropped: l.dropped}
	l.mu.Unlock()
	entries, err := l.store.List(ctx, keyPrefix)
	trail.Partial = err != nil
	for _, e := range entries {
		records, err := decode(e)
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
