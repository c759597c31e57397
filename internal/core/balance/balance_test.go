package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func newBalancer(clock *manualClock, seed uint64) *Balancer {
	return New("kranj", clock, rand.New(rand.NewPCG(seed, 1)), Limits{Overrun: 1.5, Slack: 5})
}

func newEndpoints(n int) []*catalog.Endpoint {
	var list []*catalog.Endpoint
	for i := range n {
		list = append(list, &catalog.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "pool", Slots: 64, Zone: []string{"kranj", "celje"}[i%2]})
	}
	return list
}

var pool = &catalog.Service{Name: "pool", WarmUpTime: 3 * time.Second, WarmUpRate: 11}

// TestColdEndpointsAreNotOverrun sends through hosts that know nothing of each
// other, some of them restarted, and counts what reaches a cold endpoint in
// each second.
func TestColdEndpointsAreNotOverrun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		clock := &manualClock{now: time.Unix(100, 0)}
		cold := &catalog.Endpoint{ID: "cold", Service: "pool", Slots: 64, Zone: "kranj", WarmUpRemaining: time.Hour}
		const hosts = 8
		start := func(i int) *Balancer {
			table := newBalancer(clock, uint64(i))
			table.SetHosts(hosts + 2)
			table.UpdateEndpoint(cold, pool, true)
			return table
		}
		fleet := make([]*Balancer, hosts)
		for i := range fleet {
			fleet[i] = start(i)
		}
		var sends []time.Time
		restarts := 0
		for range rapid.IntRange(50, 300).Draw(t, "wanted") {
			clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, hosts-1).Draw(t, "host")
			if restarts < 2 && rapid.IntRange(0, 60).Draw(t, "restart") == 0 {
				restarts++
				fleet[i] = start(i)
			}
			if e := fleet[i].Pick([]*catalog.Endpoint{cold}, Criteria{Service: pool}); e != nil {
				sends = append(sends, clock.now)
				fleet[i].Done(e, Answered, nil)
			}
		}
		for i, from := range sends {
			n := 0
			for _, at := range sends[i:] {
				if at.Sub(from) < time.Second {
					n++
				}
			}
			is.True(float64(n) <= 11*1.5+5)
		}
	})
}

func TestAllHostsPickSameEndpointForCacheKey(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(0, 0)}
	list := newEndpoints(9)
	seen := make(map[string]bool)
	for host := range 6 {
		table := newBalancer(clock, uint64(host))
		e := table.Pick(list, Criteria{Service: pool, CacheKey: "subject-7"})
		seen[e.ID] = true
	}
	is.Equal(len(seen), 1)
}

func TestPopularCacheKeySpillsOverToOtherEndpoints(t *testing.T) {
	is := is.New(t)
	table := newBalancer(&manualClock{now: time.Unix(0, 0)}, 1)
	list := newEndpoints(6)
	loads := make(map[string]int)
	for range 120 {
		e := table.Pick(list, Criteria{Service: pool, CacheKey: "hot"})
		loads[e.ID]++
	}
	for _, n := range loads {
		is.True(n <= 20*13/10+8) // the mean of 20, 1.3 times, and the slack
	}
}

func TestEndpointIsNotPickedAfterConnectionFailure(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(0, 0)}
	table := newBalancer(clock, 1)
	list := newEndpoints(1)
	e := table.Pick(list, Criteria{Service: pool})
	is.True(table.Done(e, ConnectionFailed, nil))
	is.Equal(table.Pick(list, Criteria{Service: pool}), nil)
	clock.now = clock.now.Add(minDownTime)
	is.True(table.Pick(list, Criteria{Service: pool}) != nil)
}

func TestSuspectEndpointIsPickedOnlyAsLastResort(t *testing.T) {
	is := is.New(t)
	table := newBalancer(&manualClock{now: time.Unix(0, 0)}, 1)
	list := newEndpoints(2)
	for range suspectThreshold {
		table.Done(list[0], Failed, nil)
	}
	for range 10 {
		e := table.Pick(list, Criteria{Service: pool})
		is.Equal(e.ID, "e1")
		table.Done(e, Answered, nil)
	}
	is.Equal(table.Pick(list, Criteria{Service: pool, Avoid: map[string]bool{"e1": true}}).ID, "e0")
}

func TestReportedLoadOfOtherHostsIsCounted(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(0, 0)}
	table := newBalancer(clock, 1)
	list := []*catalog.Endpoint{{ID: "a", Slots: 6, Zone: "kranj"}, {ID: "b", Slots: 6, Zone: "kranj"}}
	plain := &catalog.Service{Name: "register"}
	table.Pick([]*catalog.Endpoint{list[0]}, Criteria{Service: plain})
	table.Done(list[0], Answered, &port.EndpointLoad{Running: 6, Waiting: 2, Slots: 6})
	is.Equal(table.Pick(list, Criteria{Service: plain}).ID, "b")
}

func TestHostKeepsToItsShareOfConnections(t *testing.T) {
	is := is.New(t)
	table := newBalancer(&manualClock{now: time.Unix(0, 0)}, 1)
	table.SetHosts(8)
	small := &catalog.Service{Name: "dispatch", MaxConnections: 48}
	list := newEndpoints(1)
	for range 6 {
		is.True(table.Pick(list, Criteria{Service: small}) != nil)
	}
	is.Equal(table.Pick(list, Criteria{Service: small}), nil)
}

func TestEndpointWithoutColdLimitIsPickedImmediately(t *testing.T) {
	is := is.New(t)
	table := newBalancer(&manualClock{now: time.Unix(0, 0)}, 1)
	table.SetHosts(20)
	plain := &catalog.Service{Name: "register"}
	e := &catalog.Endpoint{ID: "a", Slots: 6, Zone: "kranj", WarmUpRemaining: 3 * time.Second}
	table.UpdateEndpoint(e, plain, true)
	is.True(table.Pick([]*catalog.Endpoint{e}, Criteria{Service: plain}) != nil)
}

func TestEndpointIsColdAfterConnectionFailure(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(0, 0)}
	table := newBalancer(clock, 1)
	table.SetHosts(10)
	list := newEndpoints(1)
	table.UpdateEndpoint(list[0], pool, false)
	for range 10 {
		is.True(table.Pick(list, Criteria{Service: pool}) != nil)
	}
	table.Done(list[0], ConnectionFailed, nil)
	clock.now = clock.now.Add(minDownTime)
	sent := 0
	for range 10 {
		if table.Pick(list, Criteria{Service: pool}) != nil {
			sent++
		}
	}
	is.Equal(sent, 2) // 21.5 a second over ten hosts
	clock.now = clock.now.Add(pool.WarmUpTime)
	is.True(table.Pick(list, Criteria{Service: pool}) != nil)
}
