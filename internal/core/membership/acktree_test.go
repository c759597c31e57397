package membership

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// The acknowledgement tree, the alternative to which digests are compared: each
// host sends the release to its children, resends it every treeTimeout to those
// that have not acknowledged, and acknowledges to its parent what it received.
const (
	treeFanout  = 3
	treeTimeout = 500 * time.Millisecond
	// treeFailureDetectionTime is when the hosts detect that one is gone and
	// rebuild the tree.
	treeFailureDetectionTime = 7 * time.Second
	// ackBytes and treeReleaseBytes are the payloads of an acknowledgement and of
	// the release.
	ackBytes         = 20
	treeReleaseBytes = 16 << 10
)

// ackTree simulates the spread of one release through the tree.
type ackTree struct {
	now      time.Duration // since the release was sent first
	rng      *rand.Rand
	lossRate float64
	hosts    []int  // hosts by position in the tree; position 0 is the source
	received []bool // by host
	deadHost int    // -1 for none
	rebuilt  bool   // the tree was rebuilt without the dead host
	messages int
	bytes    int
	queue    treeQueue
	seq      int
}

type treeEvent struct {
	at       time.Duration
	seq      int  // orders events of the same time
	isResend bool // resend if not acknowledged; otherwise the release arrives
	from, to int  // positions
}

type treeQueue []treeEvent

func (q treeQueue) Len() int { return len(q) }
func (q treeQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q treeQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *treeQueue) Push(x any)   { *q = append(*q, x.(treeEvent)) }
func (q *treeQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule queues an event that happens after d.
func (t *ackTree) schedule(d time.Duration, e treeEvent) {
	t.seq++
	e.at, e.seq = t.now+d, t.seq
	heap.Push(&t.queue, e)
}

// forward sends the release from a position to its children.
func (t *ackTree) forward(position int) {
	for child := position*treeFanout + 1; child <= position*treeFanout+treeFanout && child < len(t.hosts); child++ {
		t.sendRelease(position, child)
	}
}

// sendRelease sends the release once and schedules the resend after treeTimeout.
func (t *ackTree) sendRelease(from, to int) {
	t.messages++
	t.bytes += treeReleaseBytes + frameOverhead
	t.schedule(treeTimeout, treeEvent{isResend: true, from: from, to: to})
	if t.rng.Float64() >= t.lossRate && t.hosts[to] != t.deadHost {
		t.schedule(messageDelay, treeEvent{from: from, to: to})
	}
}

// run spreads the release from position 0 and returns the time at which the last
// live host received it.
func (t *ackTree) run() time.Duration {
	t.received = make([]bool, len(t.hosts)+1)
	t.received[t.hosts[0]] = true
	acked := make(map[[2]int]bool)
	t.forward(0)
	var last time.Duration
	for t.queue.Len() > 0 {
		e := heap.Pop(&t.queue).(treeEvent)
		t.now = e.at
		if t.deadHost >= 0 && !t.rebuilt && t.now >= treeFailureDetectionTime {
			return t.rebuild()
		}
		key := [2]int{e.from, e.to}
		switch {
		case e.isResend && !acked[key]:
			t.sendRelease(e.from, e.to)
		case !e.isResend:
			t.messages++
			t.bytes += ackBytes + frameOverhead
			acked[key] = acked[key] || t.rng.Float64() >= t.lossRate
			if !t.received[t.hosts[e.to]] {
				t.received[t.hosts[e.to]] = true
				last = t.now
				t.forward(e.to)
			}
		}
	}
	return last
}

// rebuild starts the spread again without the dead host.
func (t *ackTree) rebuild() time.Duration {
	t.rebuilt = true
	t.queue = nil
	var remaining []int
	for _, h := range t.hosts {
		if h != t.deadHost {
			remaining = append(remaining, h)
		}
	}
	t.hosts, t.deadHost = remaining, -1
	return t.run()
}

// newAckTree returns a tree of the hosts 0 to hosts-1, with the source 0.
// deadHost is -1 for none.
func newAckTree(hosts int, lossRate float64, deadHost int) *ackTree {
	t := &ackTree{rng: rand.New(rand.NewPCG(9, 1)), lossRate: lossRate, deadHost: deadHost}
	for i := range hosts {
		t.hosts = append(t.hosts, i)
	}
	return t
}

// BenchmarkReleaseSpread compares the spread of one release by tree and by digests:
// without faults, with a fifth of the messages lost, and with a host that has just
// died (in the tree, one near its root).
func BenchmarkReleaseSpread(b *testing.B) {
	for b.Loop() {
		for _, size := range []fleetSize{{8, 3}, {32, 3}, {96, 7}} {
			compareReleaseSpread(b, size, "no faults", 0, false)
			compareReleaseSpread(b, size, "a fifth lost", 0.2, false)
			compareReleaseSpread(b, size, "one host dead", 0, true)
		}
	}
}

// compareReleaseSpread logs one comparison. With hostDead, host 1 is dead, which
// is a child of the tree's root.
func compareReleaseSpread(b *testing.B, size fleetSize, name string, lossRate float64, hostDead bool) {
	deadHost := -1
	if hostDead {
		deadHost = 1
	}
	t := newAckTree(size.hosts, lossRate, deadHost)
	treeTime := t.run()

	f := newTestFleet(b, size.hosts, size.zones, 6)
	f.runUntil(time.Minute, "all known", func() bool { return f.allSee(size.hosts, port.MemberLive, anyHost) })
	f.run(30 * time.Second)
	_, idleMessageRate, _ := f.measure(10 * time.Second)
	f.lossRate = lossRate
	f.hosts["entry-001"].down = hostDead
	f.resetCounts()
	f.hosts["entry-000"].agent.Put(f.now, port.GossipRecord{Topic: "release", Key: "current", Version: 1, Value: make([]byte, treeReleaseBytes)}, port.ScopeFleet)
	digestTime := f.runUntil(maxTimeUntilInForce, "release known everywhere", func() bool { return f.allKnow("release", "current", 1) })
	sent, bytes := 0, 0
	for _, h := range f.hosts {
		sent += h.messages / 2 // each is counted by its sender and by its receiver
		bytes += h.bytes / 2
	}
	b.Logf("%3d hosts, %-13s: tree %6v %5d messages %8d bytes; digests %6v %5d messages %8d bytes (%.0f of the messages are idle traffic)",
		size.hosts, name, treeTime.Round(time.Millisecond), t.messages, t.bytes, digestTime, sent, bytes, idleMessageRate*float64(size.hosts)/2*digestTime.Seconds())
}
