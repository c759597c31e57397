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

// kindBook is the kind of message that asks a host for its book.
const kindBook = "cost.book"

// Timing and bounds of keeping the books.
const (
	booksEvery   = time.Minute
	foldEvery    = time.Hour
	booksTimeout = 5 * time.Second
	askTimeout   = time.Second
	// closeTimeout bounds the last questions for the cost of lost answers.
	closeTimeout = 2 * time.Second
	// askParallel bounds the hosts asked at a time.
	askParallel = 16
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

// keepBooks writes this host's book about every minute and folds old ones now
// and then, until ctx ends.
func (a *App) keepBooks(ctx context.Context) {
	for ctx.Err() == nil {
		port.Sleep(ctx, jittered(booksEvery))
		if ctx.Err() != nil {
			return
		}
		a.writeBook()
		if rand.Float64() < a.foldChance() {
			a.foldBooks()
		}
	}
}

// closeBooks settles what can be settled at once and writes the book a last
// time. Call it when no request and no loop runs any more.
func (a *App) closeBooks() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	a.waitAttempts(ctx)
	if meter, ok := a.deps.AttemptClient.(port.UsageReader); ok {
		a.ledger.SettleAll(ctx, meter)
	}
	a.writeBook()
}

// waitAttempts waits for attempts that outlast their runs, as long as ctx lasts.
func (a *App) waitAttempts(ctx context.Context) {
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
	ctx, cancel := context.WithTimeout(context.Background(), booksTimeout)
	defer cancel()
	if err := a.bookStore.Write(ctx); err != nil {
		a.deps.Log.Warn("cost book not written", slog.Any("error", err))
	}
}

// foldChance returns the chance with which a host folds in one round, so that
// the fleet folds about once per foldEvery.
func (a *App) foldChance() float64 {
	return float64(booksEvery) / float64(foldEvery) / float64(a.knownHostCount())
}

func (a *App) foldBooks() {
	ctx, cancel := context.WithTimeout(context.Background(), booksTimeout)
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
	others, stale := a.askBooks(ctx)
	books = append(books, others...)
	report.Stale = stale
	rows, err := a.bookStore.Report(ctx, books)
	if err != nil {
		a.deps.Log.Warn("stored cost books not read", slog.Any("error", err))
		report.Partial = true
		rows = sumOf(books)
	}
	report.Rows = rows
	return report, nil
}

func sumOf(books []cost.Book) []cost.Row {
	all := make([][]cost.Row, len(books))
	for i, b := range books {
		all[i] = b.Rows
	}
	return cost.Merge(all...)
}

// askBooks asks the other live hosts for their books and returns those that
// came and the hosts that did not answer.
func (a *App) askBooks(ctx context.Context) (books []cost.Book, silent []string) {
	if a.deps.Peers == nil {
		return nil, nil
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, askParallel)
	for _, m := range a.deps.Peers.Members() {
		if m.ID == a.deps.Peers.Self().ID || m.State == port.MemberGone {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			b, err := a.askBook(ctx, m.ID)
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

func (a *App) askBook(ctx context.Context, host string) (cost.Book, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := a.deps.Peers.Ask(ctx, host, kindBook, nil)
	if err != nil {
		return cost.Book{}, err
	}
	return cost.DecodeBook(reply)
}

// handleBook answers another host with this one's book.
func (a *App) handleBook(context.Context, port.Member, []byte) ([]byte, error) {
	data, err := a.bookStore.Current().Encode()
	if err != nil {
		return nil, verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "cost book cannot be encoded")
	}
	return data, nil
}
