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

// stuck is an output that takes nothing until it is freed.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *stuck) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

func TestAReaderThatHasStoppedHoldsUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stuck{free: make(chan struct{})}
		w := NewWriter(out)
		const seconds = 20
		for range seconds {
			for range LinesPerSecond {
				n, err := w.Write([]byte("line\n"))
				is.NoErr(err)
				is.Equal(n, 5)
			}
			<-time.After(time.Second)
		}
		is.True(w.Dropped() >= seconds*LinesPerSecond-queueLines-1)
		close(out.free)
		w.Close(time.Second)
		is.True(strings.Contains(out.text(), "log lines dropped"))
		is.True(strings.Count(out.text(), "line\n") <= queueLines+1)
	})
}

func TestTheRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stuck{free: make(chan struct{})}
		close(out.free)
		w := NewWriter(out)
		for range LinesPerSecond + 10 {
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
	out := &stuck{free: make(chan struct{})}
	close(out.free)
	w := NewWriter(out)
	New(w).Info("started", "host", "edge-1")
	w.Close(time.Second)
	is.True(strings.Contains(out.text(), `"msg":"started","host":"edge-1"`))
}
