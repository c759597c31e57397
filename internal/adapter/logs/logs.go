// Package logs writes log lines without ever holding up who logs: lines wait
// in a bounded queue for the output, and what does not fit is dropped, counted
// and reported.
package logs

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait for the output.
	maxQueuedLines = 4096
	// MaxLinesPerSecond bounds the lines written: ten for each request of a host
	// at the design size.
	MaxLinesPerSecond = 500
)

// Writer queues lines for an output. It is safe for concurrent use.
type Writer struct {
	lines           chan []byte
	dropped         atomic.Uint64
	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
	done            chan struct{}
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	second := time.Now().Unix()
	if w.currentSecond.Swap(second) != second {
		w.linesThisSecond.Store(0)
	}
	if w.linesThisSecond.Add(1) > MaxLinesPerSecond {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued, waiting at most for the time given.
func (w *Writer) Close(wait time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	told := uint64(0)
	for line := range w.lines {
		if _, err := out.Write(line); err != nil {
			w.dropped.Add(1)
		}
		if n := w.dropped.Load(); n > told {
			if _, err := fmt.Fprintf(out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n-told); err == nil {
				told = n
			}
		}
	}
}

// New returns a logger that writes JSON lines to the Writer.
func New(w *Writer) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo}))
}
