package suspect

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// server is an endpoint. A guilty request makes its process die.
type server struct {
	mu          sync.Mutex
	incarnation int
	running     int
	crashed     chan struct{}
	downUntil   time.Time
}

var errDown = errors.New("connection refused")

func (s *server) probe() (port.Load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		return port.Load{}, errDown
	}
	return port.Load{Incarnation: fmt.Sprint(s.incarnation), Running: s.running}, nil
}

// run returns whether the process died in the middle.
func (s *server) run(guilty bool) (bool, error) {
	if _, err := s.probe(); err != nil {
		return false, err
	}
	s.mu.Lock()
	s.running++
	died := s.crashed
	s.mu.Unlock()
	work := workTime
	if guilty {
		work = crashAfter
	}
	select {
	case <-died:
		return true, nil
	case <-time.After(work):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if died != s.crashed {
		return true, nil
	}
	s.running--
	if !guilty {
		return false, nil
	}
	s.incarnation++
	s.running = 0
	s.downUntil = time.Now().Add(restartTime)
	close(s.crashed)
	s.crashed = make(chan struct{})
	return true, nil
}

func (s *server) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// memory is a store without faults but for those of dead hosts.
type memStore struct {
	port.Store
	mu       sync.Mutex
	revision uint64
	entries  map[string]port.Entry
}

func (m *memStore) Get(_ context.Context, key string) (port.Entry, error) {
	sleep(networkDelay)
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	if !ok {
		return port.Entry{}, port.ErrNotFound
	}
	return e, nil
}

func (m *memStore) Swap(_ context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	sleep(networkDelay)
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries[key]; e.Revision != prev {
		return e, port.ErrConflict
	}
	m.revision++
	e := port.Entry{Key: key, Value: value, Revision: m.revision}
	m.entries[key] = e
	time.AfterFunc(ttl, func() { _ = m.remove(key, e.Revision) })
	return e, nil
}

func (m *memStore) Delete(_ context.Context, key string, prev uint64) error {
	sleep(networkDelay)
	return m.remove(key, prev)
}

func (m *memStore) remove(key string, prev uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries[key].Revision != prev {
		return port.ErrConflict
	}
	delete(m.entries, key)
	return nil
}
