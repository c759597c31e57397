package cost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// The keys of the books in the store.
const (
	bookPrefix = "cost/books/"
	archiveKey = "cost/archive"
)

// staleAfter is the age at which a book that is not written any more is sealed
// and added to the archive.
const staleAfter = time.Hour

// refreshAfter is the age at which an unchanged book is written again, so
// that it is not taken for one whose host has gone.
const refreshAfter = staleAfter / 4

// BookStore keeps one host's books in the store and reads those of all hosts.
// Write and Fold are called by one goroutine; Report by any.
type BookStore struct {
	store  port.Store
	clock  port.Clock
	ledger *Ledger
	newID  func() string

	mu     sync.Mutex
	bookID string
	// sealed are this host's rows that are in sealed books.
	sealedRows []Row
	revision   uint64
	// written is what the store holds of the current book.
	writtenRows []Row
	writtenAt   time.Time
}

// NewBookStore returns a Shelf for the ledger. newID gives ids that are unique
// over all hosts and starts.
func NewBookStore(store port.Store, clock port.Clock, ledger *Ledger, newID func() string) *BookStore {
	return &BookStore{store: store, clock: clock, ledger: ledger, newID: newID, bookID: newID()}
}

// Current returns the host's own book as it is now.
func (s *BookStore) Current() Book {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentLocked()
}

func (s *BookStore) currentLocked() Book {
	return Book{ID: s.bookID, WrittenAt: s.clock.Now(), Rows: Subtract(s.ledger.Rows(), s.sealedRows)}
}

// Write puts the host's book into the store if it has changed or is old. The book holds
// sums since its start, so that a write whose answer is lost may be repeated.
func (s *BookStore) Write(ctx context.Context) error {
	b := s.Current()
	idle := b.WrittenAt.Sub(s.writtenAt) < refreshAfter
	if slices.Equal(b.Rows, s.writtenRows) && (idle || len(b.Rows) == 0) {
		return nil
	}
	data, err := b.Encode()
	if err != nil {
		return err
	}
	entry, err := s.store.Swap(ctx, bookPrefix+b.ID, s.revision, data, 0)
	if errors.Is(err, port.ErrConflict) {
		return s.resolveConflict(entry)
	}
	if err != nil {
		return err
	}
	s.revision = entry.Revision
	s.writtenRows = b.Rows
	s.writtenAt = b.WrittenAt
	return nil
}

// resolveConflict takes over what the store holds. A book that was sealed, or
// sealed and folded, holds what was written last; the host begins a new one.
func (s *BookStore) resolveConflict(entry port.Entry) error {
	if entry.Revision == 0 {
		s.startNewBook(s.writtenRows)
		return nil
	}
	b, err := DecodeBook(entry.Value)
	if err != nil {
		return err
	}
	s.revision = entry.Revision
	s.writtenRows = b.Rows
	if b.Sealed {
		s.startNewBook(b.Rows)
	}
	return nil
}

func (s *BookStore) startNewBook(sealed []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealedRows = Merge(s.sealedRows, sealed)
	s.bookID = s.newID()
	s.revision = 0
	s.writtenRows = nil
}

// ArchiveStaleBooks adds the books that are no longer written to the archive: it seals a
// book, adds its rows to the archive under its id, and deletes it. Each step
// is one compare-and-swap and may be repeated, by this host or another.
func (s *BookStore) ArchiveStaleBooks(ctx context.Context) error {
	entries, err := s.store.List(ctx, bookPrefix)
	if err != nil {
		return err
	}
	archive, revision, err := s.readArchive(ctx)
	if err != nil {
		return err
	}
	f := archiver{store: s.store, archive: archive, revision: revision}
	f.archive.ArchivedIDs = storedIDs(archive.ArchivedIDs, entries)
	for _, e := range entries {
		b, err := DecodeBook(e.Value)
		if err != nil {
			return err
		}
		if !b.Sealed && s.clock.Now().Sub(b.WrittenAt) <= staleAfter {
			continue
		}
		if err := f.archiveBook(ctx, e, b); err != nil {
			return err
		}
	}
	return nil
}

// folder adds books to the archive that it has read.
type archiver struct {
	store    port.Store
	archive  Archive
	revision uint64
}

// fold takes one book from wherever an earlier try left it to its end.
func (f *archiver) archiveBook(ctx context.Context, e port.Entry, b Book) error {
	if !b.Sealed {
		b.Sealed = true
		data, err := b.Encode()
		if err != nil {
			return err
		}
		if e, err = f.store.Swap(ctx, e.Key, e.Revision, data, 0); err != nil {
			return err
		}
	}
	if !slices.Contains(f.archive.ArchivedIDs, b.ID) {
		if err := f.addRows(ctx, b); err != nil {
			return err
		}
	}
	return f.store.Delete(ctx, e.Key, e.Revision)
}

func (f *archiver) addRows(ctx context.Context, b Book) error {
	next := Archive{
		Rows:        Merge(f.archive.Rows, b.Rows),
		ArchivedIDs: append(slices.Clone(f.archive.ArchivedIDs), b.ID),
	}
	data, err := next.Encode()
	if err != nil {
		return err
	}
	entry, err := f.store.Swap(ctx, archiveKey, f.revision, data, 0)
	if err != nil {
		return err
	}
	f.archive, f.revision = next, entry.Revision
	return nil
}

// storedIDs returns the ids whose books are among the entries.
func storedIDs(ids []string, entries []port.Entry) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		return !slices.ContainsFunc(entries, func(e port.Entry) bool { return e.Key == bookPrefix+id })
	})
}

func (s *BookStore) readArchive(ctx context.Context) (Archive, uint64, error) {
	entry, err := s.store.Get(ctx, archiveKey)
	if err != nil && !errors.Is(err, port.ErrNotFound) {
		return Archive{}, 0, err
	}
	a, err := DecodeArchive(entry.Value)
	return a, entry.Revision, err
}

// Report returns the sum over all hosts: the archive, the books in the store,
// and in place of the stored ones the given newer books, by their ids.
func (s *BookStore) Report(ctx context.Context, newer []Book) ([]Row, error) {
	entries, err := s.store.List(ctx, bookPrefix)
	if err != nil {
		return nil, err
	}
	// The archive is read after the books: one that is folded in between is
	// known by its id, and not counted twice.
	archive, _, err := s.readArchive(ctx)
	if err != nil {
		return nil, err
	}
	books := map[string]Book{}
	for _, e := range entries {
		b, err := DecodeBook(e.Value)
		if err != nil {
			return nil, err
		}
		books[b.ID] = b
	}
	for _, b := range newer {
		if !books[b.ID].Sealed {
			books[b.ID] = b
		}
	}
	sums := [][]Row{archive.Rows}
	for id, b := range books {
		if !slices.Contains(archive.ArchivedIDs, id) {
			sums = append(sums, b.Rows)
		}
	}
	return Merge(sums...), nil
}
