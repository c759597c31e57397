package cost_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

func TestBookEncodingRoundTrips(t *testing.T) {
	is := is.New(t)
	var rows []cost.Row
	for customer := range 310 {
		for stage := range 18 {
			rows = append(rows, cost.Row{Key: cost.Key{
				Customer: fmt.Sprint("customer-", customer), Pipeline: "guidebook",
				Stage: fmt.Sprint("stage-", stage), Cause: cost.CauseFirst,
			}, Attempts: 1000, Amount: 123_456_789})
		}
	}
	rows = cost.Merge(rows)
	data, err := cost.Book{ID: "b", Rows: rows}.Encode()
	is.NoErr(err)
	t.Logf("%d rows take %d bytes", len(rows), len(data))
	is.True(len(data) < port.MaxValueBytes/4)
	got, err := cost.DecodeBook(data)
	is.NoErr(err)
	is.Equal(got.Rows, rows)
	_, err = cost.DecodeBook([]byte{0xa1, 0x05, 0x81, 0x86, 9, 0, 0, 0, 0, 0}) // a row with string index 9 and no strings
	is.True(err != nil)
}

// testHost is one host process.
type testHost struct {
	ledger    *cost.Ledger
	bookStore *cost.BookStore
}

// TestWrittenCostsAreReportedExactlyOnce runs random sequences of recorded costs,
// writes, lost responses, long pauses, host restarts and archiving. Everything
// written before a restart must be in the report exactly once.
func TestWrittenCostsAreReportedExactlyOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 1, 60).Draw(rt, "steps")
		var err error
		synctest.Test(t, func(t *testing.T) { err = runBookStoreSteps(t.Context(), steps) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

type bookStoreRun struct {
	store *lossyStore
	hosts []testHost
	// lastID numbers books and attempts.
	lastID int
	// writtenAmount must be in the report; unwrittenAmounts, by host, were
	// recorded but not written yet.
	writtenAmount    int64
	unwrittenAmounts []int64
}

// runBookStoreSteps runs the steps, each of which stands for a host and an action,
// and checks the total of the final report.
func runBookStoreSteps(ctx context.Context, steps []int) error {
	r := &bookStoreRun{store: newLossyStore()}
	for range 3 {
		r.hosts = append(r.hosts, r.startHost())
		r.unwrittenAmounts = append(r.unwrittenAmounts, 0)
	}
	for _, step := range steps {
		r.runStep(ctx, step%len(r.hosts), step/len(r.hosts)%8)
	}
	r.store.loseNthResponse = 0 // the final writes and the report succeed
	for i := range r.hosts {
		r.writeBook(ctx, i)
	}
	rows, err := r.hosts[0].bookStore.Report(ctx, []cost.Book{r.hosts[0].bookStore.Current()})
	if err != nil {
		return err
	}
	if got := cost.Total(rows); got != r.writtenAmount {
		return errors.Errorf("report has %d, want %d", got, r.writtenAmount)
	}
	return nil
}

func (r *bookStoreRun) startHost() testHost {
	l := cost.NewLedger(port.SystemClock{})
	newID := func() string { r.lastID++; return fmt.Sprint("book-", r.lastID) }
	return testHost{ledger: l, bookStore: cost.NewBookStore(r.store, port.SystemClock{}, l, newID)}
}

// runStep performs one of eight actions on a host.
func (r *bookStoreRun) runStep(ctx context.Context, host, action int) {
	switch action {
	case 0, 1:
		r.recordCall(host)
	case 2, 3:
		r.writeBook(ctx, host)
	case 4:
		r.store.loseNthResponse = 1 + host
	case 5:
		time.Sleep(70 * time.Minute) // the books written before become stale
	case 6:
		// A lost response or a conflict ends this call; the next one resumes.
		_ = r.hosts[host].bookStore.ArchiveStaleBooks(ctx)
	case 7:
		r.writeBook(ctx, host)
		r.hosts[host] = r.startHost()
	}
}

// recordCall records the cost of one call on the host.
func (r *bookStoreRun) recordCall(host int) {
	r.lastID++
	id := fmt.Sprint("attempt-", r.lastID)
	l := r.hosts[host].ledger
	l.Begin(id, release.Endpoint{}, cost.Key{Customer: "c"}, release.Price{PerCall: 7})
	r.unwrittenAmounts[host] += l.Settle(id, cost.CauseFirst, port.Usage{Calls: 1})
}

// writeBook writes the host's book until the store holds all of its rows.
func (r *bookStoreRun) writeBook(ctx context.Context, host int) {
	for {
		before := r.hosts[host].bookStore.Current()
		err := r.hosts[host].bookStore.Write(ctx)
		after := r.hosts[host].bookStore.Current()
		if err == nil && before.ID == after.ID && r.store.hasBook(before) {
			break
		}
	}
	r.writtenAmount += r.unwrittenAmounts[host]
	r.unwrittenAmounts[host] = 0
}
