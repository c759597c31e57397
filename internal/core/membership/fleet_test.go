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

// frameOverhead is what carries a message on the wire: the frame's tag and
// header, and the headers of WebSocket, TCP, IP, and a TCP acknowledgement.
const frameOverhead = 16 + 10 + 6 + 40 + 40

const (
	stepTime  = spread.StepInterval
	zoneDelay = time.Millisecond
)

// mail is a message under way.
type mail struct {
	at       time.Time
	seq      int
	from, to string
	payload  []byte
}

type mailbox []mail

func (m mailbox) Len() int { return len(m) }
func (m mailbox) Less(i, j int) bool {
	return m[i].at.Before(m[j].at) || m[i].at.Equal(m[j].at) && m[i].seq < m[j].seq
}
func (m mailbox) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *mailbox) Push(x any)   { *m = append(*m, x.(mail)) }
func (m *mailbox) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

// testHost is one agent with what it has sent and received.
type testHost struct {
	agent           *Agent
	self            port.Member
	bytes, messages int
	down            bool
}

// testFleet runs agents in virtual time.
type testFleet struct {
	t     testing.TB
	now   time.Time
	rand  *rand.Rand
	hosts map[string]*testHost
	order []string
	mail  mailbox
	seq   int
	loss  float64
	// cut tells whether hosts can't reach each other; nil cuts nothing.
	cut func(a, b port.Member) bool
}

// fleetStart is the virtual time at which fleets start.
var fleetStart = time.UnixMilli(1_800_000_000_000)

func newTestFleet(t testing.TB, hosts, zones int, seed uint64) *testFleet {
	f := &testFleet{t: t, now: fleetStart, rand: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*testHost{}}
	for i := range hosts {
		f.start(fmt.Sprintf("entry-%03d", i), fmt.Sprintf("zone-%d", i%zones))
	}
	return f
}

func (f *testFleet) start(id, zone string) *testHost {
	self := port.Member{ID: id, AvailabilityZone: zone, Address: id, Incarnation: uint64(f.now.UnixMilli())}
	seeds := []string{"entry-000", "entry-001", "entry-002"}
	h := &testHost{self: self, agent: NewAgent(f.now, self, seeds, rand.New(rand.NewPCG(f.rand.Uint64(), 2)))}
	if f.hosts[id] == nil {
		f.order = append(f.order, id)
	}
	f.hosts[id] = h
	return h
}

func (f *testFleet) send(from *testHost, out []spread.OutgoingMessage) {
	for _, o := range out {
		from.count(o.Payload)
		to := f.hosts[o.Address]
		if to == nil || f.rand.Float64() < f.loss || f.cut != nil && f.cut(from.self, to.self) {
			continue
		}
		f.seq++
		heap.Push(&f.mail, mail{at: f.now.Add(zoneDelay), seq: f.seq, from: from.self.ID, to: o.Address, payload: o.Payload})
	}
}

func (h *testHost) count(payload []byte) {
	h.bytes += len(payload) + frameOverhead
	h.messages++
}

// run lets d pass.
func (f *testFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		next := f.now.Add(stepTime)
		for len(f.mail) > 0 && f.mail[0].at.Before(next) {
			f.deliver(heap.Pop(&f.mail).(mail))
		}
		f.now = next
		for _, id := range f.order {
			if h := f.hosts[id]; !h.down {
				f.send(h, h.agent.Step(f.now))
			}
		}
	}
}

