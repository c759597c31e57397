package app

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/adapter/engine"
	"github.com/pimentorill/pimentorill/internal/core/order"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// fakeGossip delivers each record to all hosts immediately, also the publisher. It
// stores none.
type fakeGossip struct {
	mu          sync.Mutex
	subscribers map[string][]func(port.GossipRecord)
}

func (g *fakeGossip) Publish(r port.GossipRecord, _ port.GossipScope) {
	g.mu.Lock()
	subscribers := g.subscribers[r.Topic]
	g.mu.Unlock()
	for _, fn := range subscribers {
		fn(r)
	}
}

func (g *fakeGossip) Get(string, string) (port.GossipRecord, bool) { return port.GossipRecord{}, false }

func (g *fakeGossip) Subscribe(topic string, fn func(port.GossipRecord)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.subscribers[topic] = append(g.subscribers[topic], fn)
}

type discardAudit struct{}

func (discardAudit) Record(port.AuditRecord) {}

// startHosts starts n hosts of one zone that use the fleet's endpoints. The first
// host holds the zone's lease.
func startHosts(t *testing.T, fleet *standin.Fleet, n int) []*App {
	is := is.New(t)
	store := standin.NewMemStore(port.SystemClock{})
	r, err := release.Apply(release.Empty(), fleet.Note("first", map[string]int{"c": 1}), time.Now())
	is.NoErr(err)
	handlers := map[string]map[string]handler{}
	for i := range n {
		handlers[fmt.Sprint("host-", i)] = map[string]handler{}
	}
	gossip := &fakeGossip{subscribers: map[string][]func(port.GossipRecord){}}
	var ids atomic.Int64
	var hosts []*App
	for i := range n {
		id := fmt.Sprint("host-", i)
		client := engine.New(engine.Config{})
		t.Cleanup(client.Close)
		deps := Deps{
			Store: store, AttemptClient: client, Peers: &fakePeers{id: id, handlers: handlers}, Gossip: gossip, Audit: discardAudit{},
			Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
			NewID:           func() string { return fmt.Sprint("id-", ids.Add(1)) },
			ZoneLeaseHolder: func(string) (string, bool) { return "host-0", true },
		}
		if i == 0 {
			deps.ZoneLease = func(now time.Time) order.Lease {
				return order.Lease{Fence: 7, AcquiredAt: now, ValidUntil: now.Add(time.Minute)}
			}
		}
		a, err := New(Config{Host: id, AvailabilityZone: fleet.Config.Zones[0], MaxRequests: 200}, deps)
		is.NoErr(err)
		a.controlLoop.send(releaseEvent(release.StoredRelease{Release: *r}))
		a.Start()
		t.Cleanup(a.Kill)
		hosts = append(hosts, a)
	}
	for _, a := range hosts {
		for a.Ready() != nil {
			time.Sleep(time.Millisecond)
		}
	}
	return hosts
}

// sendConcurrently sends requests concurrently through all hosts and counts the
// results by verdict code, successes as "ok".
func sendConcurrently(hosts []*App, requests int) map[verdict.Code]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	codes := map[verdict.Code]int{}
	for i := range requests {
		wg.Go(func() {
			in := RunRequest{Customer: "c", Pipeline: standin.PipelineGuidebook, Input: json.RawMessage(fmt.Sprint(i))}
			_, err := hosts[i%len(hosts)].Run(context.Background(), in)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				codes["ok"]++
				return
			}
			codes[verdict.From(err).Code]++
		})
	}
	wg.Wait()
	return codes
}

// TestHostsTogetherStayWithinAColdEndpointsLimit checks that the hosts' attempts on
// a cold engine stay within its limit in total. It then restarts all engines without
// notice and checks that all requests of the fourth round after that succeed; those
// of the rounds before may fail.
func TestHostsTogetherStayWithinAColdEndpointsLimit(t *testing.T) {
	is := is.New(t)
	fleet, err := standin.StartFleet(standin.FleetConfig{
		Zones: []string{"ljubljana"}, Region: "si-central", EnginesPerZone: 2, Slots: 16, ColdLimit: 2, WarmAfter: 6,
		WorkTime: time.Millisecond, TokenTime: time.Millisecond, MaxTokens: 8,
	})
	is.NoErr(err)
	t.Cleanup(fleet.Close)
	hosts := startHosts(t, fleet, 3)
	codes := sendConcurrently(hosts, 60)
	t.Logf("cold fleet: %v", codes)
	is.Equal(codes["ok"], 60)
	for id, e := range fleet.Engines {
		is.True(e.Stats().MaxColdCalls <= 2)
		is.Equal(e.Stats().ColdOverruns, 0)
		e.Crash()
		t.Logf("%s: %+v", id, e.Stats())
	}
	codes = sendConcurrently(hosts, 60)
	t.Logf("after restarts without notice: %v", codes)
	for range 3 {
		codes = sendConcurrently(hosts, 60)
	}
	t.Logf("fourth round after the restarts: %v", codes)
	is.Equal(codes["ok"], 60)
	for id, e := range fleet.Engines {
		t.Logf("%s: %+v", id, e.Stats())
	}
}
