// Package recent remembers what has happened of late.
package recent

import (
	"sync"
	"time"
)

// retention is how long a Set keeps a key after it was last added. Copies of a
// response come at the latest with the next calls on its connection.
const retention = time.Minute

// Set holds the keys that were added in the last minute. It is safe for
// concurrent use.
type Set[K comparable] struct {
	mu      sync.Mutex
	addedAt map[K]time.Time
	sweptAt time.Time
}

// NewSet returns an empty Set.
func NewSet[K comparable]() *Set[K] {
	return &Set[K]{addedAt: make(map[K]time.Time), sweptAt: time.Now()}
}

// Add adds a key and reports whether the set held it.
func (s *Set[K]) Add(key K) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.sweptAt) > retention {
		s.sweptAt = now
		for k, at := range s.addedAt {
			if now.Sub(at) > retention {
				delete(s.addedAt, k)
			}
		}
	}
	at, known := s.addedAt[key]
	s.addedAt[key] = now
	return known && now.Sub(at) <= retention
}

// Has reports whether the set holds a key.
func (s *Set[K]) Has(key K) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known := s.addedAt[key]
	return known && time.Since(at) <= retention
}