func (f *testFleet) deliver(m mail) {
	f.now = m.at
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

// until runs until ok holds and returns how long it took; it fails after limit.
func (f *testFleet) until(limit time.Duration, what string, ok func() bool) time.Duration {
	f.t.Helper()
	start := f.now
	for !ok() {
		if f.now.Sub(start) > limit {
			f.t.Fatalf("not within %v: %s", limit, what)
		}
		f.run(stepTime)
	}
	return f.now.Sub(start)
}

// sees reports whether every running host that match picks sees n hosts in a state.
func (f *testFleet) sees(n int, state port.MemberState, match func(h *testHost) bool) bool {
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

func all(*testHost) bool { return true }

// has reports whether every running host knows the version of a record.
func (f *testFleet) has(topic, key string, version uint64) bool {
	for _, h := range f.hosts {
		if r, _ := h.agent.Get(topic, key); !h.down && r.Version < version {
			return false
		}
	}
	return true
}

func TestHostsDieLeaveAndRestart(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 24, 3, 1)
	f.until(20*time.Second, "all known", func() bool { return f.sees(24, port.MemberLive, all) })

	dead := f.hosts["entry-005"]
	dead.down = true
	took := f.until(30*time.Second, "dead host gone everywhere", func() bool { return f.sees(1, port.MemberGone, all) })
	t.Logf("dead host gone on all hosts after %v", took)

	f.hosts["entry-006"].agent.Leave(f.now)
	took = f.until(3*time.Second, "leaving host known everywhere", func() bool { return f.sees(1, port.MemberLeaving, all) })
	t.Logf("leaving host known on all hosts after %v", took)

	f.start("entry-005", "zone-2") // a higher incarnation
	f.until(20*time.Second, "restarted host live everywhere", func() bool { return f.sees(23, port.MemberLive, all) })
	stale := dead.agent.Table().Record()
	f.hosts["entry-007"].agent.Put(f.now, stale, port.ScopeFleet)
	f.run(2 * time.Second)
	is.True(f.sees(23, port.MemberLive, all)) // old word of the dead incarnation changes nothing
}

// A host that was paused for a minute finds itself gone and comes back.
func TestPausedHostComesBack(t *testing.T) {
	f := newTestFleet(t, 8, 2, 2)
	f.until(20*time.Second, "all known", func() bool { return f.sees(8, port.MemberLive, all) })
	f.hosts["entry-003"].down = true
	f.run(time.Minute)
	f.hosts["entry-003"].down = false
	f.until(60*time.Second, "all live again", func() bool { return f.sees(8, port.MemberLive, all) })
}

// Zones that are cut off from each other keep their own hosts, say what they
// don't reach, and agree again afterwards.
func TestZonesCutOffAgreeAgain(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 24, 3, 3)
	reached := func() bool {
		for _, h := range f.hosts {
			if len(h.agent.Table().Unreachable()) > 0 {
				return false
			}
		}
		return f.sees(24, port.MemberLive, all)
	}
	f.until(30*time.Second, "all reached", reached)
	f.cut = func(a, b port.Member) bool {
		return (a.AvailabilityZone == "zone-0") != (b.AvailabilityZone == "zone-0")
	}
	f.until(30*time.Second, "the cut is noticed", func() bool {
		for _, h := range f.hosts {
			want := 1
			if h.self.AvailabilityZone == "zone-0" {
				want = 2
			}
			if len(h.agent.Table().Unreachable()) != want {
				return false
			}
		}
		return true
	})
	is.True(f.sees(0, port.MemberGone, all)) // unreachable is not gone
	f.hosts["entry-001"].agent.Put(f.now, port.Record{Topic: "release", Key: "current", Version: 9, Value: make([]byte, 20<<10)}, port.ScopeFleet)
	f.run(10 * time.Second)
	f.cut = nil
	f.until(12*time.Second, "the release is known", func() bool { return f.has("release", "current", 9) })
	f.until(30*time.Second, "all reached again", reached)
}

// A record reaches all hosts, records of a zone stay in it, and versions
// never go back, with a fifth of the messages lost.
func TestRecordsSpreadThroughLoss(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 30, 3, 4)
	f.until(30*time.Second, "all known", func() bool { return f.sees(30, port.MemberLive, all) })
	f.loss = 0.2
	f.hosts["entry-004"].agent.Put(f.now, port.Record{Topic: "endpoint", Key: "e1", Version: 3}, port.ScopeZone)
	for version := uint64(1); version <= 5; version++ {
		f.hosts["entry-010"].agent.Put(f.now, port.Record{Topic: "release", Key: "current", Version: version, Value: make([]byte, 30<<10)}, port.ScopeFleet)
		took := f.until(12*time.Second, "release known everywhere", func() bool { return f.has("release", "current", version) })
		t.Logf("version %d with a fifth lost: %v", version, took)
	}
	is.True(!f.hosts["entry-011"].agent.Put(f.now, port.Record{Topic: "release", Key: "current", Version: 4}, port.ScopeFleet))
	f.run(5 * time.Second)
	for _, h := range f.hosts {
		_, ok := h.agent.Get("endpoint", "e1")
		is.Equal(ok, h.self.AvailabilityZone == "zone-1")
	}
}

