package spread

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// StepInterval is the time between two calls of Node.Step.
	StepInterval = 100 * time.Millisecond
	// syncInterval is the mean time between two digest exchanges with hosts of
	// the own availability zone, with a jitter of 20%.
	syncInterval = time.Second
	// relaySyncInterval is the mean time between two digest exchanges of a relay
	// with relays of other availability zones.
	relaySyncInterval = 500 * time.Millisecond
	// contactInterval is the mean time between two digests to an address outside the
	// known hosts: a seed, a listed host or a host that is gone.
	contactInterval = 30 * time.Second
	// syncTimeout is how long a digest may stay without a response before the
	// exchange is retried.
	syncTimeout = 700 * time.Millisecond
	// maxSyncAttempts is the number of digests in a row without a response after
	// which a host is reported as unresponsive.
	maxSyncAttempts = 3
	// pushFanout is the number of random hosts to which a host pushes a new
	// record.
	pushFanout = 3
	// smallRecordBytes is the value size up to which a record is pushed as a
	// whole. Of a larger one only the version is pushed, and the receiver
	// requests the record from one host.
	smallRecordBytes = 512
	// fullMessageBytes is the total size of records or versions from which on no
	// more are added to a message. The last one added may exceed it.
	fullMessageBytes = 4 << 10
	// pushBytesPerSecond and pushBurstBytes are the rate and burst of this host's
	// token bucket. Pushes and all other messages of kindUpdate are charged to it;
	// only pushes and repairs wait for tokens.
	pushBytesPerSecond = 3 << 10
	pushBurstBytes     = 32 << 10
	// fetchTimeout is how long a host waits for a requested record before it
	// requests the record again, from the next source.
	fetchTimeout = 500 * time.Millisecond
	// maxFetchAttempts is how often a host requests a record before it gives up.
	maxFetchAttempts = 10
)

// Peer is a host that messages can be sent to. Zone is its availability zone.
type Peer struct{ ID, Zone, Address string }

// Directory is the list of known hosts and their state. The Node calls it from
// Step and Receive only.
type Directory interface {
	// ZonePeers returns the other hosts of this host's zone that are not gone.
	ZonePeers() []Peer
	// OtherZones returns the names of the other zones that have hosts.
	OtherZones() []string
	// Relays returns the hosts that exchange records with other zones on behalf
	// of a zone.
	Relays(zone string) []Peer
	// IsRelay reports whether this host is a relay of its zone.
	IsRelay() bool
	// ContactAddress returns the next address outside the known hosts to contact,
	// empty if there is none.
	ContactAddress(now time.Time) string
	// MarkResponsive records that a message has arrived from the host itself, not
	// only a record about it.
	MarkResponsive(now time.Time, id, zone string)
	// MarkUnresponsive records that a host has not responded to maxSyncAttempts
	// digests in a row.
	MarkUnresponsive(now time.Time, id, zone string)
}

// OutgoingMessage is an encoded message to send.
type OutgoingMessage struct {
	Address string
	Payload []byte
}

// Node is the state of the gossip protocol on one host.
type Node struct {
	zone      string
	directory Directory
	rand      *rand.Rand
	replica   *replica
	// unpushed holds the records still to be pushed; the value says whether they
	// are also pushed to other zones.
	unpushed map[recordID]bool
	// updates holds the records to be returned by TakeUpdates.
	updates []ScopedRecord
	// exchanges holds the exchanges that wait for a response, by host ID.
	exchanges map[string]*exchange
	fetches   map[recordID]*fetch
	// syncOrder holds the IDs of the hosts of the zone that are still to be synced
	// with in this round.
	syncOrder []string
	// syncZoneIndex selects, modulo their number, the other zone synced with last.
	syncZoneIndex int
	// synced is set once a synced peer's digest has equalled this host's, or by SetSynced.
	synced bool
	// seq is the Seq of the digest sent last.
	seq uint32
	// pushAllowanceBytes is the level of the token bucket, in bytes: how much may be
	// sent in pushes and repairs at present. A message may take it below 0.
	pushAllowanceBytes float64
	lastRefill         time.Time
	// The next times of the periodic actions of Step.
	nextSync      time.Time
	nextRelaySync time.Time
	nextContact   time.Time
	nextExpiry    time.Time
	// outgoing holds the messages to be returned by Step or Receive.
	outgoing []OutgoingMessage
}

// exchange is a digest exchange that waits for its kindBucketDigests.
type exchange struct {
	peer   Peer
	seq    uint32
	sentAt time.Time
	// attempts is the number of digests sent in a row, including this one.
	attempts int
}

