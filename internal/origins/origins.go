// Package origins tells the hosts at which software version a stream began, so that any
// of them can resume it there when a caller takes it up: the host that began it is
// often gone by then.
//
// A host records a stream with two others, selected by rendezvous hashing of the id of
// the caller's attempt, unless all streams of the route can only have begun at one
// version. The record is sent when the attempt starts and is acknowledged, in most cases
// long, before the first event, which waits for it. Whoever resumes the stream asks the
// hosts that come first in the same order. When another version is registered, a host
// makes up for the records of the streams that it began before. A stream whose origin
// nobody knows is not resumed: the origin is never guessed.
//
// What has to outlive the loss of all hosts is in the platform's store: the versions at which
// streams may have begun (versions.go), and, while a route has several, the records of the
// streams that began (segments.go).
package origins

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/membership"
	"github.com/pimentorill/pimentorill/internal/core/origin"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Kinds of requests between hosts.
const (
	// kindPut carries a putRequest.
	kindPut = "origin.put"
	// kindGet carries a getRequest; the response is a getResponse.
	kindGet = "origin.get"
	// kindStore carries a storeRequest.
	kindStore = "origin.store"
)

const (
	// replicas is the number of other hosts that hold a record.
	replicas = 2
	// askedHosts is the number of hosts that are asked for a record: more than replicas,
	// since some may have been out of reach or unknown when it was made.
	askedHosts = 5
	// putTimeout bounds a request to hold a record.
	putTimeout = 400 * time.Millisecond
	// ackWait bounds how long the first event waits until another host holds the record.
	ackWait = 100 * time.Millisecond
	// getTimeout bounds the search for a record.
	getTimeout = 250 * time.Millisecond
	// recordMargin is how long a record is held after its stream's deadline.
	recordMargin = 10 * time.Second
	// maxUnsent bounds the records that a host keeps to send them once a route has another
	// version.
	maxUnsent = 4096
	// maxLifetime bounds how long a record is held.
	maxLifetime = 10 * time.Minute
	// maxSoleAge bounds the age of the facts by which a host that can't reach the store
	// still says that a route has a single version. Hosts that can reach it record
	// all streams for longer after another version is registered.
	maxSoleAge = 4 * time.Minute
)

// Peers connects to the other hosts. Implementations are safe for concurrent use.
type Peers interface {
	// Others returns the ids of the other known hosts that respond.
	Others() []string
	// Ask sends a request to another host and returns its response. The error is a
	// *verdict.Error.
	Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error)
	// Followed returns the other hosts from which this one learns what changes in the store;
	// none if it watches the store itself.
	Followed() []string
	// Handle sets the handler for requests of a kind. New calls it.
	Handle(kind string, fn port.RequestHandler)
}

// Config holds the dependencies of a Registry.
type Config struct {
	Peers Peers
	// HostID is the id of this host.
	HostID string
	// Store holds the entries of versions, under KeyPrefix, the prefix of pimentorill's own
	// keys that all hosts know, and the records of streams, under RecordPrefix. MinLease is the
	// shortest lease TTL that it grants.
	Store        port.WatchableStore
	KeyPrefix    string
	RecordPrefix string
	MinLease     time.Duration
	// Watch returns the number of this host's uninterrupted watch of the store, 0 if it
	// doesn't watch it.
	Watch func() int64
	// StoreAvailable reports whether the store responded to the last call.
	StoreAvailable func() bool
	// Snapshot returns the newest snapshot, never nil.
	Snapshot func() *facts.Snapshot
	// StartedFirst reports, by the first snapshot with a configuration, whether the whole
	// system starts for the first time.
	StartedFirst func(s *facts.Snapshot) bool
	Clock        port.Clock
	Log          *slog.Logger
	// Metrics may be nil; then no metrics are recorded.
	Metrics tally.Scope
}

// Registry holds what this host knows of the origins of streams. It is safe for
// concurrent use.
type Registry struct {
	cfg       Config
	startedAt time.Time
	versions  *versions
	// versionReads and segmentReads are those of searches.
	versionReads sharedReads[storedVersionsAt]
	segmentReads sharedReads[struct{}]
	// searchedAt is when a search last read the segments; only segmentReads uses it.
	searchedAt time.Time
	// heldSince is the number of the watch during which this host has read all segments.
	heldSince atomic.Int64
	// segments is used by Run only.
	segments segmentWriter

	mu sync.Mutex
	// history is nil until the first snapshot with a configuration.
	history *origin.History
	// observed is the position of the newest snapshot in the history.
	observed port.StorePosition
	records  *origin.Records
	// unsent holds the records, by route, of streams that began while nobody else needed
	// to know.
	unsent map[string][]unsentRecord
	// unwritten holds the streams that this host began.
	unwritten origin.Unwritten
	// passed holds the records of other hosts that this one is to write, and writesForOthers
	// is until when it counts as one that does.
	passed          []origin.Record
	writesForOthers time.Time
}

