package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/spread"
	"github.com/pimentorill/pimentorill/internal/port"
)

// frameOverhead is the bytes that a message takes on the wire besides its payload:
// the frame's tag and header, and the headers of WebSocket, TCP, IP, and a TCP
// acknowledgement.
const frameOverhead = 16 + 10 + 6 + 40 + 40

const (
	stepInterval = spread.StepInterval
	messageDelay = time.Millisecond
)

// message is a message in flight. seq orders messages of the same time.
type message struct {
	deliverAt time.Time
	seq       int
	from, to  string
	payload   []byte
}

type messageQueue []message

func (q messageQueue) Len() int { return len(q) }
func (q messageQueue) Less(i, j int) bool {
	return q[i].deliverAt.Before(q[j].deliverAt) || q[i].deliverAt.Equal(q[j].deliverAt) && q[i].seq < q[j].seq
}
func (q messageQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *messageQueue) Push(x any)   { *q = append(*q, x.(message)) }
func (q *messageQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// testHost is one agent with the traffic that it has sent and received since
// resetCounts.
type testHost struct {
	agent           *Agent
	self            port.Member
	bytes, messages int
	// down says that the host is dead or paused: it neither runs nor receives.
	down bool
}

// testFleet runs agents in virtual time, with messages that may be lost.
type testFleet struct {
	t    testing.TB
	now  time.Time
	rand *rand.Rand
	// hosts are by id, which is also the address; startOrder are their ids.
	hosts      map[string]*testHost
	startOrder []string
	inFlight   messageQueue
	seq        int
	// lossRate is the fraction of messages lost.
	lossRate float64
	// partitioned reports whether two hosts cannot reach each other; nil if all can.
	partitioned func(a, b port.Member) bool
}

// fleetStart is the virtual time at which fleets start.
var fleetStart = time.UnixMilli(1_800_000_000_000)

// newTestFleet starts hosts entry-000, entry-001 and so on, spread over zone-0,
// zone-1 and so on in turn.
func newTestFleet(t testing.TB, hosts, zones int, seed uint64) *testFleet {
	f := &testFleet{t: t, now: fleetStart, rand: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*testHost{}}
	for i := range hosts {
		f.startHost(fmt.Sprintf("entry-%03d", i), fmt.Sprintf("zone-%d", i%zones))
	}
	return f
}

// startHost starts a host, or restarts it as a new incarnation.
func (f *testFleet) startHost(id, zone string) *testHost {
	self := port.Member{ID: id, AvailabilityZone: zone, Address: id, Incarnation: uint64(f.now.UnixMilli())}
	seeds := []string{"entry-000", "entry-001", "entry-002"}
	h := &testHost{self: self, agent: NewAgent(f.now, self, seeds, rand.New(rand.NewPCG(f.rand.Uint64(), 2)))}
	if f.hosts[id] == nil {
		f.startOrder = append(f.startOrder, id)
	}
	f.hosts[id] = h
	return h
}

// send counts the messages as sent and puts those in flight that are not lost.
func (f *testFleet) send(from *testHost, out []spread.OutgoingMessage) {
	for _, o := range out {
		from.count(o.Payload)
		to := f.hosts[o.Address]
		if to == nil || f.rand.Float64() < f.lossRate || f.partitioned != nil && f.partitioned(from.self, to.self) {
			continue
		}
		f.seq++
		heap.Push(&f.inFlight, message{deliverAt: f.now.Add(messageDelay), seq: f.seq, from: from.self.ID, to: o.Address, payload: o.Payload})
	}
}

func (h *testHost) count(payload []byte) {
	h.bytes += len(payload) + frameOverhead
	h.messages++
}

// run runs all hosts for d of virtual time.
func (f *testFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		next := f.now.Add(stepInterval)
		for len(f.inFlight) > 0 && f.inFlight[0].deliverAt.Before(next) {
			f.deliver(heap.Pop(&f.inFlight).(message))
		}
		f.now = next
		for _, id := range f.startOrder {
			if h := f.hosts[id]; !h.down {
				f.send(h, h.agent.Step(f.now))
			}
		}
	}
}

func (f *testFleet) deliver(m message) {
	f.now = m.deliverAt
	h := f.hosts[m.to]
	if h.down {
		return
	}
	h.count(m.payload)
	out, err := h.agent.Receive(f.now, f.hosts[m.from].self, m.payload)
	if err != nil {
		f.t.Fatal(err)
	}
	f.send(h, out)
}

