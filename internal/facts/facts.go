// Package facts replicates the configuration, endpoints and hosts from the store
// and publishes them as immutable snapshots.
//
// One goroutine owns the state. The goroutine that watches the store, and the one
// that fetches the state of other hosts while the store is unavailable, send it
// updates. The state's position in the store's history never decreases while the
// process runs. A store that was restored from an older copy starts a new epoch; see
// restore.go for what is kept then.
//
// An endpoint or host whose entry is missing after an outage of the store is kept
// for reregistrationTime, because entries expire during an outage and are
// registered again after it.
package facts

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// watchWait is how long a watch of the store waits for a change. A store that
	// stops responding goes unnoticed for up to watchWait + callTimeout.
	watchWait = 2 * time.Second
	// While there are many changes, a host makes one watch in fleetWatchInterval times the
	// number of hosts, within minWatchInterval and maxWatchInterval, so that the calls of
	// all hosts together grow with neither the hosts nor the changes: each watch returns
	// all changes since the last. watchBurst is the number of watches that may follow each
	// other at once after a time with few changes.
	fleetWatchInterval = 10 * time.Millisecond
	minWatchInterval   = 200 * time.Millisecond
	maxWatchInterval   = time.Second
	watchBurst         = 5
	// callTimeout bounds a store call beyond the time that it is asked to wait.
	callTimeout = time.Second
	// maxReadTimeout bounds a complete read after others whose responses began and did not
	// end within callTimeout, as of a store that many hosts read at the same time.
	maxReadTimeout = 4 * callTimeout
	// minRetryDelay and maxRetryDelay bound the delay after a failed store call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// reregistrationTime is the time after an outage of the store within which
	// endpoints and hosts register again whose entries expired in it.
	reregistrationTime = 2200 * time.Millisecond
	// minExpiryOutage is the shortest outage of the store in which entries can
	// expire: an entry outlives two missed heartbeats of its endpoint or host.
	minExpiryOutage = 2 * time.Second
	// staleAfter is the time since the last confirmation after which a snapshot may
	// lack a configuration that is in force: the time of one watch and its response.
	staleAfter = watchWait + callTimeout
	// peerFetchDelay is how long the store must be unavailable before state is
	// fetched from other hosts.
	peerFetchDelay = 500 * time.Millisecond
	// allKeys is the empty prefix, which all keys have.
	allKeys = ""
	// peerFetchInterval is the time between two fetches from other hosts.
	peerFetchInterval = 300 * time.Millisecond
)

// Host is the store entry of a host.
type Host struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// StartedUnixMs is when the host's process started, in Unix milliseconds.
	StartedUnixMs int64 `json:"started"`
	// Leaving is set once the host shuts down and takes over no more work.
	Leaving bool `json:"leaving,omitempty"`
	// CoordinatorSinceUnixMs is when the host became the coordinator of a group of
	// stage endpoints, in Unix milliseconds; 0 if it coordinates none.
	// CoordinatedGroup is the name of the group.
	CoordinatorSinceUnixMs int64  `json:"keeper_since,omitempty"`
	CoordinatedGroup       string `json:"keeper_of,omitempty"`
	// Cores is the processor time that the host may use, in cores, and LinkMbps the
	// bandwidth of its link; 0 if unknown.
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// Snapshot is the replicated state at one moment. It is immutable.
type Snapshot struct {
	// Config is nil until a configuration is known.
	Config *catalog.Config
	// Usable holds the endpoints that may get new work, by service name: those that
	// are not draining and not in an evacuated zone.
	Usable map[string][]*catalog.Endpoint
	// Registrations holds the registrations of all endpoints of late, usable or not.
	Registrations catalog.Registrations
	// Incarnations holds the incarnations of all known endpoints, usable or not.
	Incarnations map[catalog.Incarnation]bool
	// EvacuatedZones holds the zones that the operator has evacuated: their
	// endpoints get no new work.
	EvacuatedZones map[string]bool
	// Hosts holds the registered hosts by id.
	Hosts map[string]Host
	// CrashEntries holds the values of the entries of what in requests crashes
	// endpoints, by name.
	CrashEntries map[string]string
	// VersionEntries holds the values of the entries of software versions at which streams
	// may have begun, by name.
	VersionEntries map[string]string
	// RolloutOrders and RolloutStatuses hold the orders for roll-outs and their statuses by
	// the name of the service.
	RolloutOrders, RolloutStatuses map[string]port.KeyValue
	// ConfirmedAt is when the store last confirmed, to this host or to the one whose
	// state this host fetched, that this state was the newest. It is zero until a
	// state is known.
	ConfirmedAt time.Time
	// Position is the store's position of this state; zero until a state is known.
	Position port.StorePosition
}

