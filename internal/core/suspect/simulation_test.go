package suspect

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// simEndpoint is a simulated endpoint. A poison request crashes its process.
type simEndpoint struct {
	// mu guards the fields below.
	mu sync.Mutex
	// incarnation is the number of crashes so far.
	incarnation     int
	runningRequests int
	// crashed must be set; it is closed and replaced at each crash.
	crashed chan struct{}
	// downUntil is when the process has restarted after its last crash.
	downUntil time.Time
}

var errDown = errors.New("connection refused")

func (e *simEndpoint) probe() (port.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) {
		return port.LoadReport{}, errDown
	}
	return port.LoadReport{Incarnation: fmt.Sprint(e.incarnation), Running: e.runningRequests}, nil
}

// run runs a request and reports whether the process crashed meanwhile. It
// returns errDown if the process is restarting.
func (e *simEndpoint) run(poison bool) (bool, error) {
	if _, err := e.probe(); err != nil {
		return false, err
	}
	e.mu.Lock()
	e.runningRequests++
	crashed := e.crashed
	e.mu.Unlock()
	work := harmlessRunTime
	if poison {
		work = timeToCrash
	}
	select {
	case <-crashed:
		return true, nil
	case <-time.After(work):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if crashed != e.crashed {
		return true, nil
	}
	e.runningRequests--
	if !poison {
		return false, nil
	}
	e.incarnation++
	e.runningRequests = 0
	e.downUntil = time.Now().Add(restartTime)
	close(e.crashed)
	e.crashed = make(chan struct{})
	return true, nil
}

func (e *simEndpoint) crashCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// memStore is an in-memory store that is always available. It implements only Get,
// CompareAndSwap and Delete. Entries expire by their TTL, which must be above zero.
type memStore struct {
	port.Store
	// mu guards the fields below.
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