// NewNode returns the node of a host in the given zone.
func NewNode(zone string, directory Directory, r *rand.Rand) *Node {
	return &Node{
		zone: zone, directory: directory, rand: r, replica: newReplica(),
		unpushed:           make(map[recordID]bool),
		exchanges:          make(map[string]*exchange),
		fetches:            make(map[recordID]*fetch),
		pushAllowanceBytes: pushBurstBytes,
	}
}

// Synced reports whether this host has had the same records as a synced host at least
// once. Until then it exchanges digests again as soon as it has received records.
func (n *Node) Synced() bool { return n.synced }

// SetSynced makes this host count as synced with what it has.
func (n *Node) SetSynced() { n.synced = true }

// Put publishes a record of this host. It reports whether the record was
// stored: it must be newer than the known version and not expired, and a record
// without a known version is rejected once there are MaxRecords.
func (n *Node) Put(now time.Time, rec port.GossipRecord, scope port.GossipScope) bool {
	return n.store(now, ScopedRecord{GossipRecord: rec, Scope: scope}, true)
}

// Get returns the newest known version of a record and whether there is one.
func (n *Node) Get(topic, key string) (port.GossipRecord, bool) {
	rec, ok := n.replica.records[recordID{topic, key}]
	if !ok {
		return port.GossipRecord{}, false
	}
	return rec.GossipRecord, true
}

// TakeUpdates returns the records stored since the last call, those of Put and
// those received, in the order in which they were stored.
func (n *Node) TakeUpdates() []ScopedRecord {
	updates := n.updates
	n.updates = nil
	return updates
}

// store stores a newer record and marks it for pushing; it returns what
// replica.put returns. crossZone says that this host, if it is a relay, also
// pushes the record to other zones if its scope is the fleet.
func (n *Node) store(now time.Time, rec ScopedRecord, crossZone bool) bool {
	if !n.replica.put(now, rec) {
		return false
	}
	id := recordID{rec.Topic, rec.Key}
	n.unpushed[id] = crossZone && rec.Scope == port.ScopeFleet
	delete(n.fetches, id)
	n.updates = append(n.updates, rec)
	return true
}

