package overload

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// A host that was held up once counts as overloaded for a moment, not for good.
func TestDelayDecaysAfterTheHostKeepsUpAgain(t *testing.T) {
	is := is.New(t)
	m := New(port.SystemClock{}, slog.New(slog.DiscardHandler), nil)
	is.True(!m.Overloaded())
	m.record(250 * time.Millisecond)
	is.True(m.Overloaded())
	m.record(0)
	is.True(m.Overloaded())
	for range 10 { // half a second of samples
		m.record(0)
	}
	is.True(!m.Overloaded())
}

// TestPausedHostIsNotOverloadedForLong guards against a host that refuses work for seconds
// after it was frozen, though its processor is idle.
func TestPausedHostIsNotOverloadedForLong(t *testing.T) {
	is := is.New(t)
	for _, pause := range []time.Duration{time.Second, 4 * time.Second, time.Minute} {
		m := New(port.SystemClock{}, slog.New(slog.DiscardHandler), nil)
		m.record(pause)
		is.True(m.Overloaded()) // requests have piled up
		for range int(600 * time.Millisecond / sampleInterval) {
			m.record(0)
		}
		is.True(!m.Overloaded())
	}
}