// Stale reports whether the last confirmation is so old that a newer
// configuration may be in force.
func (s *Snapshot) Stale(now time.Time) bool { return now.Sub(s.ConfirmedAt) > staleAfter }

// Observer is notified of changes. Its methods are called on the goroutine that
// owns the state and must not block.
type Observer interface {
	// EndpointUpdated is called for each new or changed endpoint entry. service is
	// nil if it is unknown. afterFirstRead is false for the entries of the first
	// complete read, from the store or another host, whose endpoints may have started
	// long before.
	EndpointUpdated(e *catalog.Endpoint, service *catalog.Service, afterFirstRead bool)
	// EndpointTurnedCold is called for each endpoint of a zone whose evacuation ends,
	// because the endpoint may have turned cold. service is nil if it is unknown.
	EndpointTurnedCold(e *catalog.Endpoint, service *catalog.Service)
	// SnapshotPublished is called with each new snapshot.
	SnapshotPublished(s *Snapshot)
	// StoreRestored is called when the state first contains data of a new epoch of the
	// store, other than the first.
	StoreRestored()
}

// PeerFetcher fetches the state of another host. It returns an error if it gets
// none before ctx ends.
type PeerFetcher func(ctx context.Context) (*Dump, error)

// Dump is the state of one host for another: all items as of Revision, the store's
// revision in Epoch.
type Dump struct {
	Items    []port.KeyValue `cbor:"1,keyasint"`
	Revision int64           `cbor:"2,keyasint"`
	// Age is the time from the store's last confirmation of the items to this dump.
	Age   time.Duration `cbor:"3,keyasint"`
	Epoch int64         `cbor:"4,keyasint,omitempty"`
}

// Config holds the dependencies of a Replica.
type Config struct {
	Store    port.WatchableStore
	Decoder  port.StoreDecoder
	Observer Observer
	Clock    port.Clock
	Log      *slog.Logger
	// CrashEntryName returns the name of an entry of what in requests crashes endpoints,
	// and reports whether the key is one of such an entry. It may be nil.
	CrashEntryName func(key string) (name string, ok bool)
	// VersionEntryName is the same for entries of software versions.
	VersionEntryName func(key string) (name string, ok bool)
	// RolloutOrderName and RolloutStatusName are the same for the orders for roll-outs and
	// their statuses.
	RolloutOrderName, RolloutStatusName func(key string) (name string, ok bool)
	// IsRecord reports whether the items of a key are not part of the state. Those that change
	// while this host watches the store, or are read, are passed to OnRecords, on the goroutine
	// that owns the state, and not to other hosts. Both may be nil.
	IsRecord  func(key string) bool
	OnRecords func(items []port.KeyValue)
	// StatePrefixes are the prefixes of the keys of which a complete read consists, without
	// those of records; nil stands for all keys.
	StatePrefixes []string
	// FetchFromPeer may be nil; then no state is fetched from other hosts.
	FetchFromPeer PeerFetcher
	// Peers may be nil; then this host watches the store itself at all times.
	Peers Peers
}

// Replica follows the store and publishes snapshots. Run is called once; the
// other exported methods may be called concurrently.
type Replica struct {
	cfg         Config
	current     atomic.Pointer[Snapshot]
	updates     chan update
	dumps       chan chan *Dump
	storeStatus *storeStatus
	state       *state
	changelog   *changelog
	// watchesStore is set while this host watches the store itself, and watch is the number
	// of its uninterrupted watch.
	watchesStore atomic.Bool
	watch        atomic.Int64
}

// update holds all items of the store, or those that changed since the last
// update.
type update struct {
	items []port.KeyValue
	// position is the store's position that the update leads to.
	position port.StorePosition
	// complete is set if items holds all items.
	complete bool
	// afterOutage is set if this complete read follows an outage of the store in
	// which entries may have expired.
	afterOutage bool
	// age is the time since the store confirmed the position to the host that the items
	// come from; 0 if they come from the store.
	age time.Duration
	// done is closed once the update is applied.
	done chan struct{}
}

// New returns a Replica. Its snapshot is empty until Run has read the store or
// fetched the state of another host.
func New(cfg Config) *Replica {
	r := &Replica{cfg: cfg, updates: make(chan update), dumps: make(chan chan *Dump),
		storeStatus: &storeStatus{clock: cfg.Clock, log: cfg.Log}, state: newState(), changelog: newChangelog(cfg.Clock)}
	r.current.Store(&Snapshot{})
	r.watchesStore.Store(true)
	return r
}

// Current returns the newest snapshot. It is never nil.
func (r *Replica) Current() *Snapshot { return r.current.Load() }

// StoreAvailable reports whether the store responded to the last call; true before
// the first one.
func (r *Replica) StoreAvailable() bool { return !r.storeStatus.unavailable() }