type unsentRecord struct {
	origin.Record
	expiresAt time.Time
}

// New returns an empty Registry and registers its handlers for requests of other
// hosts.
func New(cfg Config) *Registry {
	r := &Registry{cfg: cfg, startedAt: cfg.Clock.Now(), versions: newVersions(), records: origin.NewRecords(), unsent: make(map[string][]unsentRecord)}
	cfg.Peers.Handle(kindPut, r.handlePut)
	cfg.Peers.Handle(kindGet, r.handleGet)
	cfg.Peers.Handle(kindStore, r.handleStore)
	return r
}

// putRequest asks a host to hold a record for some time.
type putRequest struct {
	Record   origin.Record `cbor:"1,keyasint"`
	Lifetime time.Duration `cbor:"2,keyasint"`
}

// Observe adds what a snapshot says to the history. It sends the records of a route that
// now has another version.
func (r *Registry) Observe(s *facts.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	if s.Config == nil {
		return
	}
	first := r.history == nil && r.cfg.StartedFirst(s)
	if r.history == nil {
		stored := decodeVersions(s.VersionEntries, s.Position.Epoch)
		r.history = origin.NewHistory(now, origin.Beginning{None: first, Versions: stored.versions, Complete: stored.complete})
	}
	r.history.Observe(now, s.Config, s.Registrations)
	r.observed = s.Position
	r.versions.observe(s, now, first)
	for route, records := range r.unsent {
		records = slices.DeleteFunc(records, func(u unsentRecord) bool { return now.After(u.expiresAt) })
		r.unsent[route] = records
		if _, sole := r.history.Sole(route, now); !sole || len(records) == 0 {
			delete(r.unsent, route)
			go r.sendAll(records, now)
		}
	}
}

// sendAll sends records to the hosts that hold them.
func (r *Registry) sendAll(records []unsentRecord, now time.Time) {
	for _, u := range records {
		r.replicate(r.checked(u.Record), u.expiresAt.Sub(now), 1)
	}
}

// sole returns the origin of all streams of a route that may still go on, if there is
// only one according to facts that the store confirmed at most maxAge ago.
func (r *Registry) sole(route string, maxAge time.Duration) (origin.Origin, bool) {
	now := r.cfg.Clock.Now()
	s := r.cfg.Snapshot()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.history == nil || now.Sub(s.ConfirmedAt) > maxAge || now.Round(0).Sub(s.ConfirmedAt.Round(0)) > maxAge {
		return origin.Origin{}, false
	}
	return r.history.Sole(route, now)
}

// freshSole is sole by facts that are not stale.
func (r *Registry) freshSole(route string) (origin.Origin, bool) {
	if r.cfg.Snapshot().Stale(r.cfg.Clock.Now()) {
		return origin.Origin{}, false
	}
	return r.sole(route, maxSoleAge)
}

// MayBegin returns those of a service's endpoints at which a stream may begin: all whose
// versions have an entry in the store, or all if none has.
func (r *Registry) MayBegin(endpoints []*catalog.Endpoint) []*catalog.Endpoint {
	return r.versions.withEntries(endpoints)
}

// Run writes what the store has to know, and holds what this host is to know of it, until
// ctx ends. It must be called once.
func (r *Registry) Run(ctx context.Context) {
	var holding sync.WaitGroup
	holding.Go(func() { r.holdSegments(ctx) })
	defer holding.Wait()
	cleanUp := time.NewTicker(cleanUpInterval)
	defer cleanUp.Stop()
	for ctx.Err() == nil {
		wait := cmp.Or(r.writeEntries(ctx), cleanUpInterval)
		wait = min(wait, cmp.Or(r.writeSegments(ctx), cleanUpInterval))
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-r.versions.changed:
		case <-timer.C:
		case <-cleanUp.C:
			r.removeOldEntries(ctx)
		}
		timer.Stop()
	}
}

// Announcement is a record on its way to other hosts.
type Announcement struct {
	registry *Registry
	record   origin.Record
	// held is closed once as many other hosts as necessary hold the record.
	held chan struct{}
}

