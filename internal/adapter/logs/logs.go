// Package logs writes log lines without blocking the caller: lines are buffered in
// a queue of limited size, and lines that do not fit are dropped, counted and
// reported.
package logs

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines limits the lines that wait to be written to the output.
	maxQueuedLines = 4096
	// MaxLinesPerSecond limits the lines accepted per second: ten per request that a
	// host handles at the design size.
	MaxLinesPerSecond = 500
)

// Writer buffers lines for an output and writes them on its own goroutine. Write
// and Dropped are safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	// currentSecond is the Unix time of the last Write, in seconds. linesThisSecond
	// counts the lines of that second, also those dropped.
	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
	// done is closed when run has returned.
	done chan struct{}
}

// NewWriter returns a Writer to out. The caller must Close it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues one line, or drops it if the queue is full or the rate limit is
// exceeded. It does not block and always returns a nil error.
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

// Dropped returns the number of lines dropped so far, including those that the output
// returned an error for.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close waits until the queued lines are written, for at most timeout. Call it once, and
// do not call Write after it.
func (w *Writer) Close(timeout time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes the queued lines to out until Close. After each line it writes the number
// of lines dropped since the last such report, if any.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	reported := uint64(0)
	for line := range w.lines {
		if _, err := out.Write(line); err != nil {
			w.dropped.Add(1)
		}
		if n := w.dropped.Load(); n > reported {
			if _, err := fmt.Fprintf(out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n-reported); err == nil {
				reported = n
			}
		}
	}
}

// New returns a logger that writes messages of level Info and above to w, as JSON lines.
func New(w *Writer) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo}))
}
