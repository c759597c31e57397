package app

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// topicLeaving is the topic of gossip records that say whether an endpoint is
// leaving. The key is the endpoint's id, the version the publisher's Unix time in
// milliseconds.
const topicLeaving = "endpoint.leaving"

// Values of records of topicLeaving.
const (
	valueLeaving = "leaving"
	valueStaying = "staying"
)

// leavingRecordTTL is the time after which a record of topicLeaving expires.
const leavingRecordTTL = 10 * time.Minute

// Timing and bounds of probing leaving endpoints.
const (
	// probeInterval is the pause between two rounds of one host.
	probeInterval = time.Second
	// probeTimeout bounds one whole round, of up to maxProbesPerRound probes one
	// after the other. In probeEndpoint it bounds a single probe, for the guard
	// against requests that crash endpoints.
	probeTimeout = 500 * time.Millisecond
	// maxProbesPerRound bounds the endpoints that one host probes in one round.
	maxProbesPerRound = 8
)

// hostListReadsPerInterval bounds the mean number of reads of the host list by all
// hosts together in each Config.HostListInterval. With more hosts than that, each
// host reads it less often.
const hostListReadsPerInterval = 8

// subscribeLeaving broadcasts which endpoints report that they are leaving, and
// applies what other hosts broadcast. Call it before gossip is started.
func (a *App) subscribeLeaving() {
	a.dataPlane.picker.OnLeaving(a.broadcastLeaving)
	if a.deps.Gossip == nil {
		return
	}
	a.deps.Gossip.Subscribe(topicLeaving, func(r port.GossipRecord) {
		a.dataPlane.picker.SetLeaving(r.Key, string(r.Value) == valueLeaving)
	})
}

// broadcastLeaving publishes to the other hosts that an endpoint has reported that
// it is leaving, or that it is leaving no longer. Both are logged with the same
// message; the attribute "leaving" tells them apart.
func (a *App) broadcastLeaving(endpointID string, leaving bool) {
	a.deps.Log.Info("endpoint leaving", slog.String("endpoint", endpointID), slog.Bool("leaving", leaving))
	if a.deps.Gossip == nil {
		return
	}
	value := valueStaying
	if leaving {
		value = valueLeaving
	}
	now := a.deps.Clock.Now()
	a.deps.Gossip.Publish(port.GossipRecord{
		Topic:     topicLeaving,
		Key:       endpointID,
		Version:   uint64(now.UnixMilli()),
		Value:     []byte(value),
		ExpiresAt: now.Add(leavingRecordTTL),
	}, port.ScopeFleet)
}

// probeLeaving reads the load of endpoints that have reported that they are
// leaving, until ctx ends. They get no work, so no response would report that
// they are back. All hosts together probe each endpoint about once per
// probeInterval, as far as maxProbesPerRound and probeTimeout allow.
func (a *App) probeLeaving(ctx context.Context) {
	reader, ok := a.deps.AttemptClient.(port.LoadReader)
	if !ok {
		a.deps.Log.Warn("leaving endpoints are not probed: the endpoint client cannot read load reports")
		return
	}
	for ctx.Err() == nil {
		a.probeRound(ctx, reader)
		port.Sleep(ctx, probeInterval)
	}
}

// probeRound probes each leaving endpoint, one after the other, with a probability of
// one in the number of known hosts.
func (a *App) probeRound(ctx context.Context, reader port.LoadReader) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	remaining := maxProbesPerRound
	for _, e := range a.dataPlane.picker.LeavingEndpoints() {
		if remaining == 0 || rand.IntN(a.knownHostCount()) > 0 {
			continue
		}
		remaining--
		load, err := reader.Load(ctx, e)
		if err == nil {
			a.dataPlane.picker.RecordReport(e.ID, load)
		}
	}
}

// followHostList reads the platform's host list and applies it, until ctx ends.
// While the list cannot be read, the last one stays in force.
func (a *App) followHostList(ctx context.Context) {
	if a.deps.HostList == nil {
		return
	}
	for ctx.Err() == nil {
		a.readHostList(ctx)
		rounds := (a.knownHostCount() + hostListReadsPerInterval - 1) / hostListReadsPerInterval
		port.Sleep(ctx, jittered(a.cfg.HostListInterval*time.Duration(rounds)))
	}
}

// readHostList reads the host list once. It applies it to the store's rate limits,
// the Fleet and Snapshot.Leaving, the endpoints and hosts that are leaving.
func (a *App) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.HostListInterval)
	defer cancel()
	listed, err := a.deps.HostList.Hosts(ctx)
	if err != nil {
		a.deps.Log.Warn("cannot read the host list", slog.Any("error", err))
		return
	}
	a.adjustStoreRates(listed)
	if a.deps.Fleet != nil {
		a.deps.Fleet.ApplyHostList(listed)
	}
	leaving := map[string]bool{}
	for _, h := range listed {
		if h.Leaving {
			leaving[h.ID] = true
		}
	}
	if !maps.Equal(leaving, a.Snapshot().Leaving) {
		a.controlLoop.send(func(s *Snapshot, _ time.Time) { s.Leaving = leaving })
	}
}

// adjustStoreRates adjusts this host's rate limits on the store to the number of
// hosts: the listed ones that are not endpoints or the known ones, whichever are
// more. Without a release endpoints cannot be told apart, so nothing changes.
func (a *App) adjustStoreRates(listed []port.ListedHost) {
	r := a.Snapshot().Release
	if a.deps.SetFleetSize == nil || r == nil {
		return
	}
	n := 0
	for _, h := range listed {
		if _, isEndpoint := r.Endpoint(h.ID); !isEndpoint {
			n++
		}
	}
	a.deps.SetFleetSize(max(n, a.knownHostCount()))
}

// knownHostCount returns the number of known hosts, including this one and those
// that are gone, at least 1.
func (a *App) knownHostCount() int {
	if a.deps.Peers == nil {
		return 1
	}
	return max(len(a.deps.Peers.Members()), 1)
}
