package testbed

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentorill/pimentorill/internal/adapter/engine"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/daemon"
	"github.com/pimentorill/pimentorill/internal/port"
)

// crashSwitch makes one host fail like a crashed process: after crash, the host
// reaches neither the store nor an endpoint, and its sockets are closed. It also
// applies the partitions of the host's zone.
type crashSwitch struct {
	crashed atomic.Bool
	network *network
	zone    string

	mu        sync.Mutex
	conns     map[net.Conn]bool // all accepted ones, also closed ones
	listeners []net.Listener
}

func newCrashSwitch(n *network, zone string) *crashSwitch {
	return &crashSwitch{network: n, zone: zone, conns: map[net.Conn]bool{}}
}

// storeLost reports whether the host cannot reach the store, because it
// has crashed or its zone is partitioned from the platform.
func (sw *crashSwitch) storeLost() bool { return sw.crashed.Load() || sw.network.partitioned(sw.zone) }

// wrap returns deps with the switch and the network's faults between the host and
// its dependencies.
func (sw *crashSwitch) wrap(deps daemon.Dependencies) daemon.Dependencies {
	for _, s := range []*port.Store{&deps.Store, &deps.ControlStore, &deps.ClaimStore} {
		if *s != nil {
			*s = &disconnectableStore{inner: *s, unreachable: sw.storeLost}
		}
	}
	if client, ok := deps.AttemptClient.(*engine.Client); ok {
		deps.AttemptClient = &crashableClient{Client: client, crashed: &sw.crashed}
	}
	deps.HostList = partitionedHostList{HostList: deps.HostList, network: sw.network, zone: sw.zone}
	deps.PeerFaults = zoneFaults{network: sw.network, zone: sw.zone, inner: deps.PeerFaults}
	deps.Listen = sw.listen
	return deps
}

// crash disconnects the host from the store and the endpoints and closes all
// sockets that it listens on or accepted.
func (sw *crashSwitch) crash() {
	sw.crashed.Store(true)
	sw.mu.Lock()
	defer sw.mu.Unlock()
	for _, l := range sw.listeners {
		_ = l.Close()
	}
	for c := range sw.conns {
		_ = c.Close()
	}
}

// listen implements daemon.Dependencies.Listen. It registers the listener for crash
// and its address for partitions.
func (sw *crashSwitch) listen(network, address string) (net.Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.listeners = append(sw.listeners, l)
	sw.network.register(l.Addr().String(), sw.zone)
	return &trackingListener{Listener: l, crashSwitch: sw}, nil
}

// trackingListener records the sockets that it accepts, so that crash can close
// them.
type trackingListener struct {
	net.Listener
	crashSwitch *crashSwitch
}

// Accept returns the socket unwrapped, so that the host runs as in production.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.crashSwitch.mu.Lock()
	defer l.crashSwitch.mu.Unlock()
	l.crashSwitch.conns[c] = true
	return c, nil
}

// crashableClient sends nothing once the host has crashed.
type crashableClient struct {
	*engine.Client
	crashed *atomic.Bool
}

// Call sends the attempt unless the host has crashed.
func (c *crashableClient) Call(ctx context.Context, a port.Attempt) (port.AttemptResult, error) {
	if c.crashed.Load() {
		return port.AttemptResult{}, verdict.New(verdict.CodeInternal, verdict.MayHaveRun, "the host is dead")
	}
	return c.Client.Call(ctx, a)
}

// disconnectableStore fails with port.ErrUnavailable while unreachable returns
// true. A watch notices only when it returns.
type disconnectableStore struct {
	inner       port.Store
	unreachable func() bool
}

func (s *disconnectableStore) checkReachable() error {
	if s.unreachable() {
		return port.ErrUnavailable
	}
	return nil
}

// Get implements port.Store.
func (s *disconnectableStore) Get(ctx context.Context, key string) (port.Entry, error) {
	if err := s.checkReachable(); err != nil {
		return port.Entry{}, err
	}
	return s.inner.Get(ctx, key)
}

// List implements port.Store.
func (s *disconnectableStore) List(ctx context.Context, prefix string) ([]port.Entry, error) {
	if err := s.checkReachable(); err != nil {
		return nil, err
	}
	return s.inner.List(ctx, prefix)
}

// CompareAndSwap implements port.Store.
func (s *disconnectableStore) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	return s.CompareAndSwapInEpoch(ctx, 0, key, prev, value, ttl)
}

// CompareAndSwapInEpoch implements port.Store.
func (s *disconnectableStore) CompareAndSwapInEpoch(ctx context.Context, epoch int64, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if err := s.checkReachable(); err != nil {
		return port.Entry{}, err
	}
	return s.inner.CompareAndSwapInEpoch(ctx, epoch, key, prev, value, ttl)
}

// Delete implements port.Store.
func (s *disconnectableStore) Delete(ctx context.Context, key string, prev uint64) error {
	if err := s.checkReachable(); err != nil {
		return err
	}
	return s.inner.Delete(ctx, key, prev)
}

// Watch implements port.Store.
func (s *disconnectableStore) Watch(ctx context.Context, key string, after uint64) (port.Entry, error) {
	if err := s.checkReachable(); err != nil {
		return port.Entry{}, err
	}
	e, err := s.inner.Watch(ctx, key, after)
	if reachErr := s.checkReachable(); reachErr != nil {
		return port.Entry{}, reachErr
	}
	return e, err
}