// Watch returns the number of this host's uninterrupted watch of the store, which has passed
// all records on that were written since it began: another one after each gap, and 0 while
// this host does not watch the store.
func (r *Replica) Watch() int64 {
	if !r.watchesStore.Load() {
		return 0
	}
	return r.watch.Load()
}

// Run follows the store and returns when ctx ends.
func (r *Replica) Run(ctx context.Context) {
	go r.followStore(ctx)
	if r.cfg.FetchFromPeer != nil {
		go r.fetchFromPeers(ctx)
	}
	r.controlLoop(ctx)
}

// controlLoop owns the state: it applies updates, sends dumps to the callers of
// Dump and applies what has expired until ctx ends.
func (r *Replica) controlLoop(ctx context.Context) {
	sweep := time.NewTicker(reregistrationTime / 8)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-r.updates:
			r.apply(u)
			close(u.done)
		case reply := <-r.dumps:
			reply <- r.state.dump(r.cfg.Clock.Now())
		case <-sweep.C:
			if r.state.applyExpired(r.cfg, r.cfg.Clock.Now()) {
				r.publish()
			}
		}
	}
}

// Dump returns the state for another host, or nil if ctx ends first.
func (r *Replica) Dump(ctx context.Context) *Dump {
	reply := make(chan *Dump, 1)
	select {
	case r.dumps <- reply:
		return <-reply
	case <-ctx.Done():
		return nil
	}
}

// watchInterval returns the time between two watches of one of the given number of
// hosts while there are many changes.
func watchInterval(hosts int) time.Duration {
	return min(maxWatchInterval, max(minWatchInterval, time.Duration(hosts)*fleetWatchInterval))
}

// readOrWatch makes one store call: a complete read if the position is zero, bounded by
// readTimeout, else a watch for changes after it. It returns the items read or changed, the
// position to continue from, and whether the read was complete.
func (r *Replica) readOrWatch(ctx context.Context, after port.StorePosition, readTimeout time.Duration) ([]port.KeyValue, port.StorePosition, bool, error) {
	if after == (port.StorePosition{}) {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		items, next, err := r.readAll(readCtx)
		return items, next, true, err
	}
	callCtx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	items, next, err := r.cfg.Store.Watch(callCtx, allKeys, after, watchWait)
	if next.Before(after) {
		next = after
	}
	return items, next, false, err
}

// readAll returns the items of the state and the position from which a watch misses no change
// of them: that of the first call.
func (r *Replica) readAll(ctx context.Context) ([]port.KeyValue, port.StorePosition, error) {
	prefixes := r.cfg.StatePrefixes
	if prefixes == nil {
		prefixes = []string{allKeys}
	}
	var all []port.KeyValue
	var first port.StorePosition
	for i, prefix := range prefixes {
		items, position, err := r.cfg.Store.Range(ctx, prefix)
		if err != nil {
			return nil, port.StorePosition{}, err
		}
		if i == 0 {
			first = position
		}
		if position.Epoch != first.Epoch {
			return nil, port.StorePosition{}, errors.Wrap(port.ErrUnavailable, "store was restored while its keys were read")
		}
		all = append(all, items...)
	}
	return all, first, nil
}

// sendUpdate passes an update to controlLoop and waits until it is applied, or
// until ctx ends.
func (r *Replica) sendUpdate(ctx context.Context, u update) {
	u.done = make(chan struct{})
	select {
	case r.updates <- u:
		<-u.done
	case <-ctx.Done():
	}
}

// fetchFromPeers fetches the state of other hosts while the store is unavailable,
// until ctx ends.
func (r *Replica) fetchFromPeers(ctx context.Context) {
	for ctx.Err() == nil {
		port.Sleep(ctx, peerFetchInterval)
		if r.storeStatus.unavailableFor() < peerFetchDelay {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		d, err := r.cfg.FetchFromPeer(callCtx)
		cancel()
		if err != nil || d == nil {
			continue
		}
		r.sendUpdate(ctx, update{items: d.Items, position: port.StorePosition{Epoch: d.Epoch, Revision: d.Revision}, complete: true, age: d.Age})
	}
}

// apply applies an update and publishes the new snapshot. Only controlLoop's
// goroutine calls apply and publish.
func (r *Replica) apply(u update) {
	now := r.cfg.Clock.Now()
	changes, continuous := r.state.apply(r.cfg, u, now)
	r.publish()
	r.changelog.add(changes, r.state.position, r.state.confirmedAt, continuous)
}

func (r *Replica) publish() {
	s := r.state.snapshot()
	old := r.current.Swap(s)
	if s.Config != old.Config && s.Config != nil {
		r.cfg.Log.Info("configuration in force", slog.Int64("version", s.Config.Version), slog.Int64("revision", s.Position.Revision))
	}
	r.cfg.Observer.SnapshotPublished(s)
}
