package standin

import (
	"context"
	"strconv"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// maxReports bounds the load reports kept for the lag.
const maxReports = 1024

type datedLoad struct {
	at   time.Time
	load port.LoadReport
}

// loadHistory keeps past load reports, so that an old one can be given out.
type loadHistory struct{ past []datedLoad }

func (h *loadHistory) add(at time.Time, l port.LoadReport) {
	if len(h.past) == maxReports {
		h.past = append(h.past[:0], h.past[maxReports/2:]...)
	}
	h.past = append(h.past, datedLoad{at: at, load: l})
}

// at returns the newest report that is not younger than at, or the oldest.
func (h *loadHistory) at(at time.Time) port.LoadReport {
	for i := len(h.past) - 1; i >= 0; i-- {
		if !h.past[i].at.After(at) {
			return h.past[i].load
		}
	}
	if len(h.past) == 0 {
		return port.LoadReport{}
	}
	return h.past[0].load
}

func (b *backend) loadLocked() port.LoadReport {
	return port.LoadReport{
		Incarnation: strconv.Itoa(b.incarnation),
		Running:     b.running,
		Waiting:     b.waiting.len(),
		Slots:       b.cfg.Slots,
		Cold:        b.cold,
		Draining:    b.leaving,
	}
}

func (b *backend) reportLocked() {
	b.reports.add(time.Now(), b.loadLocked())
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// Wait blocks until ok holds for the load and the counts, or ctx ends.
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

// Load returns the report as it is now, without the lag.
func (b *backend) Load() port.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loadLocked()
}

func (b *backend) laggedLoad() port.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.laggedLocked()
}

// laggedLocked returns the report to give out now.
func (b *backend) laggedLocked() port.LoadReport {
	l := b.loadLocked()
	if len(b.reports.past) > 0 {
		l = b.reports.at(time.Now().Add(-b.cfg.LoadLag))
	}
	if l.Cold && l.Incarnation == strconv.Itoa(b.incarnation) {
		b.announced = true
	}
	return l
}
