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

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

func newRecord(id string, kind port.AuditKind, subject string) port.AuditRecord {
	return port.AuditRecord{ID: id, Time: time.Now(), Kind: kind, Subject: subject, Actor: "ana", Outcome: "accepted"}
}

// readIDs returns the IDs of the stored records that match q, newest first, as read by
// a host that has no records of its own.
func readIDs(t *testing.T, store port.Store, q Query) []string {
	t.Helper()
	trail := New("reader", store, discardLogger()).Read(t.Context(), q)
	var out []string
	for _, r := range trail.Records {
		out = append(out, r.ID)
	}
	return out
}

// startLog runs the log until the returned function is called, which also waits for the
// last write.
func startLog(l *Log) (stop func()) {
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

func TestRecordsAreBufferedDuringOutageAndWrittenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := standin.NewMemStore(port.SystemClock{})
		l := New("entry-1", store, discardLogger())
		stop := startLog(l)
		store.SetOutage(true)
		l.Record(newRecord("a", port.AuditRelease, "note-1"))
		l.Record(newRecord("b", port.AuditLease, "kranj"))
		time.Sleep(time.Hour)
		trail := l.Read(t.Context(), Query{})
		is.True(trail.Partial)
		is.Equal(len(trail.Records), 2) // the host's pending records are included
		store.SetOutage(false)
		store.DropResponses(1)     // the first write takes effect, but its response is lost
		time.Sleep(2 * maxBackoff) // the next attempt fails by the lost response, the one after it succeeds
		is.Equal(len(readIDs(t, store, Query{})), 2)
		stop()
	})
}

// Several hosts write to each segment at the same time. No record is lost.
func TestHostsSharingSegmentKeepAllRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := standin.NewMemStore(port.SystemClock{})
		var logs []*Log
		var stops []func()
		for i := range 2 * segmentCount {
			l := New(fmt.Sprintf("entry-%d", i), store, discardLogger())
			logs = append(logs, l)
			stops = append(stops, startLog(l))
		}
		for i, l := range logs {
			l.Record(newRecord(fmt.Sprint(i), port.AuditOrder, "engine"))
		}
		time.Sleep(time.Minute)
		is.Equal(len(readIDs(t, store, Query{})), len(logs))
		for _, stop := range stops {
			stop()
		}
	})
}

func TestPendingAndStoredRecordsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := standin.NewMemStore(port.SystemClock{})
		l := New("entry-1", store, discardLogger())
		for i := range maxPendingRecords + 10 {
			l.Record(newRecord(fmt.Sprintf("%05d", i), port.AuditOrder, "engine"))
			time.Sleep(time.Millisecond) // the records have different times
		}
		is.Equal(l.Read(t.Context(), Query{}).Dropped, 10)
		stop := startLog(l)
		time.Sleep(time.Minute)
		stop()
		got := readIDs(t, store, Query{})
		is.Equal(len(got), maxSegmentRecords)
		is.Equal(got[0], fmt.Sprintf("%05d", maxPendingRecords+9)) // the newest records are kept
	})
}

func TestReadFiltersByKindSubjectAndTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := standin.NewMemStore(port.SystemClock{})
		l := New("entry-1", store, discardLogger())
		l.Record(newRecord("old", port.AuditRelease, "note-1"))
		time.Sleep(time.Hour)
		l.Record(newRecord("new", port.AuditRelease, "note-1"))
		l.Record(newRecord("other", port.AuditLease, "kranj"))
		stop := startLog(l)
		stop() // the last flush writes the pending records
		is.Equal(readIDs(t, store, Query{Kind: port.AuditLease}), []string{"other"})
		is.Equal(readIDs(t, store, Query{Subject: "note-1"}), []string{"new", "old"})
		is.Equal(readIDs(t, store, Query{Subject: "note-1", Since: time.Now().Add(-time.Minute)}), []string{"new"})
	})
}
