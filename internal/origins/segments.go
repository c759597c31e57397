package origins

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/origin"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

// While a route has several versions, each host also writes the records of the streams that it
// began to the store, a few times a second, so that they outlive the loss of all hosts. It
// adds them to a segment, a key of its own, until that is full. A segment expires with its
// lease, once its streams have ended; a host takes a new lease, and a new segment, often
// enough. A host that follows others passes its records on to one of these, which writes those
// of many hosts together: they are in the store sooner, with fewer writes. The hosts that watch
// the store hold all records (hold.go).
//
// A record is written only after the first event of its stream, when it is final. So it doesn't
// matter in which order segments are read. Those of an earlier epoch of the store don't count.

const (
	// segmentKeyPrefix follows entryKeyPrefix.
	segmentKeyPrefix = "origins/"
	// A host makes one write in hostSegmentInterval times the number of hosts, but not more
	// often than minSegmentInterval.
	hostSegmentInterval = 6 * time.Millisecond
	minSegmentInterval  = 250 * time.Millisecond
	// passInterval is the time between two messages with records for another host to write,
	// and writesForOthersTime how long one that got any counts as a host that does.
	passInterval        = 50 * time.Millisecond
	writesForOthersTime = 10 * time.Second
	// segmentRecords is the number of records from which on a segment is full: each write
	// sends all of its records to all hosts that watch the store.
	segmentRecords = 24
	// maxSegmentRecords bounds the records of one write.
	maxSegmentRecords = 1024
)

// IsSegmentKey reports whether a key is one of a segment.
func IsSegmentKey(key string) bool {
	return strings.Contains(key, entryKeyPrefix+segmentKeyPrefix)
}

// segmentWriter writes the segments of a host. Only Registry.Run's goroutine uses it.
type segmentWriter struct {
	// lease is that of the newest segment, zero before the first one, and newLeaseAt when
	// another one is due.
	lease      port.Lease
	newLeaseAt time.Time
	// key, revision and records are those of the newest segment; key is empty if the next
	// write begins another one.
	key      string
	revision int64
	records  []origin.Record
	count    int
	// failed holds the records whose last write failed.
	failed      []origin.Record
	nextWriteAt time.Time
}

// writeSegments writes the records that the store lacks, if that is due, and returns the time
// until it is; 0 if there are none.
func (r *Registry) writeSegments(ctx context.Context) time.Duration {
	w := &r.segments
	now := r.cfg.Clock.Now()
	s := r.cfg.Snapshot()
	if s.Config == nil {
		return 0
	}
	if wait := w.nextWriteAt.Sub(now); wait > 0 {
		return wait
	}
	r.mu.Lock()
	records := r.unwritten.Take(now, maxSegmentRecords-len(w.failed), func(route string) bool { return r.hasSeveral(route, now) })
	records = append(records, r.passed...)
	r.passed = nil
	forOthers := now.Before(r.writesForOthers)
	r.mu.Unlock()
	records = append(records, w.failed...)
	if len(records) == 0 {
		return 0
	}
	for i, record := range records {
		records[i] = r.checked(record)
	}
	if r.passOn(ctx, records) {
		w.failed, w.nextWriteAt = nil, now.Add(passInterval)
		return passInterval
	}
	interval := max(minSegmentInterval, hostSegmentInterval*time.Duration(len(s.Hosts)))
	if forOthers {
		interval = minSegmentInterval
	}
	w.nextWriteAt = now.Add(interval)
	w.failed = nil
	if err := r.writeSegment(ctx, s, records, now); err != nil {
		w.failed, w.key = records[:min(len(records), maxSegmentRecords/2)], ""
		if errors.Is(err, port.ErrNotFound) {
			w.lease = port.Lease{}
		}
		r.cfg.Log.Warn("origins of streams not written to the store", slog.Int("streams", len(records)), slog.Any("error", err))
	}
	return interval
}

// storeRequest asks a host to write records to the store, with its own.
type storeRequest struct {
	Records []origin.Record `cbor:"1,keyasint"`
}