// The limits that operators state for what a host spends on control, and for
// the time until a change is in force everywhere.
const (
	maxBytesPerSecond = 9_000
	maxInForce        = 12 * time.Second
)

// fleetSize is a number of hosts, spread evenly over zones.
type fleetSize struct{ hosts, zones int }

// TestControlTraffic shows how the control traffic of a host grows.
func TestControlTraffic(t *testing.T) {
	for _, size := range []fleetSize{{2, 1}, {4, 2}, {8, 3}, {16, 3}, {32, 3}} {
		checkTraffic(t, size)
	}
}

// BenchmarkControlTraffic counts it at the size to design for, with the
// processor time and the heap of the decisions alone, without connections.
func BenchmarkControlTraffic(b *testing.B) {
	const hosts = 360
	var before, after runtime.MemStats
	var virtual time.Duration
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		f := checkTraffic(b, fleetSize{hosts, 7})
		runtime.GC()
		runtime.ReadMemStats(&after)
		virtual += f.now.Sub(fleetStart)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/hosts/1e3, "heap-kB/host")
	b.ReportMetric(100*b.Elapsed().Seconds()/virtual.Seconds()/hosts, "%core/host")
}

// checkTraffic counts what a host sends and receives, at rest and averaged
// over the time between two of the day's releases. The bound holds for the
// host that has most to do.
func checkTraffic(t testing.TB, size fleetSize) *testFleet {
	const (
		releaseBytes = 16 << 10
		releasesADay = 570
		settling     = 15 * time.Second
	)
	period := 24 * time.Hour / releasesADay
	f := newTestFleet(t, size.hosts, size.zones, 5)
	f.until(2*time.Minute, "all known", func() bool { return f.sees(size.hosts, port.MemberLive, all) })
	f.run(10 * time.Second)
	rest, restMessages, restMost := f.measure(settling)
	f.resetCounts()
	accepted := f.now
	f.hosts["entry-001"].agent.Put(f.now, port.Record{Topic: "release", Key: "current", Version: 1, Value: make([]byte, releaseBytes)}, port.ScopeFleet)
	took := f.until(maxInForce, "release known everywhere", func() bool { return f.has("release", "current", 1) })
	for _, h := range f.hosts {
		h.agent.SetRelease(f.now, 1)
	}
	f.run(settling - took)
	_, _, most := f.rates(f.now.Sub(accepted))
	daily := restMost + (most-restMost)*settling.Seconds()/period.Seconds()
	t.Logf("%d hosts, %d zones: at rest %.1f messages/s and %.0f B/s, busiest host %.0f B/s, over a day %.0f B/s, in the 15 s after an accept %.0f B/s; known everywhere after %v",
		size.hosts, size.zones, restMessages, rest, restMost, daily, most, took)
	if daily > maxBytesPerSecond {
		t.Errorf("%d hosts: %.0f B/s, bound %d", size.hosts, daily, maxBytesPerSecond)
	}
	return f
}

func (f *testFleet) resetCounts() {
	for _, h := range f.hosts {
		h.bytes, h.messages = 0, 0
	}
}

// measure runs for d and returns the rates of that time.
func (f *testFleet) measure(d time.Duration) (bytes, messages, most float64) {
	f.resetCounts()
	f.run(d)
	return f.rates(d)
}

// rates returns the mean bytes and messages a second of a host, both
// directions together, and the most bytes a second of one host.
func (f *testFleet) rates(d time.Duration) (bytes, messages, most float64) {
	for _, h := range f.hosts {
		rate := float64(h.bytes) / d.Seconds()
		bytes += rate
		messages += float64(h.messages) / d.Seconds()
		most = max(most, rate)
	}
	return bytes / float64(len(f.hosts)), messages / float64(len(f.hosts)), most
}