// runUntil runs until done returns true and returns how long it took. It fails the
// test after limit.
func (f *testFleet) runUntil(limit time.Duration, what string, done func() bool) time.Duration {
	f.t.Helper()
	start := f.now
	for !done() {
		if f.now.Sub(start) > limit {
			f.t.Fatalf("not within %v: %s", limit, what)
		}
		f.run(stepInterval)
	}
	return f.now.Sub(start)
}

// allSee reports whether every running host that matches sees n hosts in a state.
func (f *testFleet) allSee(n int, state port.MemberState, match func(h *testHost) bool) bool {
	for _, h := range f.hosts {
		if h.down || !match(h) {
			continue
		}
		count := 0
		for _, m := range h.agent.Table().Members(f.now) {
			if m.State == state {
				count++
			}
		}
		if count != n {
			return false
		}
	}
	return true
}

func anyHost(*testHost) bool { return true }

// allKnow reports whether every running host has the record in this version or a
// newer one.
func (f *testFleet) allKnow(topic, key string, version uint64) bool {
	for _, h := range f.hosts {
		if r, _ := h.agent.Get(topic, key); !h.down && r.Version < version {
			return false
		}
	}
	return true
}

// TestDeadLeavingAndRestartedHostsAreSeenByAll checks that all hosts learn within
// 30 s that a host is dead, within 3 s that one is leaving and within 20 s that one
// has restarted, and ignore a record of the restarted host's earlier incarnation.
func TestDeadLeavingAndRestartedHostsAreSeenByAll(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 24, 3, 1)
	f.runUntil(20*time.Second, "all known", func() bool { return f.allSee(24, port.MemberLive, anyHost) })

	dead := f.hosts["entry-005"]
	dead.down = true
	took := f.runUntil(30*time.Second, "dead host gone everywhere", func() bool { return f.allSee(1, port.MemberGone, anyHost) })
	t.Logf("dead host gone on all hosts after %v", took)

	f.hosts["entry-006"].agent.Leave(f.now)
	took = f.runUntil(3*time.Second, "leaving host known everywhere", func() bool { return f.allSee(1, port.MemberLeaving, anyHost) })
	t.Logf("leaving host known on all hosts after %v", took)

	f.startHost("entry-005", "zone-2") // a higher incarnation
	f.runUntil(20*time.Second, "restarted host live everywhere", func() bool { return f.allSee(23, port.MemberLive, anyHost) })
	stale := dead.agent.Table().Record()
	f.hosts["entry-007"].agent.Put(f.now, stale, port.ScopeFleet)
	f.run(2 * time.Second)
	is.True(f.allSee(23, port.MemberLive, anyHost)) // a record of the dead incarnation changes nothing
}

// Guards against a host that accepts requests before it knows what the others know: it
// knew no lease holder, and of no endpoint that it is warm, for up to two seconds.
func TestHostIsCaughtUpOnceItHasTheOthersRecords(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		f := newTestFleet(t, 24, 3, seed)
		f.runUntil(20*time.Second, "all known", func() bool { return f.allSee(24, port.MemberLive, anyHost) })
		const records = 100
		for i := range records {
			from := f.hosts[fmt.Sprintf("entry-%03d", i%24)]
			from.agent.Put(f.now, port.GossipRecord{Topic: "t", Key: fmt.Sprint(i), Version: 1, Value: make([]byte, 100)}, port.ScopeFleet)
		}
		f.run(30 * time.Second)
		is.True(f.hosts["entry-000"].agent.CaughtUp())
		h := f.startHost("entry-024", "zone-0")
		is.True(!h.agent.CaughtUp())
		f.runUntil(2*time.Second, "the host is caught up", func() bool { return h.agent.CaughtUp() })
		for i := range records {
			_, known := h.agent.Get("t", fmt.Sprint(i))
			is.True(known)
		}
	}
}

// Guards against hosts that start together and take each other's few records for all.
func TestHostsThatStartTogetherAreCaughtUpWithTheOthers(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		f := newTestFleet(t, 12, 3, seed)
		f.runUntil(20*time.Second, "all known", func() bool { return f.allSee(12, port.MemberLive, anyHost) })
		f.hosts["entry-009"].agent.Put(f.now, port.GossipRecord{Topic: "t", Key: "k", Version: 1}, port.ScopeFleet)
		f.run(10 * time.Second)
		restarted := []int{0, 1, 3} // two of them are seeds
		for _, i := range restarted {
			f.hosts[fmt.Sprintf("entry-%03d", i)].down = true
		}
		f.run(time.Second)
		var started []*testHost
		for _, i := range restarted {
			started = append(started, f.startHost(fmt.Sprintf("entry-%03d", i), fmt.Sprintf("zone-%d", i%3)))
		}
		f.lossRate = 0.2
		for range 40 {
			f.run(stepInterval)
			for _, h := range started {
				_, known := h.agent.Get("t", "k")
				is.True(known || !h.agent.CaughtUp())
			}
		}
	}
}

