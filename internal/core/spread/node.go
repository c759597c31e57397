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
	// relaySyncInterval is the mean time between two exchanges of a relay with
	// relays of other availability zones.
	relaySyncInterval = 500 * time.Millisecond
	// contactInterval is the mean time between two tries of an address that
	// is not in use: a seed, a listed host, a host that is gone.
	contactInterval = 30 * time.Second
	// syncTimeout is how long an exchange may take before it is tried again.
	syncTimeout = 700 * time.Millisecond
	// maxSyncAttempts is the number of unanswered tries that make a host silent.
	maxSyncAttempts = 3
	// fanout is the number of random hosts to which a host pushes a new record.
	pushFanout = 3
	// smallRecordBytes is the size up to which a record is pushed; of larger
	// ones only the version is pushed, and the receiver asks one host for it.
	smallRecordBytes = 512
	// maxMessageBytes bounds the records, or the versions, in one message.
	maxMessageBytes = 4 << 10
	// pushBytesPerSecond and pushBurstBytes bound what a host pushes and repairs.
	pushBytesPerSecond = 3 << 10
	pushBurstBytes     = 32 << 10
	// fetchTimeout is how long a host waits for a record before it asks another.
	fetchTimeout = 500 * time.Millisecond
	// maxFetchAttempts is how often a host asks for a record that it was offered.
	maxFetchAttempts = 10
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
	// ContactAddress returns an address to try, empty if there is none.
	ContactAddress(now time.Time) string
	// MarkResponsive notes that a host has been heard directly.
	MarkResponsive(now time.Time, id, zone string)
	// MarkUnresponsive notes that a host has not answered several times.
	MarkUnresponsive(now time.Time, id, zone string)
}

// OutgoingMessage is a message to send.
type OutgoingMessage struct {
	Address string
	Payload []byte
}

// Node is the protocol's state on one host.
type Node struct {
	zone        string
	directory   Directory
	rand        *rand.Rand
	replica     *replica
	unpushed    map[recordID]bool // whether the record also goes to other zones
	updates     []ScopedRecord
	exchanges   map[string]*exchange
	fetches     map[recordID]*fetch
	probeOrder  []string // the zone's hosts still to be probed in this round
	zoneIndex   int
	seq         uint32
	pushTokens  float64
	lastRefill  time.Time
	nextSync    time.Time
	nextRelay   time.Time
	nextContact time.Time
	nextExpiry  time.Time
	outgoing    []OutgoingMessage
}

// exchange is a digest exchange that waits for its answer.
type exchange struct {
	peer     Peer
	seq      uint32
	sentAt   time.Time
	attempts int
}

// NewNode returns a node of a host in the given zone.
func NewNode(zone string, dir Directory, r *rand.Rand) *Node {
	return &Node{
		zone: zone, directory: dir, rand: r, replica: newReplica(),
		unpushed:   make(map[recordID]bool),
		exchanges:  make(map[string]*exchange),
		fetches:    make(map[recordID]*fetch),
		pushTokens: pushBurstBytes,
	}
}

// Put publishes a record of this host. It reports whether it was newer.
func (n *Node) Put(now time.Time, rec port.Record, scope port.Scope) bool {
	return n.store(now, ScopedRecord{Record: rec, Scope: scope}, true)
}

// Get returns the newest known record.
func (n *Node) Get(topic, key string) (port.Record, bool) {
	it, ok := n.replica.records[recordID{topic, key}]
	if !ok {
		return port.Record{}, false
	}
	return it.Record, true
}

// TakeUpdates returns the records that became known since the last call.
func (n *Node) TakeUpdates() []ScopedRecord {
	items := n.updates
	n.updates = nil
	return items
}

// merge stores a newer item and marks it for pushing; outward says that
// relays push it to other zones as well.
func (n *Node) store(now time.Time, it ScopedRecord, outward bool) bool {
	if !n.replica.put(now, it) {
		return false
	}
	key := recordID{it.Topic, it.Key}
	n.unpushed[key] = outward && it.Scope == port.ScopeFleet
	delete(n.fetches, key)
	n.updates = append(n.updates, it)
	return true
}

// Step does what is due and returns the messages to send.
func (n *Node) Step(now time.Time) []OutgoingMessage {
	n.refillTokens(now)
	n.pushUpdates()
	n.retryExchanges(now)
	n.retryFetches(now)
	if !now.Before(n.nextSync) {
		n.nextSync = n.jitteredAfter(now, syncInterval)
		n.syncZone(now)
	}
	if !now.Before(n.nextRelay) {
		n.nextRelay = n.jitteredAfter(now, relaySyncInterval)
		n.syncOtherZone(now)
	}
	if !now.Before(n.nextContact) {
		n.probeContact(now)
	}
	if !now.Before(n.nextExpiry) {
		n.nextExpiry = now.Add(time.Second)
		n.replica.removeExpired(now)
	}
	return n.takeOutgoing()
}

func (n *Node) takeOutgoing() []OutgoingMessage {
	out := n.outgoing
	n.outgoing = nil
	return out
}

// after returns the time after d, jittered by a fifth.
func (n *Node) jitteredAfter(now time.Time, d time.Duration) time.Time {
	return now.Add(time.Duration(float64(d) * (0.8 + 0.4*n.rand.Float64())))
}

func (n *Node) refillTokens(now time.Time) {
	if !n.lastRefill.IsZero() {
		n.pushTokens += now.Sub(n.lastRefill).Seconds() * pushBytesPerSecond
	}
	n.pushTokens = min(n.pushTokens, pushBurstBytes)
	n.lastRefill = now
}

