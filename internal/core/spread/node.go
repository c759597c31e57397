package spread

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// StepInterval is how often Step is to be called.
	StepInterval = 100 * time.Millisecond
	// syncInterval is the mean time between two digest exchanges of a host
	// with hosts of its own availability zone, each jittered by a fifth.
	syncInterval = time.Second
	// relayInterval is the mean time between two exchanges of a relay with
	// relays of other availability zones.
	relayInterval = 500 * time.Millisecond
	// contactInterval is the mean time between two tries of an address that
	// is not in use: a seed, a listed host, a host that is gone.
	contactInterval = 30 * time.Second
	// syncTimeout is how long an exchange may take before it is tried again.
	syncTimeout = 700 * time.Millisecond
	// syncTries is the number of unanswered tries that make a host silent.
	syncTries = 3
	// fanout is the number of random hosts to which a host pushes a new record.
	fanout = 3
	// smallItemBytes is the size up to which a record is pushed; of larger
	// ones only the version is pushed, and the receiver asks one host for it.
	smallItemBytes = 512
	// messageBytes bounds the records, or the versions, in one message.
	messageBytes = 4 << 10
	// pushBytesPerSecond and pushBurstBytes bound what a host pushes and repairs.
	pushBytesPerSecond = 3 << 10
	pushBurstBytes     = 32 << 10
	// wantTimeout is how long a host waits for a record before it asks another.
	wantTimeout = 500 * time.Millisecond
	// wantTries is how often a host asks for a record that it was offered.
	wantTries = 10
)

// Peer is a host that messages can be sent to.
type Peer struct{ ID, Zone, Address string }

// Directory knows the hosts.
type Directory interface {
	// ZonePeers returns the other hosts of this host's zone that are not gone.
	ZonePeers() []Peer
	// OtherZones returns the names of the other zones that have hosts.
	OtherZones() []string
	// Relays returns the hosts that speak for a zone.
	Relays(zone string) []Peer
	// IsRelay reports whether this host speaks for its zone.
	IsRelay() bool
	// Contact returns an address to try, empty if there is none.
	Contact(now time.Time) string
	// Answered notes that a host has been heard directly.
	Answered(now time.Time, id, zone string)
	// Silent notes that a host has not answered several times.
	Silent(now time.Time, id, zone string)
}

// Out is a message to send.
type Out struct {
	Address string
	Payload []byte
}

// Node is the protocol's state on one host.
type Node struct {
	zone      string
	dir       Directory
	rand      *rand.Rand
	rep       *replica
	hot       map[name]bool // whether the record also goes to other zones
	newer     []Item
	pending   map[string]*exchange
	wanted    map[name]*want
	order     []string // the zone's hosts still to be probed in this round
	zoneTurn  int
	seq       uint32
	tokens    float64
	steppedAt time.Time
	nextSync  time.Time
	nextRelay time.Time
	nextTry   time.Time
	nextSweep time.Time
	out       []Out
}

// exchange is a digest exchange that waits for its answer.
type exchange struct {
	peer   Peer
	seq    uint32
	sentAt time.Time
	tries  int
}

// NewNode returns a node of a host in the given zone.
func NewNode(zone string, dir Directory, r *rand.Rand) *Node {
	return &Node{
		zone: zone, dir: dir, rand: r, rep: newReplica(),
		hot:     make(map[name]bool),
		pending: make(map[string]*exchange),
		wanted:  make(map[name]*want),
		tokens:  pushBurstBytes,
	}
}

// Put publishes a record of this host. It reports whether it was newer.
func (n *Node) Put(now time.Time, rec port.GossipRecord, scope port.GossipScope) bool {
	return n.merge(now, Item{GossipRecord: rec, Scope: scope}, true)
}

// Get returns the newest known record.
func (n *Node) Get(topic, key string) (port.GossipRecord, bool) {
	it, ok := n.rep.items[name{topic, key}]
	if !ok {
		return port.GossipRecord{}, false
	}
	return it.GossipRecord, true
}

// TakeNewer returns the records that became known since the last call.
func (n *Node) TakeNewer() []Item {
	items := n.newer
	n.newer = nil
	return items
}

// merge stores a newer item and marks it for pushing; outward says that
// relays push it to other zones as well.
func (n *Node) merge(now time.Time, it Item, outward bool) bool {
	if !n.rep.put(now, it) {
		return false
	}
	key := name{it.Topic, it.Key}
	n.hot[key] = outward && it.Scope == port.ScopeFleet
	delete(n.wanted, key)
	n.newer = append(n.newer, it)
	return true
}

// Step does what is due and returns the messages to send.
func (n *Node) Step(now time.Time) []Out {
	n.refill(now)
	n.push()
	n.retry(now)
	n.askAgain(now)
	if !now.Before(n.nextSync) {
		n.nextSync = n.after(now, syncInterval)
		n.syncZone(now)
	}
	if !now.Before(n.nextRelay) {
		n.nextRelay = n.after(now, relayInterval)
		n.syncOtherZone(now)
	}
	if !now.Before(n.nextTry) {
		n.tryContact(now)
	}
	if !now.Before(n.nextSweep) {
		n.nextSweep = now.Add(time.Second)
		n.rep.expire(now)
	}
	return n.takeOut()
}

func (n *Node) takeOut() []Out {
	out := n.out
	n.out = nil
	return out
}

// after returns the time after d, jittered by a fifth.
func (n *Node) after(now time.Time, d time.Duration) time.Time {
	return now.Add(time.Duration(float64(d) * (0.8 + 0.4*n.rand.Float64())))
}