// A host that reaches no other one is caught up after the timeout, one without seeds at
// once.
func TestHostAloneIsCaughtUp(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 0, 1, 1)
	h := f.startHost("entry-000", "zone-0")
	f.run(catchUpTimeout - time.Second)
	is.True(!h.agent.CaughtUp())
	f.run(time.Second)
	is.True(h.agent.CaughtUp())
	first := NewAgent(f.now, h.self, nil, rand.New(rand.NewPCG(1, 2)))
	is.True(first.CaughtUp())
}

// TestPausedHostBecomesLiveAgain pauses a host for a minute, long enough that the
// others consider it gone. The host must refute that when it resumes.
func TestPausedHostBecomesLiveAgain(t *testing.T) {
	f := newTestFleet(t, 8, 2, 2)
	f.runUntil(20*time.Second, "all known", func() bool { return f.allSee(8, port.MemberLive, anyHost) })
	f.hosts["entry-003"].down = true
	f.run(time.Minute)
	f.hosts["entry-003"].down = false
	f.runUntil(60*time.Second, "all live again", func() bool { return f.allSee(8, port.MemberLive, anyHost) })
}

// TestPartitionedZonesConvergeAgain cuts one zone off. Hosts must report the zones
// that they cannot reach, must not consider their hosts gone, and must agree on all
// hosts and records once the partition ends.
func TestPartitionedZonesConvergeAgain(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 24, 3, 3)
	allReached := func() bool {
		for _, h := range f.hosts {
			if len(h.agent.Table().UnreachableZones()) > 0 {
				return false
			}
		}
		return f.allSee(24, port.MemberLive, anyHost)
	}
	f.runUntil(30*time.Second, "all reached", allReached)
	f.partitioned = func(a, b port.Member) bool {
		return (a.AvailabilityZone == "zone-0") != (b.AvailabilityZone == "zone-0")
	}
	f.runUntil(30*time.Second, "the partition is noticed", func() bool {
		for _, h := range f.hosts {
			want := 1
			if h.self.AvailabilityZone == "zone-0" {
				want = 2
			}
			if len(h.agent.Table().UnreachableZones()) != want {
				return false
			}
		}
		return true
	})
	is.True(f.allSee(0, port.MemberGone, anyHost)) // unreachable is not gone
	f.hosts["entry-001"].agent.Put(f.now, port.GossipRecord{Topic: "release", Key: "current", Version: 9, Value: make([]byte, 20<<10)}, port.ScopeFleet)
	f.run(10 * time.Second)
	f.partitioned = nil
	f.runUntil(12*time.Second, "the release is known", func() bool { return f.allKnow("release", "current", 9) })
	f.runUntil(30*time.Second, "all reached again", allReached)
}

// TestRecordsSpreadDespiteMessageLoss checks, with a fifth of the messages lost, that
// a record reaches all hosts, that a zone's records stay in the zone, and that
// versions never go back.
func TestRecordsSpreadDespiteMessageLoss(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 30, 3, 4)
	f.runUntil(30*time.Second, "all known", func() bool { return f.allSee(30, port.MemberLive, anyHost) })
	f.lossRate = 0.2
	f.hosts["entry-004"].agent.Put(f.now, port.GossipRecord{Topic: "endpoint", Key: "e1", Version: 3}, port.ScopeZone) // the host is in zone-1
	for version := uint64(1); version <= 5; version++ {
		f.hosts["entry-010"].agent.Put(f.now, port.GossipRecord{Topic: "release", Key: "current", Version: version, Value: make([]byte, 30<<10)}, port.ScopeFleet)
		took := f.runUntil(12*time.Second, "release known everywhere", func() bool { return f.allKnow("release", "current", version) })
		t.Logf("version %d with a fifth lost: %v", version, took)
	}
	is.True(!f.hosts["entry-011"].agent.Put(f.now, port.GossipRecord{Topic: "release", Key: "current", Version: 4}, port.ScopeFleet))
	f.run(5 * time.Second)
	for _, h := range f.hosts {
		_, ok := h.agent.Get("endpoint", "e1")
		is.Equal(ok, h.self.AvailabilityZone == "zone-1")
	}
}