func (n *Node) send(address string, m message) {
	n.outgoing = append(n.outgoing, OutgoingMessage{Address: address, Payload: m.encode()})
}

// sync starts an exchange with a peer.
func (n *Node) startExchange(now time.Time, p Peer, tries int) {
	n.seq++
	n.exchanges[p.ID] = &exchange{peer: p, seq: n.seq, sentAt: now, attempts: tries}
	n.sendDigest(p.Address, n.seq)
}

func (n *Node) sendDigest(address string, seq uint32) {
	n.send(address, message{Kind: kindDigest, Seq: seq,
		FleetDigest: n.replica.digest(port.ScopeFleet), ZoneDigest: n.replica.digest(port.ScopeZone)})
}

// retry sends unanswered exchanges again and reports silent hosts.
func (n *Node) retryExchanges(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.exchanges)) {
		e := n.exchanges[id]
		if now.Sub(e.sentAt) < syncTimeout {
			continue
		}
		delete(n.exchanges, id)
		if e.attempts >= maxSyncAttempts {
			n.directory.MarkUnresponsive(now, id, e.peer.Zone)
			continue
		}
		n.startExchange(now, e.peer, e.attempts+1)
	}
}

// syncZone exchanges digests with the next host of the zone. All are taken
// in turn, in an order drawn anew for each round.
func (n *Node) syncZone(now time.Time) {
	peers := n.directory.ZonePeers()
	byID := make(map[string]Peer, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
	}
	for {
		if len(n.probeOrder) == 0 {
			if len(peers) == 0 {
				return
			}
			for _, i := range n.rand.Perm(len(peers)) {
				n.probeOrder = append(n.probeOrder, peers[i].ID)
			}
		}
		id := n.probeOrder[0]
		n.probeOrder = n.probeOrder[1:]
		if p, ok := byID[id]; ok {
			if n.exchanges[id] == nil {
				n.startExchange(now, p, 1)
			}
			return
		}
	}
}

// syncOtherZone lets a relay exchange digests with a relay of the next zone.
func (n *Node) syncOtherZone(now time.Time) {
	zones := n.directory.OtherZones()
	if !n.directory.IsRelay() || len(zones) == 0 {
		return
	}
	n.zoneIndex++
	relays := n.directory.Relays(zones[n.zoneIndex%len(zones)])
	if len(relays) == 0 {
		return
	}
	p := relays[n.rand.IntN(len(relays))]
	if n.exchanges[p.ID] == nil {
		n.startExchange(now, p, 1)
	}
}

// probeContact tries an address outside the known hosts: often while the host
// knows nobody, seldom afterwards.
func (n *Node) probeContact(now time.Time) {
	n.nextContact = n.jitteredAfter(now, contactInterval)
	if len(n.directory.ZonePeers()) == 0 && len(n.directory.OtherZones()) == 0 {
		n.nextContact = n.jitteredAfter(now, syncInterval)
	}
	if address := n.directory.ContactAddress(now); address != "" {
		n.seq++
		n.sendDigest(address, n.seq)
	}
}

// push sends new records to a few random hosts of the zone and, from a
// relay, to a relay of each other zone.
func (n *Node) pushUpdates() {
	if len(n.unpushed) == 0 || n.pushTokens <= 0 {
		return
	}
	zonal, outward, names := n.nextPush()
	for _, p := range n.samplePeers(n.directory.ZonePeers(), pushFanout) {
		n.sendPush(p, zonal)
	}
	if len(outward.Records)+len(outward.Versions) > 0 && n.directory.IsRelay() {
		for _, zone := range n.directory.OtherZones() {
			for _, p := range n.samplePeers(n.directory.Relays(zone), 1) {
				n.sendPush(p, outward)
			}
		}
	}
	for _, key := range names {
		delete(n.unpushed, key)
	}
}

func (n *Node) sendPush(p Peer, m message) {
	before := len(n.outgoing)
	n.send(p.Address, m)
	n.pushTokens -= float64(len(n.outgoing[before].Payload))
}

// nextPush fills one message for the zone and one for other zones; records
// for the whole fleet go first.
func (n *Node) nextPush() (zonal, outward message, names []recordID) {
	zonal.Kind, outward.Kind = kindUpdate, kindUpdate
	room := maxMessageBytes
	keys := slices.SortedFunc(maps.Keys(n.unpushed), compareRecordIDs)
	for _, scope := range []port.Scope{port.ScopeFleet, port.ScopeZone} {
		for _, key := range keys {
			out := n.unpushed[key]
			it, ok := n.replica.records[key]
			if !ok {
				delete(n.unpushed, key)
				continue
			}
			if it.Scope != scope || room <= 0 {
				continue
			}
			names = append(names, key)
			room -= zonal.addRecord(it)
			if out {
				outward.addRecord(it)
			}
		}
	}
	return zonal, outward, names
}

// add puts a small record, or the version of a large one, into a message and
// returns about how many bytes that takes.
func (m *message) addRecord(it *ScopedRecord) int {
	if len(it.Value) <= smallRecordBytes {
		m.Records = append(m.Records, toWire(it))
		return approxSize(it)
	}
	m.Versions = append(m.Versions, versionOf(it))
	return approxSize(it) - len(it.Value)
}

func (n *Node) samplePeers(peers []Peer, k int) []Peer {
	if len(peers) <= k {
		return peers
	}
	picked := make([]Peer, 0, k)
	for _, i := range n.rand.Perm(len(peers))[:k] {
		picked = append(picked, peers[i])
	}
	return picked
}