func (n *Node) refill(now time.Time) {
	if !n.steppedAt.IsZero() {
		n.tokens += now.Sub(n.steppedAt).Seconds() * pushBytesPerSecond
	}
	n.tokens = min(n.tokens, pushBurstBytes)
	n.steppedAt = now
}

func (n *Node) send(address string, m message) {
	n.out = append(n.out, Out{Address: address, Payload: m.encode()})
}

// sync starts an exchange with a peer.
func (n *Node) sync(now time.Time, p Peer, tries int) {
	n.seq++
	n.pending[p.ID] = &exchange{peer: p, seq: n.seq, sentAt: now, tries: tries}
	n.sendSync(p.Address, n.seq)
}

func (n *Node) sendSync(address string, seq uint32) {
	n.send(address, message{Kind: kindSync, Seq: seq,
		FleetSum: n.rep.sum(port.ScopeFleet), ZoneSum: n.rep.sum(port.ScopeZone)})
}

// retry sends unanswered exchanges again and reports silent hosts.
func (n *Node) retry(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.pending)) {
		e := n.pending[id]
		if now.Sub(e.sentAt) < syncTimeout {
			continue
		}
		delete(n.pending, id)
		if e.tries >= syncTries {
			n.dir.Silent(now, id, e.peer.Zone)
			continue
		}
		n.sync(now, e.peer, e.tries+1)
	}
}

// syncZone exchanges digests with the next host of the zone. All are taken
// in turn, in an order drawn anew for each round.
func (n *Node) syncZone(now time.Time) {
	peers := n.dir.ZonePeers()
	byID := make(map[string]Peer, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
	}
	for {
		if len(n.order) == 0 {
			if len(peers) == 0 {
				return
			}
			for _, i := range n.rand.Perm(len(peers)) {
				n.order = append(n.order, peers[i].ID)
			}
		}
		id := n.order[0]
		n.order = n.order[1:]
		if p, ok := byID[id]; ok {
			if n.pending[id] == nil {
				n.sync(now, p, 1)
			}
			return
		}
	}
}

// syncOtherZone lets a relay exchange digests with a relay of the next zone.
func (n *Node) syncOtherZone(now time.Time) {
	zones := n.dir.OtherZones()
	if !n.dir.IsRelay() || len(zones) == 0 {
		return
	}
	n.zoneTurn++
	relays := n.dir.Relays(zones[n.zoneTurn%len(zones)])
	if len(relays) == 0 {
		return
	}
	p := relays[n.rand.IntN(len(relays))]
	if n.pending[p.ID] == nil {
		n.sync(now, p, 1)
	}
}

// tryContact tries an address outside the known hosts: often while the host
// knows nobody, seldom afterwards.
func (n *Node) tryContact(now time.Time) {
	n.nextTry = n.after(now, contactInterval)
	if len(n.dir.ZonePeers()) == 0 && len(n.dir.OtherZones()) == 0 {
		n.nextTry = n.after(now, syncInterval)
	}
	if address := n.dir.Contact(now); address != "" {
		n.seq++
		n.sendSync(address, n.seq)
	}
}

// push sends new records to a few random hosts of the zone and, from a
// relay, to a relay of each other zone.
func (n *Node) push() {
	if len(n.hot) == 0 || n.tokens <= 0 {
		return
	}
	zonal, outward, names := n.pickHot()
	for _, p := range n.sample(n.dir.ZonePeers(), fanout) {
		n.sendBatch(p, zonal)
	}
	if len(outward.Records)+len(outward.Heads) > 0 && n.dir.IsRelay() {
		for _, zone := range n.dir.OtherZones() {
			for _, p := range n.sample(n.dir.Relays(zone), 1) {
				n.sendBatch(p, outward)
			}
		}
	}
	for _, key := range names {
		delete(n.hot, key)
	}
}

func (n *Node) sendBatch(p Peer, m message) {
	before := len(n.out)
	n.send(p.Address, m)
	n.tokens -= float64(len(n.out[before].Payload))
}

// pickHot fills one message for the zone and one for other zones; records
// for the whole fleet go first.
func (n *Node) pickHot() (zonal, outward message, names []name) {
	zonal.Kind, outward.Kind = kindUpdate, kindUpdate
	room := messageBytes
	keys := slices.SortedFunc(maps.Keys(n.hot), compareNames)
	for _, scope := range []port.GossipScope{port.ScopeFleet, port.ScopeZone} {
		for _, key := range keys {
			out := n.hot[key]
			it, ok := n.rep.items[key]
			if !ok {
				delete(n.hot, key)
				continue
			}
			if it.Scope != scope || room <= 0 {
				continue
			}
			names = append(names, key)
			room -= zonal.add(it)
			if out {
				outward.add(it)
			}
		}
	}
	return zonal, outward, names
}

// add puts a small record, or the version of a large one, into a message and
// returns about how many bytes that takes.
func (m *message) add(it *Item) int {
	if len(it.Value) <= smallItemBytes {
		m.Records = append(m.Records, toWire(it))
		return size(it)
	}
	m.Heads = append(m.Heads, headOf(it))
	return size(it) - len(it.Value)
}

func (n *Node) sample(peers []Peer, k int) []Peer {
	if len(peers) <= k {
		return peers
	}
	picked := make([]Peer, 0, k)
	for _, i := range n.rand.Perm(len(peers))[:k] {
		picked = append(picked, peers[i])
	}
	return picked
}