// The operators' limits for the control traffic of a host, both directions together,
// and for the time until a change is in force everywhere.
const (
	maxBytesPerSecond   = 9_000
	maxTimeUntilInForce = 12 * time.Second
)

// fleetSize is a number of hosts, spread evenly over zones.
type fleetSize struct{ hosts, zones int }

// TestControlTrafficStaysWithinLimit checks and logs the control traffic per host for
// growing fleets.
func TestControlTrafficStaysWithinLimit(t *testing.T) {
	for _, size := range []fleetSize{{2, 1}, {4, 2}, {8, 3}, {16, 3}, {32, 3}} {
		checkControlTraffic(t, size)
	}
}

// BenchmarkControlTraffic measures the control traffic of a fleet of the design
// size, and the processor time and heap of the agents alone, without connections.
func BenchmarkControlTraffic(b *testing.B) {
	const hosts = 360
	var before, after runtime.MemStats
	var virtual time.Duration
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		f := checkControlTraffic(b, fleetSize{hosts, 7})
		runtime.GC()
		runtime.ReadMemStats(&after)
		virtual += f.now.Sub(fleetStart)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/hosts/1e3, "heap-kB/host")
	b.ReportMetric(100*b.Elapsed().Seconds()/virtual.Seconds()/hosts, "%core/host")
}

// checkControlTraffic measures the traffic per host, idle and averaged over the time
// between two releases at releasesPerDay. The limit applies to the average of the
// busiest host.
func checkControlTraffic(t testing.TB, size fleetSize) *testFleet {
	const (
		releaseBytes   = 16 << 10
		releasesPerDay = 570
		measureTime    = 15 * time.Second
	)
	releaseInterval := 24 * time.Hour / releasesPerDay
	f := newTestFleet(t, size.hosts, size.zones, 5)
	f.runUntil(2*time.Minute, "all known", func() bool { return f.allSee(size.hosts, port.MemberLive, anyHost) })
	f.run(10 * time.Second)
	idleBytes, idleMessages, idleMaxRate := f.measure(measureTime)
	f.resetCounts()
	publishedAt := f.now
	f.hosts["entry-001"].agent.Put(f.now, port.GossipRecord{Topic: "release", Key: "current", Version: 1, Value: make([]byte, releaseBytes)}, port.ScopeFleet)
	took := f.runUntil(maxTimeUntilInForce, "release known everywhere", func() bool { return f.allKnow("release", "current", 1) })
	for _, h := range f.hosts {
		h.agent.SetRelease(f.now, 1)
	}
	f.run(measureTime - took)
	_, _, maxRate := f.rates(f.now.Sub(publishedAt))
	dailyMean := idleMaxRate + (maxRate-idleMaxRate)*measureTime.Seconds()/releaseInterval.Seconds()
	t.Logf("%d hosts, %d zones: idle %.1f messages/s and %.0f B/s, busiest host %.0f B/s, over a day %.0f B/s, in the 15 s after a release %.0f B/s; known everywhere after %v",
		size.hosts, size.zones, idleMessages, idleBytes, idleMaxRate, dailyMean, maxRate, took)
	if dailyMean > maxBytesPerSecond {
		t.Errorf("%d hosts: %.0f B/s, limit %d", size.hosts, dailyMean, maxBytesPerSecond)
	}
	return f
}

func (f *testFleet) resetCounts() {
	for _, h := range f.hosts {
		h.bytes, h.messages = 0, 0
	}
}

// measure runs for d and returns the rates during that time.
func (f *testFleet) measure(d time.Duration) (bytes, messages, maxRate float64) {
	f.resetCounts()
	f.run(d)
	return f.rates(d)
}

// rates returns the mean bytes and messages per second of a host, both directions
// together, and the bytes per second of the busiest host.
func (f *testFleet) rates(d time.Duration) (bytes, messages, maxRate float64) {
	for _, h := range f.hosts {
		rate := float64(h.bytes) / d.Seconds()
		bytes += rate
		messages += float64(h.messages) / d.Seconds()
		maxRate = max(maxRate, rate)
	}
	return bytes / float64(len(f.hosts)), messages / float64(len(f.hosts)), maxRate
}