// Step runs the actions that are due and returns the messages to send. The caller
// calls it every StepInterval.
func (n *Node) Step(now time.Time) []OutgoingMessage {
	n.refillPushAllowance(now)
	n.pushUpdates()
	n.retryExchanges(now)
	n.retryFetches(now)
	if !now.Before(n.nextSync) {
		n.nextSync = n.jitteredAfter(now, syncInterval)
		n.syncZone(now)
	}
	if !now.Before(n.nextRelaySync) {
		n.nextRelaySync = n.jitteredAfter(now, relaySyncInterval)
		n.syncOtherZone(now)
	}
	if !now.Before(n.nextContact) {
		n.sendContactDigest(now)
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

// jitteredAfter returns the time d after now, with a jitter of 20% of d.
func (n *Node) jitteredAfter(now time.Time, d time.Duration) time.Time {
	return now.Add(time.Duration(float64(d) * (0.8 + 0.4*n.rand.Float64())))
}

// refillPushAllowance adds pushBytesPerSecond for the time since the last refill to
// the token bucket, up to pushBurstBytes.
func (n *Node) refillPushAllowance(now time.Time) {
	if !n.lastRefill.IsZero() {
		n.pushAllowanceBytes += now.Sub(n.lastRefill).Seconds() * pushBytesPerSecond
	}
	n.pushAllowanceBytes = min(n.pushAllowanceBytes, pushBurstBytes)
	n.lastRefill = now
}

func (n *Node) send(address string, m message) {
	n.outgoing = append(n.outgoing, OutgoingMessage{Address: address, Payload: m.encode()})
}

// startExchange sends a digest to a peer. attempts includes this one.
func (n *Node) startExchange(now time.Time, p Peer, attempts int) {
	n.seq++
	n.exchanges[p.ID] = &exchange{peer: p, seq: n.seq, sentAt: now, attempts: attempts}
	n.sendDigest(p.Address, n.seq)
}

func (n *Node) sendDigest(address string, seq uint32) {
	n.send(address, message{Kind: kindDigest, Seq: seq,
		FleetDigest: n.replica.digest(port.ScopeFleet), ZoneDigest: n.replica.digest(port.ScopeZone)})
}

// retryExchanges repeats the exchanges without a response in time and reports
// unresponsive hosts.
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

// syncZone exchanges digests with the next host of the zone. Each round
// contacts all hosts in a new random order.
func (n *Node) syncZone(now time.Time) {
	peers := n.directory.ZonePeers()
	byID := make(map[string]Peer, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
	}
	for {
		if len(n.syncOrder) == 0 {
			if len(peers) == 0 {
				return
			}
			for _, i := range n.rand.Perm(len(peers)) {
				n.syncOrder = append(n.syncOrder, peers[i].ID)
			}
		}
		id := n.syncOrder[0]
		n.syncOrder = n.syncOrder[1:]
		if p, ok := byID[id]; ok {
			if n.exchanges[id] == nil {
				n.startExchange(now, p, 1)
			}
			return
		}
	}
}

// syncOtherZone exchanges digests with a random relay of the next zone if this
// host is a relay.
func (n *Node) syncOtherZone(now time.Time) {
	zones := n.directory.OtherZones()
	if !n.directory.IsRelay() || len(zones) == 0 {
		return
	}
	n.syncZoneIndex++
	relays := n.directory.Relays(zones[n.syncZoneIndex%len(zones)])
	if len(relays) == 0 {
		return
	}
	p := relays[n.rand.IntN(len(relays))]
	if n.exchanges[p.ID] == nil {
		n.startExchange(now, p, 1)
	}
}

// sendContactDigest sends a digest to an address outside the known hosts: at
// syncInterval while no other host is known, at contactInterval otherwise. It
// starts no exchange, because the ID of the host there is unknown.
func (n *Node) sendContactDigest(now time.Time) {
	n.nextContact = n.jitteredAfter(now, contactInterval)
	if len(n.directory.ZonePeers()) == 0 && len(n.directory.OtherZones()) == 0 {
		n.nextContact = n.jitteredAfter(now, syncInterval)
	}
	if address := n.directory.ContactAddress(now); address != "" {
		n.seq++
		n.sendDigest(address, n.seq)
	}
}

// pushUpdates sends new records to pushFanout random hosts of the zone and, from a
// relay, to one random relay of each other zone.
func (n *Node) pushUpdates() {
	if len(n.unpushed) == 0 || n.pushAllowanceBytes <= 0 {
		return
	}
	zoneUpdate, crossZoneUpdate, pushed := n.nextPush()
	for _, p := range n.samplePeers(n.directory.ZonePeers(), pushFanout) {
		n.sendPush(p, zoneUpdate)
	}
	if len(crossZoneUpdate.Records)+len(crossZoneUpdate.Versions) > 0 && n.directory.IsRelay() {
		for _, zone := range n.directory.OtherZones() {
			for _, p := range n.samplePeers(n.directory.Relays(zone), 1) {
				n.sendPush(p, crossZoneUpdate)
			}
		}
	}
	for _, id := range pushed {
		delete(n.unpushed, id)
	}
}

// sendPush sends a message and charges its size to the token bucket.
func (n *Node) sendPush(p Peer, m message) {
	before := len(n.outgoing)
	n.send(p.Address, m)
	n.pushAllowanceBytes -= float64(len(n.outgoing[before].Payload))
}

// nextPush fills one message for the zone and one for other zones, and returns
// them with the IDs of the records included. Records for the whole fleet go first.
// Records that have been removed are no longer marked for pushing.
func (n *Node) nextPush() (zoneUpdate, crossZoneUpdate message, included []recordID) {
	zoneUpdate.Kind, crossZoneUpdate.Kind = kindUpdate, kindUpdate
	budget := fullMessageBytes
	ids := slices.SortedFunc(maps.Keys(n.unpushed), compareRecordIDs)
	for _, scope := range []port.GossipScope{port.ScopeFleet, port.ScopeZone} {
		for _, id := range ids {
			crossZone := n.unpushed[id]
			rec, ok := n.replica.records[id]
			if !ok {
				delete(n.unpushed, id)
				continue
			}
			if rec.Scope != scope || budget <= 0 {
				continue
			}
			included = append(included, id)
			budget -= zoneUpdate.addRecord(rec)
			if crossZone {
				crossZoneUpdate.addRecord(rec)
			}
		}
	}
	return zoneUpdate, crossZoneUpdate, included
}

// addRecord adds a small record, or the version of a large one, to a message
// and returns its approximate size in bytes.
func (m *message) addRecord(rec *ScopedRecord) int {
	if len(rec.Value) <= smallRecordBytes {
		m.Records = append(m.Records, toWire(rec))
		return approxSize(rec)
	}
	m.Versions = append(m.Versions, versionOf(rec))
	return approxSize(rec) - len(rec.Value)
}

// samplePeers returns count random peers of the list, or all if it has no more.
func (n *Node) samplePeers(peers []Peer, count int) []Peer {
	if len(peers) <= count {
		return peers
	}
	picked := make([]Peer, 0, count)
	for _, i := range n.rand.Perm(len(peers))[:count] {
		picked = append(picked, peers[i])
	}
	return picked
}
