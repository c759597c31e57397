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

// kindCostBook is the kind of message that asks a host for its book.
const kindCostBook = "cost.book"

// Timing and bounds of keeping the books.
const (
	bookWriteInterval  = time.Minute
	archiveInterval    = time.Hour
	bookStoreTimeout   = 5 * time.Second
	bookRequestTimeout = time.Second
	// finalSettleTimeout bounds the last questions for the cost of lost answers.
	finalSettleTimeout = 2 * time.Second
	// maxConcurrentBookRequests bounds the hosts asked at a time.
	maxConcurrentBookRequests = 16
)

// CostReport is the sum of all hosts' books.
type CostReport struct {
	Rows []cost.Row `json:"rows"`
	// Deferred is the number of this host's attempts whose cost is being asked
	// for, Unknown of those given up.
	Deferred int   `json:"deferred"`
	Unknown  int64 `json:"unknown"`
	// Stale are the hosts whose rows are as last stored, up to 90 s old.
	Stale []string `json:"stale,omitempty"`
	// Partial says that the store is away: only hosts that answered are in.
	Partial bool `json:"partial"`
}

// maintainBooks writes this host's book about every minute and folds old ones now
// and then, until ctx ends.
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

// finalizeBook settles what can be settled at once and writes the book a last
// time. Call it when no request and no loop runs any more.
func (a *App) finalizeBook() {
	ctx, cancel := context.WithTimeout(context.Background(), finalSettleTimeout)
	defer cancel()
	a.waitForAttempts(ctx)
	if meter, ok := a.deps.AttemptClient.(port.UsageReader); ok {
		a.ledger.SettleAll(ctx, meter)
	}
	a.writeBook()
}

// waitForAttempts waits for attempts that outlast their runs, as long as ctx lasts.
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

func (a *App) writeBook() {
	ctx, cancel := context.WithTimeout(context.Background(), bookStoreTimeout)
	defer cancel()
	if err := a.bookStore.Write(ctx); err != nil {
		a.deps.Log.Warn("cost book not written", slog.Any("error", err))
	}
}

// archiveProbability returns the chance with which a host folds in one round, so that
// the fleet folds about once per archiveInterval.
func (a *App) archiveProbability() float64 {
	return float64(bookWriteInterval) / float64(archiveInterval) / float64(a.knownHostCount())
}

func (a *App) archiveBooks() {
	ctx, cancel := context.WithTimeout(context.Background(), bookStoreTimeout)
	defer cancel()
	if err := a.bookStore.ArchiveStaleBooks(ctx); err != nil {
		a.deps.Log.Info("cost books not folded in this round", slog.Any("error", err))
	}
}

// jittered returns a duration between a half and one and a half of d.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// Cost returns the sum of all hosts' books: from the hosts themselves where
// they answer, else as last stored.
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

func sumBooks(books []cost.Book) []cost.Row {
	all := make([][]cost.Row, len(books))
	for i, b := range books {
		all[i] = b.Rows
	}
	return cost.Merge(all...)
}

// fetchBooks asks the other live hosts for their books and returns those that
// came and the hosts that did not answer.
func (a *App) fetchBooks(ctx context.Context) (books []cost.Book, silent []string) {
	if a.deps.Peers == nil {
		return nil, nil
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentBookRequests)
	for _, m := range a.deps.Peers.Members() {
		if m.ID == a.deps.Peers.Self().ID || m.State == port.MemberGone {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			b, err := a.fetchBook(ctx, m.ID)
			<-slots
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, m.ID)
				return
			}
			books = append(books, b)
		})
	}
	wg.Wait()
	return books, silent
}

func (a *App) fetchBook(ctx context.Context, host string) (cost.Book, error) {
	ctx, cancel := context.WithTimeout(ctx, bookRequestTimeout)
	defer cancel()
	reply, err := a.deps.Peers.Ask(ctx, host, kindCostBook, nil)
	if err != nil {
		return cost.Book{}, err
	}
	return cost.DecodeBook(reply)
}

// handleBookRequest answers another host with this one's book.
func (a *App) handleBookRequest(context.Context, port.Member, []byte) ([]byte, error) {
	data, err := a.bookStore.Current().Encode()
	if err != nil {
		return nil, verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "cost book cannot be encoded")
	}
	return data, nil
}
