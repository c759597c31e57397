package facts

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/pimentorill/pimentorill/internal/port"
)

// A host follows the store in one of two ways. It watches the store itself, or it asks
// another host that does (Followed) for what has changed. Positions are the store's in
// both, so that a host may change the way after each response, and a position never
// decreases. It watches the store itself
//
//   - for the first read, and whenever no other host remembers what it lacks,
//   - for avoidTime after one of the hosts that it is to follow has been silent,
//   - while none of these can tell.
//
// If these hosts say that the store is away, it makes one call itself. If that fails too,
// it asks them every awayInterval whether the store is back, and the store only every
// awayProbeInterval.

const (
	// followWait is how long a followed host may wait for a change, and followTimeout
	// bounds its response beyond that.
	followWait    = time.Second
	followTimeout = 600 * time.Millisecond
	// avoidTime is how long a host is not asked again that could not tell, and silentTime
	// one that did not respond.
	avoidTime  = 2 * time.Second
	silentTime = 5 * time.Second
	// awayInterval is the time between two questions to other hosts whether the store is
	// back, and awayProbeInterval the least time between two own calls meanwhile.
	awayInterval      = 400 * time.Millisecond
	awayProbeInterval = 3 * time.Second
	// joinTime is how long after its start a host waits for its connection to the others
	// before it watches the store itself, and joinInterval the time between two attempts.
	joinTime     = 3 * time.Second
	joinInterval = 100 * time.Millisecond
	// returnSpread is the time over which hosts read the store after it is back.
	returnSpread = 300 * time.Millisecond
)

// ErrNotConnected is the error of Peers.Changes while this host can't send requests to any
// other one.
var ErrNotConnected = errors.New("not connected to the other hosts yet")

// Peers are the other hosts as a Replica uses them.
type Peers interface {
	// Followed returns the hosts from which this one is to learn what changes in the
	// store, in order of preference; none if it is to watch the store itself.
	Followed() []string
	// Changes calls Replica.Changes on another host. It returns an error if there is no
	// response before ctx ends, ErrNotConnected if the request can't be sent to any host.
	Changes(ctx context.Context, host string, after port.StorePosition, wait time.Duration) (*Changes, error)
}

// follower is the state of followStore.
type follower struct {
	*Replica
	// position is the newest one; zero if all keys have to be read.
	position port.StorePosition
	// avoided holds until when hosts are not asked, and alone until when none is.
	avoided    map[string]time.Time
	alone      time.Time
	startedAt  time.Time
	retryDelay time.Duration
	// readTimeout bounds the next complete read.
	readTimeout time.Duration
	watches     *rate.Limiter
}

// followStore follows the store until ctx ends.
func (r *Replica) followStore(ctx context.Context) {
	f := &follower{Replica: r, avoided: make(map[string]time.Time), startedAt: r.cfg.Clock.Now(), retryDelay: minRetryDelay, readTimeout: callTimeout, watches: rate.NewLimiter(rate.Every(minWatchInterval), watchBurst)}
	for ctx.Err() == nil {
		followed := f.followed()
		f.setWatchesStore(len(followed) == 0)
		if len(followed) > 0 && f.position != (port.StorePosition{}) {
			f.askHost(ctx, followed[0])
		} else {
			f.callStore(ctx)
		}
	}
}

