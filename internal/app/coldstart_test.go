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

// fakeBoard brings each record to all hosts at once.
type fakeBoard struct {
	mu   sync.Mutex
	subs map[string][]func(port.GossipRecord)
}

func (b *fakeBoard) Publish(r port.GossipRecord, _ port.GossipScope) {
	b.mu.Lock()
	subs := b.subs[r.Topic]
	b.mu.Unlock()
	for _, fn := range subs {
		fn(r)
	}
}

func (b *fakeBoard) Get(string, string) (port.GossipRecord, bool) { return port.GossipRecord{}, false }

func (b *fakeBoard) Subscribe(topic string, fn func(port.GossipRecord)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subs[topic] = append(b.subs[topic], fn)
}

type noAudit struct{}

func (noAudit) Record(port.AuditRecord) {}

// startHosts starts hosts of one zone before the fleet; the first one holds
// the zone's lease.
func startHosts(t *testing.T, fleet *standin.Fleet, n int) []*App {
	is := is.New(t)
	store := standin.NewMemStore(port.SystemClock{})
	r, err := release.Apply(release.Empty(), fleet.Note("first", map[string]int{"c": 1}), time.Now())
	is.NoErr(err)
	handlers := map[string]map[string]handler{}
	for i := range n {
		handlers[fmt.Sprint("host-", i)] = map[string]handler{}
	}
	board := &fakeBoard{subs: map[string][]func(port.GossipRecord){}}
	var ids atomic.Int64
	var hosts []*App
	for i := range n {
		id := fmt.Sprint("host-", i)
		caller := engine.New(engine.Config{})
		t.Cleanup(caller.Close)
		deps := Deps{
			Store: store, AttemptClient: caller, Peers: &fakePeers{id: id, fleet: handlers}, Gossip: board, Audit: noAudit{},
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

// sendAtOnce sends requests through all hosts and counts the answers by code.
func sendAtOnce(hosts []*App, requests int) map[verdict.Code]int {
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

func TestHostsTogetherStayWithinAColdEndpointsLimit(t *testing.T) {
	is := is.New(t)
	fleet, err := standin.StartFleet(standin.FleetConfig{
		Zones: []string{"ljubljana"}, Region: "si-central", EnginesPerZone: 2, Slots: 16, ColdLimit: 2, WarmAfter: 6,
		WorkTime: time.Millisecond, TokenTime: time.Millisecond, MaxTokens: 8,
	})
	is.NoErr(err)
	t.Cleanup(fleet.Close)
	hosts := startHosts(t, fleet, 3)
	codes := sendAtOnce(hosts, 60)
	t.Logf("cold fleet: %v", codes)
	is.Equal(codes["ok"], 60)
	for id, e := range fleet.Engines {
		is.True(e.Stats().MaxCold <= 2)
		is.Equal(e.Stats().ColdOverruns, 0)
		e.Crash()
		t.Logf("%s: %+v", id, e.Stats())
	}
	codes = sendAtOnce(hosts, 60)
	t.Logf("restarted unannounced: %v", codes)
	for range 3 {
		codes = sendAtOnce(hosts, 60)
	}
	t.Logf("later: %v", codes)
	is.Equal(codes["ok"], 60)
	for id, e := range fleet.Engines {
		t.Logf("%s: %+v", id, e.Stats())
	}
}
