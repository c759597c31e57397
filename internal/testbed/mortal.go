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
type mortal struct {
	dead    atomic.Bool
	network *network
	zone    string

	mu      sync.Mutex
	sockets map[net.Conn]bool
	opened  []net.Listener
}

func newMortal(n *network, zone string) *mortal {
	return &mortal{network: n, zone: zone, sockets: map[net.Conn]bool{}}
}

// cutOff reports whether the platform cannot be reached.
func (m *mortal) cutOff() bool { return m.dead.Load() || m.network.off(m.zone) }

// wrap puts the host's death before everything that it reaches outside.
func (m *mortal) wrap(o daemon.Dependencies) daemon.Dependencies {
	for _, s := range []*port.Store{&o.Store, &o.ControlStore, &o.ClaimStore} {
		if *s != nil {
			*s = &mortalStore{inner: *s, cutOff: m.cutOff}
		}
	}
	if client, ok := o.AttemptClient.(*engine.Client); ok {
		o.AttemptClient = &mortalCaller{Client: client, dead: &m.dead}
	}
	o.HostList = cutHostList{HostList: o.HostList, network: m.network, zone: m.zone}
	o.PeerFaults = zoneFaults{network: m.network, zone: m.zone, inner: o.PeerFaults}
	o.Listen = m.listen
	return o
}

// die closes all sockets and cuts the host off.
func (m *mortal) die() {
	m.dead.Store(true)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.opened {
		_ = l.Close()
	}
	for c := range m.sockets {
		_ = c.Close()
	}
}

func (m *mortal) listen(network, address string) (net.Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.opened = append(m.opened, l)
	m.network.place(l.Addr().String(), m.zone)
	return &mortalListener{Listener: l, m: m}, nil
}

// mortalListener notes the sockets that it accepts.
type mortalListener struct {
	net.Listener
	m *mortal
}

// Accept returns the plain socket, so that the host sees what it always sees.
func (l *mortalListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	l.m.sockets[c] = true
	return c, nil
}

// mortalCaller sends nothing once the host is dead.
type mortalCaller struct {
	*engine.Client
	dead *atomic.Bool
}

// Call sends the attempt unless the host is dead.
func (c *mortalCaller) Call(ctx context.Context, a port.Attempt) (port.AttemptResult, error) {
	if c.dead.Load() {
		return port.AttemptResult{}, verdict.New(verdict.CodeInternal, verdict.MayHaveRun, "the host is dead")
	}
	return c.Client.Call(ctx, a)
}

// mortalStore reaches no store once the host is dead or cut off.
type mortalStore struct {
	inner  port.Store
	cutOff func() bool
}

func (s *mortalStore) err() error {
	if s.cutOff() {
		return port.ErrUnavailable
	}
	return nil
}

// Get implements port.Store.
func (s *mortalStore) Get(ctx context.Context, key string) (port.Entry, error) {
	if err := s.err(); err != nil {
		return port.Entry{}, err
	}
	return s.inner.Get(ctx, key)
}

// List implements port.Store.
func (s *mortalStore) List(ctx context.Context, prefix string) ([]port.Entry, error) {
	if err := s.err(); err != nil {
		return nil, err
	}
	return s.inner.List(ctx, prefix)
}

// Swap implements port.Store.
func (s *mortalStore) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if err := s.err(); err != nil {
		return port.Entry{}, err
	}
	return s.inner.CompareAndSwap(ctx, key, prev, value, ttl)
}

// Delete implements port.Store.
func (s *mortalStore) Delete(ctx context.Context, key string, prev uint64) error {
	if err := s.err(); err != nil {
		return err
	}
	return s.inner.Delete(ctx, key, prev)
}

// Watch implements port.Store.
func (s *mortalStore) Watch(ctx context.Context, key string, after uint64) (port.Entry, error) {
	if err := s.err(); err != nil {
		return port.Entry{}, err
	}
	e, err := s.inner.Watch(ctx, key, after)
	if cut := s.err(); cut != nil {
		return port.Entry{}, cut
	}
	return e, err
}