// passOn passes records to a host that this one follows, and reports whether that writes them.
func (r *Registry) passOn(ctx context.Context, records []origin.Record) bool {
	followed := r.cfg.Peers.Followed()
	if len(followed) == 0 {
		return false
	}
	payload, err := cbor.Marshal(storeRequest{records})
	if err != nil {
		r.cfg.Log.Error("origins of streams can't be encoded", slog.Any("error", err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	_, err = r.cfg.Peers.Ask(ctx, followed[0], kindStore, payload)
	return err == nil
}

// handleStore takes records of another host over. It refuses if this host follows others too,
// or has no configuration yet.
func (r *Registry) handleStore(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var request storeRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "origins of streams can't be read")
	}
	s := r.cfg.Snapshot()
	if s.Config == nil || r.cfg.Watch() == 0 {
		return nil, verdict.New(verdict.CodeNotReady, verdict.NotRun, "host does not write the origins of streams")
	}
	now := r.cfg.Clock.Now()
	expiresAt := now.Add(min(origin.LongestStream(s.Config)+recordMargin, maxLifetime))
	r.mu.Lock()
	if len(r.passed)+len(request.Records) > maxSegmentRecords {
		r.mu.Unlock()
		return nil, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "too many origins of streams to write")
	}
	r.passed = append(r.passed, request.Records...)
	r.writesForOthers = now.Add(writesForOthersTime)
	for _, record := range request.Records {
		r.records.Put(record, now, expiresAt)
	}
	r.mu.Unlock()
	r.versions.wake()
	return []byte{1}, nil
}

// writeSegment adds records to the newest segment, or writes them to another one.
func (r *Registry) writeSegment(ctx context.Context, s *facts.Snapshot, records []origin.Record, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	w := &r.segments
	if w.lease == (port.Lease{}) || now.After(w.newLeaseAt) || w.lease.Epoch != s.Position.Epoch {
		longest := min(origin.LongestStream(s.Config)+recordMargin, maxLifetime/2)
		lease, err := r.cfg.Store.GrantLease(ctx, max(2*longest, r.cfg.MinLease))
		if err != nil {
			return err
		}
		w.lease, w.newLeaseAt, w.key = lease, now.Add(longest), ""
	}
	if w.key == "" || len(w.records)+len(records) > segmentRecords {
		w.count++
		w.key = fmt.Sprintf("%s%s%s%s/%x/%d", r.cfg.RecordPrefix, entryKeyPrefix, segmentKeyPrefix, r.cfg.HostID, r.startedAt.UnixMilli(), w.count)
		w.revision, w.records = 0, nil
	}
	all := append(w.records[:len(w.records):len(w.records)], records...)
	value, err := origin.EncodeSegment(w.lease.Epoch, all)
	if err != nil {
		return errors.Wrap(err, "encode origins of streams")
	}
	revision, err := r.cfg.Store.CompareAndSwap(ctx, w.key, value, w.revision, w.lease)
	if err != nil {
		return err
	}
	w.revision, w.records = revision, all
	if r.cfg.Metrics != nil {
		r.cfg.Metrics.Counter("origins_stored_total").Inc(int64(len(records)))
	}
	return nil
}

// LearnSegments adds the records of segments that were read from the store. It ignores items
// that are none, or of an earlier epoch.
func (r *Registry) LearnSegments(items []port.KeyValue) {
	now := r.cfg.Clock.Now()
	expiresAt := now.Add(maxLifetime)
	if s := r.cfg.Snapshot(); s.Config != nil {
		expiresAt = now.Add(origin.LongestStream(s.Config) + recordMargin)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, item := range items {
		if item.Deleted || !IsSegmentKey(item.Key) {
			continue
		}
		records, epoch, err := origin.DecodeSegment(item.Value)
		if err != nil {
			r.cfg.Log.Warn("origins of streams in the store ignored: can't be decoded", slog.String("key", item.Key), slog.Any("error", err))
			continue
		}
		if epoch != item.Epoch {
			continue
		}
		for _, record := range records {
			r.records.Put(record, now, expiresAt)
		}
	}
}
