package standin

import (
	"context"
	"strconv"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// maxLoadReports bounds the history of load reports; a full history drops its
// older half.
const maxLoadReports = 1024

type timedLoad struct {
	at   time.Time
	load port.LoadReport
}

// loadHistory keeps past load reports, oldest first, so that a delayed one can be
// returned. The backend's mu guards it.
type loadHistory struct{ reports []timedLoad }

func (h *loadHistory) add(at time.Time, l port.LoadReport) {
	if len(h.reports) == maxLoadReports {
		h.reports = append(h.reports[:0], h.reports[maxLoadReports/2:]...)
	}
	h.reports = append(h.reports, timedLoad{at: at, load: l})
}

// at returns the newest report made at or before the time at, or else the oldest.
func (h *loadHistory) at(at time.Time) port.LoadReport {
	for i := len(h.reports) - 1; i >= 0; i-- {
		if !h.reports[i].at.After(at) {
			return h.reports[i].load
		}
	}
	if len(h.reports) == 0 {
		return port.LoadReport{}
	}
	return h.reports[0].load
}

func (b *backend) loadLocked() port.LoadReport {
	return port.LoadReport{
		Incarnation: strconv.Itoa(b.incarnation),
		Running:     b.running,
		Waiting:     b.waiting.len(),
		Slots:       b.cfg.Slots,
		Cold:        b.cold,
		Draining:    b.draining,
	}
}

// recordLoadLocked adds the current load to the history and wakes Wait.
func (b *backend) recordLoadLocked() {
	b.loadHistory.add(time.Now(), b.loadLocked())
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// Wait blocks until ok holds for the load and the counters, or ctx ends. It calls
// ok with the backend locked, at first and after each change of the load; a refused
// call changes only the counters and does not wake it.
func (b *backend) Wait(ctx context.Context, ok func(port.LoadReport, Stats) bool) error {
	for {
		b.mu.Lock()
		if ok(b.loadLocked(), b.stats) {
			b.mu.Unlock()
			return nil
		}
		if b.changed == nil {
			b.changed = make(chan struct{})
		}
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Load returns the current load report, without the delay.
func (b *backend) Load() port.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loadLocked()
}

func (b *backend) delayedLoad() port.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.delayedLoadLocked()
}

// delayedLoadLocked returns the load report for callers, LoadReportDelay old. If
// the report shows the cold start, it sets coldReported.
func (b *backend) delayedLoadLocked() port.LoadReport {
	l := b.loadLocked()
	if len(b.loadHistory.reports) > 0 {
		l = b.loadHistory.at(time.Now().Add(-b.cfg.LoadReportDelay))
	}
	if l.Cold && l.Incarnation == strconv.Itoa(b.incarnation) {
		b.coldReported = true
	}
	return l
}
