package audit

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

func record(id string, kind port.AuditKind, subject string) port.AuditRecord {
	return port.AuditRecord{ID: id, Time: time.Now(), Kind: kind, Subject: subject, Actor: "ana", Outcome: "accepted"}
}

// ids returns the ids of the records that a new host reads.
func ids(t *testing.T, store port.Store, q Query) []string {
	t.Helper()
	trail := New("reader", store, quiet()).Read(t.Context(), q)
	var out []string
	for _, r := range trail.Records {
		out = append(out, r.ID)
	}
	return out
}

// start runs the log until the returned function is called.
func start(l *Log) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func TestRecordsWaitForTheStoreAndAreWrittenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := standin.NewMemStore(port.SystemClock{})
		l := New("entry-1", store, quiet())
		stop := start(l)
		store.SetOutage(true)
		l.Record(record("a", port.AuditRelease, "note-1"))
		l.Record(record("b", port.AuditLease, "kranj"))
		time.Sleep(time.Hour)
		trail := l.Read(t.Context(), Query{})
		is.True(trail.Partial)
		is.Equal(len(trail.Records), 2) // this host still shows its own
		store.SetOutage(false)
		store.DropResponses(1) // the first write takes effect, its answer is lost
		time.Sleep(2 * maxBackoff)
		is.Equal(len(ids(t, store, Query{})), 2)
		stop()
	})
}

func TestTwoHostsShareASegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := standin.NewMemStore(port.SystemClock{})
		var logs []*Log
		var stops []func()
		for i := range 2 * segments {
			l := New(fmt.Sprintf("entry-%d", i), store, quiet())
			logs = append(logs, l)
			stops = append(stops, start(l))
		}
		for i, l := range logs {
			l.Record(record(fmt.Sprint(i), port.AuditOrder, "engine"))
		}
		time.Sleep(time.Minute)
		is.Equal(len(ids(t, store, Query{})), len(logs))
		for _, stop := range stops {
			stop()
		}
	})
}

func TestTheTrailIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := standin.NewMemStore(port.SystemClock{})
		l := New("entry-1", store, quiet())
		for i := range memoryLength + 10 {
			l.Record(record(fmt.Sprintf("%05d", i), port.AuditOrder, "engine"))
			time.Sleep(time.Millisecond)
		}
		is.Equal(l.Read(t.Context(), Query{}).Dropped, 10)
		stop := start(l)
		time.Sleep(time.Minute)
		stop()
		got := ids(t, store, Query{})
		is.Equal(len(got), segmentLength)
		is.Equal(got[0], fmt.Sprintf("%05d", memoryLength+9)) // the newest stay
	})
}

func TestReadChoosesByKindSubjectAndAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := standin.NewMemStore(port.SystemClock{})
		l := New("entry-1", store, quiet())
		l.Record(record("old", port.AuditRelease, "note-1"))
		time.Sleep(time.Hour)
		l.Record(record("new", port.AuditRelease, "note-1"))
		l.Record(record("other", port.AuditLease, "kranj"))
		stop := start(l)
		stop() // the last flush writes what waits
		is.Equal(ids(t, store, Query{Kind: port.AuditLease}), []string{"other"})
		is.Equal(ids(t, store, Query{Subject: "note-1"}), []string{"new", "old"})
		is.Equal(ids(t, store, Query{Subject: "note-1", Since: time.Now().Add(-time.Minute)}), []string{"new"})
	})
}