// followed returns the hosts to follow that are not avoided.
func (f *follower) followed() []string {
	if f.cfg.Peers == nil {
		return nil
	}
	now := f.cfg.Clock.Now()
	if now.Before(f.alone) {
		return nil
	}
	var hosts []string
	for _, host := range f.cfg.Peers.Followed() {
		if now.After(f.avoided[host]) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// setWatchesStore records whether this host watches the store itself.
func (f *follower) setWatchesStore(watches bool) {
	if f.watchesStore.Load() == watches {
		return
	}
	f.watch.Add(1)
	f.watchesStore.Store(watches)
	f.cfg.Log.Info("way to follow the store changed", slog.Bool("watches_store", watches))
	f.changelog.wake()
}

// askHost asks a host for changes. It avoids the host for a time if that could not tell.
func (f *follower) askHost(ctx context.Context, host string) {
	askedAt := f.cfg.Clock.Now()
	c, err := f.changesOf(ctx, host, f.position, followWait)
	switch {
	case ctx.Err() != nil:
	case err == nil && c.Status == ChangesOK && !c.Position().Before(f.position):
		f.storeStatus.recordResponse()
		transit := max(0, f.cfg.Clock.Now().Sub(askedAt)-c.Waited)
		f.sendUpdate(ctx, update{items: c.Items, position: c.Position(), age: c.Age + transit})
		f.position = c.Position()
	case err == nil && c.Status == ChangesCompacted && !c.Position().Before(f.position):
		f.cfg.Log.Info("changes not remembered by another host, reading all keys", slog.String("host", host), slog.Int64("after", f.position.Revision), slog.Int64("epoch", f.position.Epoch))
		f.position = port.StorePosition{}
		port.Sleep(ctx, rand.N(returnSpread))
	case errors.Is(err, ErrNotConnected) && f.cfg.Clock.Now().Sub(f.startedAt) < joinTime:
		port.Sleep(ctx, joinInterval)
	case err != nil:
		f.cfg.Log.Info("followed host does not answer", slog.String("host", host), slog.Any("error", err))
		now := f.cfg.Clock.Now()
		f.avoided[host], f.alone = now.Add(silentTime), now.Add(avoidTime)
	default:
		f.avoided[host] = f.cfg.Clock.Now().Add(avoidTime)
	}
}

func (f *follower) changesOf(ctx context.Context, host string, after port.StorePosition, wait time.Duration) (*Changes, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+followTimeout)
	defer cancel()
	return f.cfg.Peers.Changes(callCtx, host, after, wait)
}

// callStore makes one call of the store: a complete read if the position is zero, else a
// watch for changes after it. One watch covers all keys, because each pending watch call
// has a cost. After a failure it waits until the next call may succeed.
func (f *follower) callStore(ctx context.Context) {
	f.watches.SetLimit(rate.Every(watchInterval(len(f.Current().Hosts))))
	f.watches.SetBurst(watchBurst)
	if f.cfg.Peers != nil && len(f.cfg.Peers.Followed()) > 0 {
		// Many hosts are in this case at the same time, for example after a start.
		f.watches.SetBurst(1)
	}
	if f.watches.Wait(ctx) != nil {
		return
	}
	items, next, complete, err := f.readOrWatch(ctx, f.position, f.readTimeout)
	switch {
	case ctx.Err() != nil:
	case err == nil:
		f.retryDelay, f.readTimeout = minRetryDelay, callTimeout
		afterOutage := f.storeStatus.recordResponse()
		if complete {
			f.watch.Add(1)
		}
		f.sendUpdate(ctx, update{items: items, position: next, complete: complete, afterOutage: afterOutage})
		f.position = next
	case isCompacted(err):
		f.cfg.Log.Info("store history not available, reading all keys", slog.Int64("after", f.position.Revision), slog.Int64("epoch", f.position.Epoch), slog.Any("error", err))
		f.position = port.StorePosition{}
	default:
		if complete && errors.Is(err, port.ErrUnfinished) {
			f.readTimeout = min(maxReadTimeout, 2*f.readTimeout)
		}
		f.storeStatus.recordFailure(err)
		f.changelog.wake()
		f.awaitStore(ctx)
	}
}

// awaitStore waits after a failed call: until a host that this one is to follow says that
// the store is back, if there are such hosts, else for a delay that grows.
func (f *follower) awaitStore(ctx context.Context) {
	if f.cfg.Peers == nil || len(f.cfg.Peers.Followed()) == 0 {
		f.position = port.StorePosition{} // entries may have expired meanwhile
		port.Sleep(ctx, f.retryDelay)
		f.retryDelay = min(maxRetryDelay, 2*f.retryDelay)
		return
	}
	probeAt := f.cfg.Clock.Now().Add(awayProbeInterval + rand.N(awayProbeInterval))
	for round := 0; ctx.Err() == nil && f.cfg.Clock.Now().Before(probeAt); round++ {
		port.Sleep(ctx, awayInterval)
		hosts := f.cfg.Peers.Followed()
		if len(hosts) == 0 {
			break
		}
		host := hosts[round%len(hosts)]
		c, err := f.changesOf(ctx, host, f.position, 0)
		if err == nil && (c.Status == ChangesOK || c.Status == ChangesCompacted) {
			clear(f.avoided)
			f.alone = time.Time{}
			return
		}
	}
	f.position = port.StorePosition{}
}
