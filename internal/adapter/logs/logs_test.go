package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockingOutput blocks each write until unblock is closed.
type blockingOutput struct {
	unblock chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (o *blockingOutput) Write(p []byte) (int, error) {
	<-o.unblock
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *blockingOutput) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockingOutput{unblock: make(chan struct{})}
		w := NewWriter(out)
		const seconds = 20
		for range seconds {
			for range MaxLinesPerSecond {
				n, err := w.Write([]byte("line\n"))
				is.NoErr(err)
				is.Equal(n, 5) // the length of the line
			}
			<-time.After(time.Second)
		}
		// One line, which is being written, is neither queued nor dropped.
		is.True(w.Dropped() >= seconds*MaxLinesPerSecond-maxQueuedLines-1)
		close(out.unblock)
		w.Close(time.Second)
		is.True(strings.Contains(out.text(), "log lines dropped"))
		is.True(strings.Count(out.text(), "line\n") <= maxQueuedLines+1)
	})
}

func TestLineRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockingOutput{unblock: make(chan struct{})}
		close(out.unblock)
		w := NewWriter(out)
		for range MaxLinesPerSecond + 10 {
			_, _ = w.Write([]byte("line\n"))
		}
		synctest.Wait()
		is.Equal(w.Dropped(), uint64(10))
		<-time.After(time.Second)
		_, _ = w.Write([]byte("line\n"))
		is.Equal(w.Dropped(), uint64(10))
		w.Close(time.Second)
	})
}

func TestLinesAreJSON(t *testing.T) {
	is := is.New(t)
	out := &blockingOutput{unblock: make(chan struct{})}
	close(out.unblock)
	w := NewWriter(out)
	New(w).Info("started", "host", "edge-1")
	w.Close(time.Second)
	is.True(strings.Contains(out.text(), `"msg":"started","host":"edge-1"`))
}
