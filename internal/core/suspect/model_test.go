package suspect

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// server is a simulated endpoint. A poison request crashes its process.
type simEndpoint struct {
	mu              sync.Mutex
	incarnation     int
	runningRequests int
	crashed         chan struct{}
	downUntil       time.Time
}

var errDown = errors.New("connection refused")

func (s *simEndpoint) probe() (port.LoadReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		return port.LoadReport{}, errDown
	}
	return port.LoadReport{Incarnation: fmt.Sprint(s.incarnation), Running: s.runningRequests}, nil
}

// run runs a request and reports whether the process crashed meanwhile.
func (s *simEndpoint) run(poison bool) (bool, error) {
	if _, err := s.probe(); err != nil {
		return false, err
	}
	s.mu.Lock()
	s.runningRequests++
	crashed := s.crashed
	s.mu.Unlock()
	work := harmlessRunTime
	if poison {
		work = timeToCrash
	}
	select {
	case <-crashed:
		return true, nil
	case <-time.After(work):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if crashed != s.crashed {
		return true, nil
	}
	s.runningRequests--
	if !poison {
		return false, nil
	}
	s.incarnation++
	s.runningRequests = 0
	s.downUntil = time.Now().Add(restartTime)
	close(s.crashed)
	s.crashed = make(chan struct{})
	return true, nil
}

func (s *simEndpoint) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// memStore is an in-memory store that never fails.
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

func (m *memStore) CompareAndSwap(_ context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
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
