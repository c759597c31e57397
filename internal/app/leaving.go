package app

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// topicLeaving is the topic of records on endpoints that leave. The key is the
// endpoint's id, the version the time in milliseconds.
const topicLeaving = "endpoint.leaving"

// The values of these records.
const (
	valueLeaving = "leaving"
	valueStaying = "staying"
)

// leavingRecordTTL is how long hosts keep such a record.
const leavingRecordTTL = 10 * time.Minute

// Timing and bounds of probing endpoints that leave.
const (
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	// maxProbesPerRound bounds the endpoints asked in one round.
	maxProbesPerRound = 8
)

// hostListReadsPerInterval is the number of hosts that make up one reading of the host
// list in each interval: in a larger fleet each host reads less often.
const hostListReadsPerInterval = 8

// subscribeLeaving takes in what other hosts have heard of endpoints that leave.
// Call it before the board is started.
func (a *App) subscribeLeaving() {
	a.dataPlane.picker.OnLeaving(a.broadcastLeaving)
	if a.deps.Gossip == nil {
		return
	}
	a.deps.Gossip.Subscribe(topicLeaving, func(r port.GossipRecord) {
		a.dataPlane.picker.SetLeaving(r.Key, string(r.Value) == valueLeaving)
	})
}

// broadcastLeaving tells the other hosts what an endpoint has said of itself.
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

// probeLeaving asks endpoints that have said that they leave for their load,
// until ctx ends: since they get no work, no answer would say that they are
// back. All hosts together ask about once per probeInterval.
func (a *App) probeLeaving(ctx context.Context) {
	reader, ok := a.deps.AttemptClient.(port.LoadReader)
	if !ok {
		a.deps.Log.Warn("endpoints cannot be asked for their load")
		return
	}
	for ctx.Err() == nil {
		a.probeRound(ctx, reader)
		port.Sleep(ctx, probeInterval)
	}
}

func (a *App) probeRound(ctx context.Context, reader port.LoadReader) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	left := maxProbesPerRound
	for _, e := range a.dataPlane.picker.LeavingEndpoints() {
		if left == 0 || rand.IntN(a.knownHostCount()) > 0 {
			continue
		}
		left--
		load, err := reader.Load(ctx, e)
		if err == nil {
			a.dataPlane.picker.RecordReport(e.ID, load)
		}
	}
}

// followHostList takes over which endpoints the platform's list calls
// leaving, until ctx ends. While the list is away the last one holds.
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

func (a *App) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.HostListInterval)
	defer cancel()
	listed, err := a.deps.HostList.Hosts(ctx)
	if err != nil {
		a.deps.Log.Warn("host list not read", slog.Any("error", err))
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

// adjustStoreRates fits the store's ceilings to the number of hosts: those listed
// that are no endpoints, or those known, whichever is more.
func (a *App) adjustStoreRates(listed []port.ListedHost) {
	r := a.Snapshot().Release
	if a.deps.SetFleetSize == nil || r == nil {
		return
	}
	n := 0
	for _, h := range listed {
		if _, endpoint := r.Endpoint(h.ID); !endpoint {
			n++
		}
	}
	a.deps.SetFleetSize(max(n, a.knownHostCount()))
}

// hosts returns the number of known hosts, at least 1.
func (a *App) knownHostCount() int {
	if a.deps.Peers == nil {
		return 1
	}
	return max(len(a.deps.Peers.Members()), 1)
}
