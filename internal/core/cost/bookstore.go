package cost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// The keys under which books and the archive are stored.
const (
	bookPrefix = "cost/books/"
	archiveKey = "cost/archive"
)

// staleAfter is the time since its last write after which a book is sealed and
// added to the archive.
const staleAfter = time.Hour

// refreshAfter is the time after which an unchanged book is written again, so
// that it does not become stale while its host lives.
const refreshAfter = staleAfter / 4

// BookStore writes one host's book to the store and reads the books of all hosts.
// Only one goroutine may call Write and ArchiveStaleBooks; Current and Report are
// safe for concurrent use.
type BookStore struct {
	store  port.Store
	clock  port.Clock
	ledger *Ledger
	newID  func() string

	mu sync.Mutex
	// bookID is the id of the current book.
	bookID string
	// sealedRows are this host's rows that are already in sealed books.
	sealedRows []Row
	// revision, writtenRows and writtenAt describe the current book as it was
	// last written; only Write's goroutine uses them.
	revision    uint64
	writtenRows []Row
	writtenAt   time.Time
}

// NewBookStore returns a BookStore for the ledger. newID returns ids that are
// unique across all hosts and their restarts.
func NewBookStore(store port.Store, clock port.Clock, ledger *Ledger, newID func() string) *BookStore {
	return &BookStore{store: store, clock: clock, ledger: ledger, newID: newID, bookID: newID()}
}

// Current returns the host's current book with the ledger's rows as of now.
func (s *BookStore) Current() Book {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentLocked()
}

// currentLocked is Current for callers that hold mu.
func (s *BookStore) currentLocked() Book {
	return Book{ID: s.bookID, WrittenAt: s.clock.Now(), Rows: Subtract(s.ledger.Rows(), s.sealedRows)}
}

// Write writes the host's book to the store if it has changed or was not written
// for refreshAfter. The book holds totals since its start, so a write whose
// response was lost can be repeated. After a conflict Write adopts the stored state
// and returns nil; the next call writes the rows that are still missing. Other
// errors of the store, and those of encoding and decoding books, are returned.
func (s *BookStore) Write(ctx context.Context) error {
	b := s.Current()
	fresh := b.WrittenAt.Sub(s.writtenAt) < refreshAfter
	if slices.Equal(b.Rows, s.writtenRows) && (fresh || len(b.Rows) == 0) {
		return nil
	}
	data, err := b.Encode()
	if err != nil {
		return err
	}
	entry, err := s.store.CompareAndSwap(ctx, bookPrefix+b.ID, s.revision, data, 0)
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

// resolveConflict adopts the stored state of the book after a failed
// compare-and-swap. If another host has sealed the book, or archived and deleted
// it, the rows written last are counted there and this host starts a new book.
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

// startNewBook starts an empty book; sealed are the rows of the book before it.
func (s *BookStore) startNewBook(sealed []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealedRows = Merge(s.sealedRows, sealed)
	s.bookID = s.newID()
	s.revision = 0
	s.writtenRows = nil
}

// ArchiveStaleBooks moves the books that their hosts no longer write into the
// archive. It seals a book, adds its rows to the archive together with its id,
// and deletes it. Each step is one compare-and-swap and may be repeated, by this
// host or another. The first error ends the call; the next call resumes. The error
// is port.ErrConflict if another host wrote the same book or the archive meanwhile.
func (s *BookStore) ArchiveStaleBooks(ctx context.Context) error {
	entries, err := s.store.List(ctx, bookPrefix)
	if err != nil {
		return err
	}
	archive, revision, err := s.readArchive(ctx)
	if err != nil {
		return err
	}
	a := archiver{store: s.store, archive: archive, revision: revision}
	a.archive.ArchivedIDs = storedIDs(archive.ArchivedIDs, entries)
	for _, e := range entries {
		b, err := DecodeBook(e.Value)
		if err != nil {
			return err
		}
		if !b.Sealed && s.clock.Now().Sub(b.WrittenAt) <= staleAfter {
			continue
		}
		if err := a.archiveBook(ctx, e, b); err != nil {
			return err
		}
	}
	return nil
}

// archiver adds books to the archive. archive and revision are the archive as
// last read or written.
type archiver struct {
	store    port.Store
	archive  Archive
	revision uint64
}

// archiveBook archives one book, starting at the step that an earlier call reached.
func (a *archiver) archiveBook(ctx context.Context, e port.Entry, b Book) error {
	if !b.Sealed {
		b.Sealed = true
		data, err := b.Encode()
		if err != nil {
			return err
		}
		if e, err = a.store.CompareAndSwap(ctx, e.Key, e.Revision, data, 0); err != nil {
			return err
		}
	}
	if !slices.Contains(a.archive.ArchivedIDs, b.ID) {
		if err := a.addRows(ctx, b); err != nil {
			return err
		}
	}
	return a.store.Delete(ctx, e.Key, e.Revision)
}

// addRows adds the book's rows and id to the archive.
func (a *archiver) addRows(ctx context.Context, b Book) error {
	next := Archive{
		Rows:        Merge(a.archive.Rows, b.Rows),
		ArchivedIDs: append(slices.Clone(a.archive.ArchivedIDs), b.ID),
	}
	data, err := next.Encode()
	if err != nil {
		return err
	}
	entry, err := a.store.CompareAndSwap(ctx, archiveKey, a.revision, data, 0)
	if err != nil {
		return err
	}
	a.archive, a.revision = next, entry.Revision
	return nil
}

// storedIDs returns those of the ids whose books are among the entries.
func storedIDs(ids []string, entries []port.Entry) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		return !slices.ContainsFunc(entries, func(e port.Entry) bool { return e.Key == bookPrefix+id })
	})
}

// readArchive returns the archive and its revision in the store; both are zero if
// there is none.
func (s *BookStore) readArchive(ctx context.Context) (Archive, uint64, error) {
	entry, err := s.store.Get(ctx, archiveKey)
	if err != nil && !errors.Is(err, port.ErrNotFound) {
		return Archive{}, 0, err
	}
	a, err := DecodeArchive(entry.Value)
	return a, entry.Revision, err
}

// Report returns the totals of all hosts: the archive plus the books in the
// store. newerBooks are current books that hosts sent directly; each replaces the
// stored book of the same id, unless that is sealed.
func (s *BookStore) Report(ctx context.Context, newerBooks []Book) ([]Row, error) {
	entries, err := s.store.List(ctx, bookPrefix)
	if err != nil {
		return nil, err
	}
	// The archive is read after the books, so that a book archived in between
	// is recognised by its id and not counted twice.
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
	for _, b := range newerBooks {
		if !books[b.ID].Sealed {
			books[b.ID] = b
		}
	}
	rowLists := [][]Row{archive.Rows}
	for id, b := range books {
		if !slices.Contains(archive.ArchivedIDs, id) {
			rowLists = append(rowLists, b.Rows)
		}
	}
	return Merge(rowLists...), nil
}
