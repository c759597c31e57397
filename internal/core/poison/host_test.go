package poison_test

import (
	"log/slog"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pimentorill/pimentorill/internal/core/poison"
)

// fleetHost is a host. Its clock, which differs from those of others, stands still while
// it is frozen.
type fleetHost struct {
	*fleet
	id     string
	zone   int
	offset time.Duration
	ledger *poison.Ledger
	// starts counts the starts of the host.
	starts         int
	neighbours     []*fleetHost
	frozen, killed bool
	frozenAt       time.Duration
	// delayed holds what it does once it is no longer frozen.
	delayed        []func()
	disturbedUntil time.Duration
	spreading      bool
	blamed         map[poison.Trait]bool
	// silent holds the endpoints that the host knows to be silent.
	silent map[*fleetEndpoint]bool
}

// Now implements port.Clock.
func (h *fleetHost) Now() time.Time {
	now := h.now
	if h.frozen {
		now = h.frozenAt
	}
	return time.Unix(100_000, 0).Add(now + h.offset)
}

// start starts the host without knowledge but for the entries in the store.
func (h *fleetHost) start() {
	h.starts++
	h.spreading, h.blamed, h.silent = false, make(map[poison.Trait]bool), make(map[*fleetEndpoint]bool)
	h.ledger = poison.New(poison.Config{Host: h.id, Clock: h, Log: slog.New(slog.DiscardHandler), OnChange: h.onChange})
	for _, t := range h.badParts {
		if at, ok := h.store[t]; ok && h.now-at > time.Second {
			h.ledger.Restore(t, h.now-at)
		}
	}
}

func (h *fleetHost) disturb(length time.Duration) {
	h.disturbedUntil = max(h.disturbedUntil, h.now+length+contactTime)
}

func (h *fleetHost) restart() {
	if h.frozen || h.killed {
		return
	}
	h.disturb(0)
	h.start()
}

// stopFor freezes the host, or kills it.
func (h *fleetHost) stopFor(length time.Duration, kill bool) {
	h.disturb(length)
	h.frozen, h.killed, h.frozenAt = !kill, kill, h.now
	h.after(time.Second, h.updateNeighbours)
	h.after(length, func() {
		h.frozen, h.offset = false, h.offset-(h.now-h.frozenAt)
		delayed := h.delayed
		h.delayed = nil
		for _, run := range delayed {
			h.do(run)
		}
		h.after(time.Second, h.updateNeighbours)
	})
}

// do has the host do something once it is not frozen.
func (h *fleetHost) do(run func()) {
	switch {
	case h.frozen:
		h.delayed = append(h.delayed, run)
	case !h.killed:
		run()
	}
}

// own returns a function that has this start of the host do something.
func (h *fleetHost) own(run func()) func() {
	start := h.starts
	return func() {
		h.do(func() {
			if h.starts == start {
				run()
			}
		})
	}
}

// onChange tells the neighbours what is new, and the store what is blamed.
func (h *fleetHost) onChange() {
	if !h.spreading {
		h.spreading = true
		h.after(spreadDelay, h.own(func() {
			h.spreading = false
			for _, n := range h.neighbours {
				h.tell(n, true)
			}
		}))
	}
	before := h.blamed
	h.blamed = make(map[poison.Trait]bool)
	for _, b := range h.ledger.Blames() {
		h.blamed[b.Trait] = true
		if !slices.Contains(h.badParts, b.Trait) {
			h.soundBlamed[b.Trait] = true
		} else if _, known := h.firstBlamed[b.Trait]; !known {
			crashes := 0
			for _, c := range h.crashes {
				if c.part == b.Trait {
					crashes++
				}
			}
			h.firstBlamed[b.Trait] = crashes
			if h.stop {
				h.stopFor(8*time.Second, h.rng.IntN(2) == 0)
			}
		}
		if !before[b.Trait] && !h.storeless && !h.isCut(h.zone, 0) {
			h.after(h.between(20*time.Millisecond, 200*time.Millisecond), h.own(func() {
				if _, ok := h.store[b.Trait]; !ok {
					h.store[b.Trait] = h.now
				}
			}))
		}
	}
}

// ping exchanges reports with the monitored hosts.
func (h *fleetHost) ping() {
	h.after(500*time.Millisecond, h.ping)
	if h.frozen || h.killed {
		return
	}
	for _, n := range h.neighbours[:min(len(h.neighbours), pingTargets)] {
		h.tell(n, false)
	}
}

// evidence is what hosts tell each other.
type evidence struct {
	Reports []poison.Report
	Alive   []poison.AliveReport
}

func (h *fleetHost) evidence(fresh bool) evidence {
	return evidence{h.ledger.Reports(fresh), h.ledger.AliveReports(fresh)}
}

func (e evidence) empty() bool { return len(e.Reports)+len(e.Alive) == 0 }

// tell exchanges reports with another host.
func (h *fleetHost) tell(other *fleetHost, fresh bool) {
	own := h.evidence(fresh)
	if fresh && own.empty() {
		return
	}
	h.transmit(h, other, own, func() {
		h.transmit(other, h, other.evidence(fresh), func() {})
	})
}

func (f *fleet) transmit(from, to *fleetHost, e evidence, then func()) {
	if !e.empty() {
		encoded, err := cbor.Marshal(e)
		if err != nil {
			panic(err)
		}
		f.messages++
		f.bytes += len(encoded)
	}
	if f.rng.IntN(50) == 0 || f.isCut(from.zone, to.zone) {
		return
	}
	f.after(f.between(time.Millisecond, 30*time.Millisecond), func() {
		to.do(func() {
			to.ledger.MergeAlive(e.Alive)
			to.ledger.Merge(e.Reports)
			then()
		})
	})
}
