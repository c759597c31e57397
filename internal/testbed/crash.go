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

// mortal lets a host die like a process: from then on nothing of it reaches
// the store or an endpoint, and its sockets are closed.
type crashSwitch struct {
	crashed atomic.Bool
	network *network
	zone    string

	mu        sync.Mutex
	conns     map[net.Conn]bool
	listeners []net.Listener
}

func newCrashSwitch(n *network, zone string) *crashSwitch {
	return &crashSwitch{network: n, zone: zone, conns: map[net.Conn]bool{}}
}

// unreachable reports whether the platform cannot be reached.
func (m *crashSwitch) storeUnreachable() bool {
	return m.crashed.Load() || m.network.platformUnreachable(m.zone)
}

// wrap puts the host's death before everything that it reaches outside.
func (m *crashSwitch) wrap(o daemon.Outside) daemon.Outside {
	for _, s := range []*port.Store{&o.Store, &o.ControlStore, &o.ClaimStore} {
		if *s != nil {
			*s = &disconnectableStore{inner: *s, unreachable: m.storeUnreachable}
		}
	}
	if client, ok := o.Caller.(*engine.Client); ok {
		o.Caller = &crashableClient{Client: client, crashed: &m.crashed}
	}
	o.HostList = partitionedHostList{HostList: o.HostList, network: m.network, zone: m.zone}
	o.PeerFaults = zoneFaults{network: m.network, zone: m.zone, inner: o.PeerFaults}
	o.Listen = m.listen
	return o
}

// die closes all sockets and cuts the host off.
func (m *crashSwitch) crash() {
	m.crashed.Store(true)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.listeners {
		_ = l.Close()
	}
	for c := range m.conns {
		_ = c.Close()
	}
}

func (m *crashSwitch) listen(network, address string) (net.Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners = append(m.listeners, l)
	m.network.register(l.Addr().String(), m.zone)
	return &trackingListener{Listener: l, owner: m}, nil
}

// trackingListener notes the sockets that it accepts.
type trackingListener struct {
	net.Listener
	owner *crashSwitch
}

// Accept returns the plain socket, so that the host sees what it always sees.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	l.owner.conns[c] = true
	return c, nil
}

// crashableClient sends nothing once the host is dead.
type crashableClient struct {
	*engine.Client
	crashed *atomic.Bool
}

// Call sends the attempt unless the host is dead.
func (c *crashableClient) Call(ctx context.Context, a port.Attempt) (port.AttemptResult, error) {
	if c.crashed.Load() {
		return port.AttemptResult{}, verdict.New(verdict.CodeInternal, verdict.MayHaveRun, "the host is dead")
	}
	return c.Client.Call(ctx, a)
}

// disconnectableStore reaches no store once the host is dead or cut off.
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

// Swap implements port.Store.
func (s *disconnectableStore) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if err := s.checkReachable(); err != nil {
		return port.Entry{}, err
	}
	return s.inner.CompareAndSwap(ctx, key, prev, value, ttl)
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
	if cut := s.checkReachable(); cut != nil {
		return port.Entry{}, cut
	}
	return e, err
}
