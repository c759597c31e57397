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
	leavingYes = "leaving"
	leavingNo  = "staying"
)

// leavingLife is how long hosts keep such a record.
const leavingLife = 10 * time.Minute

// Timing and bounds of probing endpoints that leave.
const (
	probeEvery   = time.Second
	probeTimeout = 500 * time.Millisecond
	// maxProbed bounds the endpoints asked in one round.
	maxProbed = 8
)

// hostListShare is the number of hosts that make up one reading of the host
// list in each interval: in a larger fleet each host reads less often.
const hostListShare = 8

// listenLeaving takes in what other hosts have heard of endpoints that leave.
// Call it before the board is started.
func (a *App) listenLeaving() {
	a.traffic.picker.OnLeaving(a.tellLeaving)
	if a.deps.Board == nil {
		return
	}
	a.deps.Board.Subscribe(topicLeaving, func(r port.GossipRecord) {
		a.traffic.picker.SetLeaving(r.Key, string(r.Value) == leavingYes)
	})
}

// tellLeaving tells the other hosts what an endpoint has said of itself.
func (a *App) tellLeaving(endpointID string, leaving bool) {
	a.deps.Log.Info("endpoint leaving", slog.String("endpoint", endpointID), slog.Bool("leaving", leaving))
	if a.deps.Board == nil {
		return
	}
	value := leavingNo
	if leaving {
		value = leavingYes
	}
	now := a.deps.Clock.Now()
	a.deps.Board.Publish(port.GossipRecord{
		Topic:     topicLeaving,
		Key:       endpointID,
		Version:   uint64(now.UnixMilli()),
		Value:     []byte(value),
		ExpiresAt: now.Add(leavingLife),
	}, port.ScopeFleet)
}

// probeLeaving asks endpoints that have said that they leave for their load,
// until ctx ends: since they get no work, no answer would say that they are
// back. All hosts together ask about once per probeEvery.
func (a *App) probeLeaving(ctx context.Context) {
	reader, ok := a.deps.Caller.(port.LoadReader)
	if !ok {
		a.deps.Log.Warn("endpoints cannot be asked for their load")
		return
	}
	for ctx.Err() == nil {
		a.probeOnce(ctx, reader)
		port.Sleep(ctx, probeEvery)
	}
}

func (a *App) probeOnce(ctx context.Context, reader port.LoadReader) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	left := maxProbed
	for _, e := range a.traffic.picker.LeavingEndpoints() {
		if left == 0 || rand.IntN(a.hosts()) > 0 {
			continue
		}
		left--
		load, err := reader.Load(ctx, e)
		if err == nil {
			a.traffic.picker.RecordReport(e.ID, load)
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
		rounds := (a.hosts() + hostListShare - 1) / hostListShare
		port.Sleep(ctx, jittered(a.cfg.HostListEvery*time.Duration(rounds)))
	}
}

func (a *App) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.HostListEvery)
	defer cancel()
	listed, err := a.deps.HostList.Hosts(ctx)
	if err != nil {
		a.deps.Log.Warn("host list not read", slog.Any("error", err))
		return
	}
	a.fitStoreRates(listed)
	if a.deps.Fleet != nil {
		a.deps.Fleet.Listed(listed)
	}
	leaving := map[string]bool{}
	for _, h := range listed {
		if h.Leaving {
			leaving[h.ID] = true
		}
	}
	if !maps.Equal(leaving, a.Snapshot().Leaving) {
		a.control.send(func(s *Snapshot, _ time.Time) { s.Leaving = leaving })
	}
}

// fitStoreRates fits the store's ceilings to the number of hosts: those listed
// that are no endpoints, or those known, whichever is more.
func (a *App) fitStoreRates(listed []port.ListedHost) {
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
	a.deps.SetFleetSize(max(n, a.hosts()))
}

// hosts returns the number of known hosts, at least 1.
func (a *App) hosts() int {
	if a.deps.Peers == nil {
		return 1
	}
	return max(len(a.deps.Peers.Members()), 1)
}
