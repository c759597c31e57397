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