// Announce records the origin of the stream that an attempt may begin, with other hosts
// unless they need not know; then it returns nil. sequence orders the announcements of
// one attempt, and remaining is the time until the stream's deadline.
func (r *Registry) Announce(route, attempt string, sequence int, o origin.Origin, remaining time.Duration) *Announcement {
	record := origin.Record{Attempt: attempt, Origin: o, Sequence: sequence}
	lifetime := remaining + recordMargin
	r.put(record, lifetime)
	if sole, ok := r.freshSole(route); ok && sole.Service == o.Service && sole.SoftwareVersion == o.SoftwareVersion {
		r.keepUnsent(route, record, lifetime)
		return nil
	}
	r.count("origins_recorded_total")
	if sequence > 1 {
		// Each of the hosts may hold the origin of an attempt that brought no event.
		return r.replicate(record, lifetime, replicas)
	}
	return r.replicate(record, lifetime, 1)
}

// keepUnsent keeps a record until the route has another version, or its stream has ended.
func (r *Registry) keepUnsent(route string, record origin.Record, lifetime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unsent[route]) < maxUnsent {
		r.unsent[route] = append(r.unsent[route], unsentRecord{record, r.cfg.Clock.Now().Add(lifetime)})
	}
}

// replicate sends a record to the hosts that hold it. Announcement.Wait waits until the
// given number of them have it.
func (r *Registry) replicate(record origin.Record, lifetime time.Duration, needed int) *Announcement {
	a := &Announcement{registry: r, record: record, held: make(chan struct{})}
	payload, err := cbor.Marshal(putRequest{record, lifetime})
	if err != nil {
		r.cfg.Log.Error("origin of a stream can't be encoded", slog.Any("error", err))
		return a
	}
	hosts := membership.SelectByRendezvous(r.holders(), record.Attempt, replicas)
	if len(hosts) == 0 {
		close(a.held) // nobody to wait for
		r.count("origins_not_replicated_total")
		return a
	}
	var missing atomic.Int64
	missing.Store(int64(min(needed, len(hosts))))
	for _, host := range hosts {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
			defer cancel()
			if _, err := r.cfg.Peers.Ask(ctx, host, kindPut, payload); err == nil && missing.Add(-1) == 0 {
				close(a.held)
			}
		}()
	}
	return a
}

// holders returns the ids of the other hosts that respond and are not shutting down.
func (r *Registry) holders() []string {
	hosts := r.cfg.Snapshot().Hosts
	return slices.DeleteFunc(r.cfg.Peers.Others(), func(id string) bool { return hosts[id].Leaving })
}

// Wait waits until another host holds the record, for ackWait at most. Without one the
// stream can be resumed only by this host. a may be nil.
func (a *Announcement) Wait(ctx context.Context) {
	if a == nil {
		return
	}
	timeout := time.NewTimer(ackWait)
	defer timeout.Stop()
	select {
	case <-a.held:
	case <-ctx.Done():
	case <-timeout.C:
		a.registry.count("origins_not_replicated_total")
		a.registry.cfg.Log.Warn("origin of a stream is with no other host", slog.String("request", a.record.Attempt), slog.String("software_version", a.record.Origin.SoftwareVersion))
	}
}

// Begun records in the store that an attempt began a stream of a route, or took it up, if the
// route has several versions or once it has. It returns at once. remaining is the time until
// the stream's deadline.
func (r *Registry) Begun(route string, record origin.Record, remaining time.Duration) {
	if !record.Origin.Known() {
		return
	}
	r.mu.Lock()
	now := r.cfg.Clock.Now()
	r.unwritten.Add(route, record, now.Add(remaining+recordMargin))
	several := r.hasSeveral(route, now)
	r.mu.Unlock()
	if several {
		r.versions.wake()
	}
}

// hasSeveral reports whether streams of a route may have begun at several versions. r.mu must
// be held.
func (r *Registry) hasSeveral(route string, now time.Time) bool {
	if r.history == nil {
		return true
	}
	_, sole := r.history.Sole(route, now)
	return !sole
}

func (r *Registry) put(record origin.Record, lifetime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	r.records.Put(record, now, now.Add(lifetime))
}

func (r *Registry) handlePut(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var request putRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "origin of a stream can't be read")
	}
	r.put(request.Record, min(request.Lifetime, maxLifetime))
	return []byte{1}, nil
}

func (r *Registry) count(name string) {
	if r.cfg.Metrics != nil {
		r.cfg.Metrics.Counter(name).Inc(1)
	}
}
