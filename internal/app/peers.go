package app

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// topicRelease is the topic of the record that carries the release in
	// force; the value is the stored form, deflated.
	topicRelease = "release"
	keyRelease   = "current"
	// topicHolder is the topic of records on who holds a zone's lease. The key
	// is the zone, the version the fencing number, the value the host's id.
	topicHolder = "zone.holder"
	// leaveTimeout bounds telling the other hosts that this one leaves.
	leaveTimeout = 500 * time.Millisecond
)

// listenReleases takes over releases that other hosts have in force. Call it
// before the fleet is started.
func (a *App) listenReleases() {
	if a.deps.Fleet == nil {
		return
	}
	a.deps.Fleet.Subscribe(topicRelease, func(r port.GossipRecord) {
		stored, err := inflateRelease(r.Value)
		if err != nil {
			a.deps.Log.Error("release of a peer cannot be read", slog.Any("error", err))
			return
		}
		a.heard = &stored
	})
}

// runFleet lets the control goroutine run the fleet until ctx ends.
func (a *App) runFleet(ctx context.Context) {
	if a.deps.Fleet == nil {
		return
	}
	a.deps.Fleet.Run(ctx, func(fn func(now time.Time)) {
		a.control.send(func(s *Snapshot, now time.Time) {
			fn(now)
			if a.heard != nil {
				adopt(*a.heard)(s, now)
				a.heard = nil
			}
			if s.Release != nil {
				a.deps.Fleet.SetRelease(now, s.Release.Version)
			}
		})
	})
}

// shareRelease tells the other hosts what the store holds.
func (a *App) shareRelease(stored release.StoredRelease, value []byte) {
	if a.deps.Board == nil {
		return
	}
	if known, ok := a.deps.Board.Get(topicRelease, keyRelease); ok && known.Version >= stored.Release.Version {
		return
	}
	deflated, err := deflateRelease(value)
	if err != nil {
		a.deps.Log.Error("release cannot be shared", slog.Any("error", err))
		return
	}
	a.deps.Board.Publish(port.GossipRecord{Topic: topicRelease, Key: keyRelease, Version: stored.Release.Version, Value: deflated}, port.ScopeFleet)
}

func deflateRelease(value []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "deflate release")
	}
	if _, err := w.Write(value); err != nil {
		return nil, errors.Wrap(err, "deflate release")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "deflate release")
	}
	return out.Bytes(), nil
}

// inflateRelease reads a shared release of at most the store's value size.
func inflateRelease(value []byte) (release.StoredRelease, error) {
	r := flate.NewReader(bytes.NewReader(value))
	raw, err := io.ReadAll(io.LimitReader(r, port.MaxValueBytes+1))
	if err != nil {
		return release.StoredRelease{}, errors.Wrap(err, "inflate release")
	}
	if len(raw) > port.MaxValueBytes {
		return release.StoredRelease{}, errors.New("inflate release: too large")
	}
	return release.DecodeStored(raw)
}

// tellHolder tells the other hosts that this host holds its zone's lease
// under the fencing number.
func (a *App) tellHolder(fence uint64) {
	if a.deps.Board == nil {
		return
	}
	a.deps.Board.Publish(port.GossipRecord{Topic: topicHolder, Key: a.cfg.AvailabilityZone, Version: fence, Value: []byte(a.cfg.Host)}, port.ScopeFleet)
}

// holderOf returns the host that last told that it holds a zone's lease.
func holderOf(board port.Gossip) func(zone string) (string, bool) {
	return func(zone string) (string, bool) {
		r, ok := board.Get(topicHolder, zone)
		return string(r.Value), ok
	}
}

// leaveFleet tells the other hosts that this one is leaving.
func (a *App) leaveFleet() {
	if a.deps.Fleet == nil {
		return
	}
	ctx, cancel := context.WithTimeout(a.life, leaveTimeout)
	defer cancel()
	a.deps.Fleet.Leave(ctx)
}
