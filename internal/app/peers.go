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
	// topicRelease and keyRelease name the gossip record that carries the release
	// in force. Its version is the release's; its value is the release as encoded
	// in the store, compressed with DEFLATE.
	topicRelease = "release"
	keyRelease   = "current"
	// topicLeaseHolder is the topic of gossip records that name the holder of a
	// zone's lease. The key is the zone, the version the fencing token and the
	// value the host's id.
	topicLeaseHolder = "zone.holder"
	// leaveBroadcastTimeout bounds how long a stopping host waits until its
	// announcement that it is leaving is handed to the transport.
	leaveBroadcastTimeout = 500 * time.Millisecond
)

// subscribeReleases subscribes to the releases that hosts, this one included,
// publish by gossip. Call it before Fleet.Run.
func (a *App) subscribeReleases() {
	if a.deps.Fleet == nil {
		return
	}
	a.deps.Fleet.Subscribe(topicRelease, func(r port.GossipRecord) {
		stored, err := inflateRelease(r.Value)
		if err != nil {
			a.deps.Log.Error("cannot decode a release from a peer", slog.Any("error", err))
			return
		}
		a.peerRelease = &stored
	})
}

// runFleet runs fleet.Fleet on the control goroutine until ctx ends. After each
// round of messages and tasks it applies the release received by gossip, if any,
// and sets the version in force that this host announces.
func (a *App) runFleet(ctx context.Context) {
	if a.deps.Fleet == nil {
		return
	}
	a.deps.Fleet.Run(ctx, func(fn func(now time.Time)) {
		a.controlLoop.send(func(s *Snapshot, now time.Time) {
			fn(now)
			if a.peerRelease != nil {
				releaseEvent(*a.peerRelease)(s, now)
				a.peerRelease = nil
			}
			if s.Release != nil {
				a.deps.Fleet.SetRelease(now, s.Release.Version)
			}
		})
	})
}

// broadcastRelease publishes the release read from the store to the other hosts,
// unless this host already knows a gossip record of this version or a newer one.
// value is the encoded form of stored.
func (a *App) broadcastRelease(stored release.StoredRelease, value []byte) {
	if a.deps.Gossip == nil {
		return
	}
	if known, ok := a.deps.Gossip.Get(topicRelease, keyRelease); ok && known.Version >= stored.Release.Version {
		return
	}
	deflated, err := deflateRelease(value)
	if err != nil {
		a.deps.Log.Error("cannot compress the release", slog.Any("error", err))
		return
	}
	a.deps.Gossip.Publish(port.GossipRecord{Topic: topicRelease, Key: keyRelease, Version: stored.Release.Version, Value: deflated}, port.ScopeFleet)
}

// deflateRelease compresses an encoded release.
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

// inflateRelease decompresses and decodes a release. A decompressed value of more
// than port.MaxValueBytes, which the store would not hold, is an error.
func inflateRelease(value []byte) (release.StoredRelease, error) {
	r := flate.NewReader(bytes.NewReader(value))
	raw, err := io.ReadAll(io.LimitReader(r, port.MaxValueBytes+1))
	if err != nil {
		return release.StoredRelease{}, errors.Wrap(err, "inflate release")
	}
	if len(raw) > port.MaxValueBytes {
		return release.StoredRelease{}, errors.New("inflate release: larger than the store's value limit")
	}
	return release.DecodeStored(raw)
}

// broadcastLeaseHolder announces to the other hosts that this host holds its
// zone's lease under the fencing token.
func (a *App) broadcastLeaseHolder(token uint64) {
	if a.deps.Gossip == nil {
		return
	}
	a.deps.Gossip.Publish(port.GossipRecord{Topic: topicLeaseHolder, Key: a.cfg.AvailabilityZone, Version: token, Value: []byte(a.cfg.Host)}, port.ScopeFleet)
}

// leaseHolderFrom returns a function that returns the id of the host that last
// announced that it holds a zone's lease; false if none has. It may hold it no more.
func leaseHolderFrom(gossip port.Gossip) func(zone string) (string, bool) {
	return func(zone string) (string, bool) {
		r, ok := gossip.Get(topicLeaseHolder, zone)
		return string(r.Value), ok
	}
}

// leaveFleet announces to the other hosts that this one is leaving. It waits at
// most leaveBroadcastTimeout.
func (a *App) leaveFleet() {
	if a.deps.Fleet == nil {
		return
	}
	ctx, cancel := context.WithTimeout(a.runCtx, leaveBroadcastTimeout)
	defer cancel()
	a.deps.Fleet.Leave(ctx)
}
