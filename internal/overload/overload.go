// Package overload detects that this host's processor does not keep up with its
// work.
package overload

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// sampleInterval is the time between two samples of the delay.
	sampleInterval = 50 * time.Millisecond
	// Threshold is the delay from which the host counts as overloaded: a good part
	// of the time in which the other hosts expect a response.
	Threshold = 100 * time.Millisecond
	// decay is the factor by which the delay decreases with each sample that is
	// shorter, so that the worst delay of the last half second counts.
	decay = 0.9
	// maxSample bounds a sample: a longer one is a pause of the host, after which its
	// processor may well keep up.
	maxSample = 300 * time.Millisecond
	// logInterval is the shortest time between two log messages.
	logInterval = time.Second
)

var delayBuckets = tally.DurationBuckets{
	time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond,
	300 * time.Millisecond, time.Second,
}

// Monitor measures the processing delay of this host: how late its timers fire.
// It is safe for concurrent use.
type Monitor struct {
	clock port.Clock
	log   *slog.Logger
	scope tally.Scope
	// delay is the decaying maximum of the samples, in nanoseconds.
	delay atomic.Int64
}

// New returns a Monitor without samples. scope may be nil.
func New(clock port.Clock, log *slog.Logger, scope tally.Scope) *Monitor {
	return &Monitor{clock: clock, log: log, scope: scope}
}

// Run takes samples until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	var loggedAt time.Time
	for ctx.Err() == nil {
		startedAt := m.clock.Now()
		port.Sleep(ctx, sampleInterval)
		now := m.clock.Now()
		m.record(now.Sub(startedAt) - sampleInterval)
		if m.Overloaded() && now.Sub(loggedAt) >= logInterval {
			loggedAt = now
			m.log.Warn("processor does not keep up", slog.Int64("delay_ms", m.Delay().Milliseconds()))
		}
	}
}

func (m *Monitor) record(sample time.Duration) {
	decayed := int64(decay * float64(m.delay.Load()))
	m.delay.Store(max(decayed, int64(min(sample, maxSample))))
	if m.scope != nil {
		m.scope.Histogram("processing_delay_seconds", delayBuckets).RecordDuration(max(0, sample))
	}
}

// Delay returns the worst recent delay, which decays to a third in half a second.
func (m *Monitor) Delay() time.Duration { return time.Duration(m.delay.Load()) }

// Overloaded reports whether Delay is at least Threshold.
func (m *Monitor) Overloaded() bool { return m.Delay() >= Threshold }
