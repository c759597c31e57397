package app

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// kindCostBook is the kind of the message that requests a host's cost book.
const kindCostBook = "cost.book"

// Intervals and bounds of writing, archiving and collecting cost books.
const (
	// bookWriteInterval is the mean time between two writes of a host's book.
	bookWriteInterval = time.Minute
	// archiveInterval is the mean time between two rounds of archiving by any of
	// the hosts.
	archiveInterval = time.Hour
	// bookStoreTimeout bounds one write of the book or one round of archiving.
	bookStoreTimeout = 5 * time.Second
	// bookRequestTimeout bounds one request for another host's book.
	bookRequestTimeout = time.Second
	// finalSettleTimeout bounds how long a stopping host waits for attempts in
	// progress and queries the cost of lost responses, together.
	finalSettleTimeout = 2 * time.Second
	// maxConcurrentBookRequests bounds the book requests in flight for one report.
	maxConcurrentBookRequests = 16
)

// CostReport holds the totals of all hosts' cost books.
type CostReport struct {
	Rows []cost.Row `json:"rows"`
	// Deferred is the number of this host's attempts whose cost is still being
	// queried, Unknown the number of those that it has given up on since its start.
	Deferred int   `json:"deferred"`
	Unknown  int64 `json:"unknown"`
	// Stale holds the ids of the hosts that did not return a valid book. Their
	// rows are as last written to the store: at most about 90 s old (1.5 times
	// bookWriteInterval), older if writes failed.
	Stale []string `json:"stale,omitempty"`
	// Partial says that the stored books could not be read, so that Rows includes
	// only the current books of this host and of the hosts that returned theirs,
	// without the rows of sealed books and of the archive.
	Partial bool `json:"partial"`
}

// maintainBooks writes this host's book every bookWriteInterval on average, and
// after some writes, chosen at random, also archives stale books, until ctx ends.
func (a *App) maintainBooks(ctx context.Context) {
	for ctx.Err() == nil {
		port.Sleep(ctx, jittered(bookWriteInterval))
		if ctx.Err() != nil {
			return
		}
		a.writeBook()
		if rand.Float64() < a.archiveProbability() {
			a.archiveBooks()
		}
	}
}

// finalizeBook waits for attempts in progress and queries the cost of each deferred
// attempt at most once, both within finalSettleTimeout, and writes the book a last
// time. After an endpoint did not respond, its other attempts are skipped. It is
// called after all loops have ended.
func (a *App) finalizeBook() {
	ctx, cancel := context.WithTimeout(context.Background(), finalSettleTimeout)
	defer cancel()
	a.waitForAttempts(ctx)
	if usageReader, ok := a.deps.AttemptClient.(port.UsageReader); ok {
		a.ledger.SettleAll(ctx, usageReader)
	}
	a.writeBook()
}

// waitForAttempts waits for attempts that outlast their runs, until ctx ends.
func (a *App) waitForAttempts(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.dataPlane.runner.Wait()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// writeBook writes this host's book to the store and logs a failure.
func (a *App) writeBook() {
	ctx, cancel := context.WithTimeout(context.Background(), bookStoreTimeout)
	defer cancel()
	if err := a.bookStore.Write(ctx); err != nil {
		a.deps.Log.Warn("cost book not written", slog.Any("error", err))
	}
}

// archiveProbability returns the probability with which this host archives stale
// books after a write of its own, so that all hosts together do so about once per
// archiveInterval.
func (a *App) archiveProbability() float64 {
	return float64(bookWriteInterval) / float64(archiveInterval) / float64(a.knownHostCount())
}

func (a *App) archiveBooks() {
	ctx, cancel := context.WithTimeout(context.Background(), bookStoreTimeout)
	defer cancel()
	if err := a.bookStore.ArchiveStaleBooks(ctx); err != nil {
		a.deps.Log.Info("stale cost books not archived in this round", slog.Any("error", err))
	}
}

// jittered returns a random duration from 0.5 d to 1.5 d, with mean d.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// Cost returns the totals of all hosts' books: from each host itself if it returns
// its book within bookRequestTimeout, else from the store. Its error is always nil;
// a failed read of the store makes the report partial.
func (a *App) Cost(ctx context.Context) (CostReport, error) {
	var report CostReport
	report.Deferred, report.Unknown = a.ledger.PendingCounts()
	books := []cost.Book{a.bookStore.Current()}
	others, stale := a.fetchBooks(ctx)
	books = append(books, others...)
	report.Stale = stale
	rows, err := a.bookStore.Report(ctx, books)
	if err != nil {
		a.deps.Log.Warn("stored cost books not read", slog.Any("error", err))
		report.Partial = true
		rows = sumBooks(books)
	}
	report.Rows = rows
	return report, nil
}

// sumBooks returns the rows of all books, with equal keys added up.
func sumBooks(books []cost.Book) []cost.Row {
	all := make([][]cost.Row, len(books))
	for i, b := range books {
		all[i] = b.Rows
	}
	return cost.Merge(all...)
}

// fetchBooks requests the books of the other members that are not gone. It returns
// the books received and, as stale, the ids of the hosts that returned none: they did
// not respond in time, returned an error or a book that cannot be decoded.
func (a *App) fetchBooks(ctx context.Context) (books []cost.Book, stale []string) {
	if a.deps.Peers == nil {
		return nil, nil
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentBookRequests)
	for _, m := range a.deps.Peers.Members() {
		if m.ID == a.deps.Peers.Self().ID || m.State == port.MemberGone {
			continue
		}
		wg.Go(func() {
			semaphore <- struct{}{}
			b, err := a.fetchBook(ctx, m.ID)
			<-semaphore
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				stale = append(stale, m.ID)
				return
			}
			books = append(books, b)
		})
	}
	wg.Wait()
	return books, stale
}

func (a *App) fetchBook(ctx context.Context, host string) (cost.Book, error) {
	ctx, cancel := context.WithTimeout(ctx, bookRequestTimeout)
	defer cancel()
	response, err := a.deps.Peers.Ask(ctx, host, kindCostBook, nil)
	if err != nil {
		return cost.Book{}, err
	}
	return cost.DecodeBook(response)
}

// handleBookRequest returns this host's book to another host.
func (a *App) handleBookRequest(context.Context, port.Member, []byte) ([]byte, error) {
	data, err := a.bookStore.Current().Encode()
	if err != nil {
		return nil, verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "cost book cannot be encoded")
	}
	return data, nil
}
