package cost_test

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/port"
)

// lossyStore is an in-memory store that can lose the response to a write that has
// taken effect.
type lossyStore struct {
	port.Store
	entries  map[string]port.Entry
	revision uint64
	// loseNthResponse makes the n-th write from now lose its response; 0 loses none.
	loseNthResponse int
}

func newLossyStore() *lossyStore { return &lossyStore{entries: map[string]port.Entry{}} }

func (s *lossyStore) Get(_ context.Context, key string) (port.Entry, error) {
	e, ok := s.entries[key]
	if !ok {
		return port.Entry{}, port.ErrNotFound
	}
	return e, nil
}

func (s *lossyStore) List(_ context.Context, prefix string) ([]port.Entry, error) {
	var out []port.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b port.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

func (s *lossyStore) CompareAndSwap(_ context.Context, key string, prev uint64, value []byte, _ time.Duration) (port.Entry, error) {
	if e := s.entries[key]; e.Revision != prev {
		return e, port.ErrConflict
	}
	s.revision++
	e := port.Entry{Key: key, Value: value, Revision: s.revision}
	s.entries[key] = e
	return e, s.nextWriteError()
}

func (s *lossyStore) Delete(_ context.Context, key string, prev uint64) error {
	if s.entries[key].Revision != prev {
		return port.ErrConflict
	}
	delete(s.entries, key)
	return s.nextWriteError()
}

// nextWriteError counts a write that took effect and returns port.ErrUncertain if
// the write's response is lost.
func (s *lossyStore) nextWriteError() error {
	if s.loseNthResponse == 0 {
		return nil
	}
	s.loseNthResponse--
	if s.loseNthResponse > 0 {
		return nil
	}
	return port.ErrUncertain
}

// hasBook reports whether the store holds the book with the same rows, or the book
// is empty.
func (s *lossyStore) hasBook(b cost.Book) bool {
	if len(b.Rows) == 0 {
		return true
	}
	got, err := cost.DecodeBook(s.entries["cost/books/"+b.ID].Value)
	return err == nil && slices.Equal(got.Rows, b.Rows)
}
