package spread

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// Receive takes a message of a peer and returns the answers. It returns an
// error for a message that can't be decoded.
func (n *Node) Receive(now time.Time, from Peer, payload []byte) ([]OutgoingMessage, error) {
	m, err := decodeMessage(payload)
	if err != nil {
		return nil, err
	}
	n.directory.MarkResponsive(now, from.ID, from.Zone)
	switch m.Kind {
	case kindDigest:
		n.handleDigest(from, m)
	case kindBucketDigests:
		n.handleBucketDigests(from, m)
	case kindVersions:
		n.handleVersions(now, from, m)
	case kindUpdate:
		n.handleUpdate(now, from, m)
	}
	return n.takeOutgoing(), nil
}

func (n *Node) sameZone(p Peer) bool { return p.Zone == n.zone }

func (n *Node) handleDigest(from Peer, m message) {
	reply := message{Kind: kindBucketDigests, Seq: m.Seq}
	if m.FleetDigest != n.replica.digest(port.ScopeFleet) {
		reply.FleetBucketDigests = n.replica.bucketDigests(port.ScopeFleet)
	}
	if n.sameZone(from) && m.ZoneDigest != n.replica.digest(port.ScopeZone) {
		reply.ZoneBucketDigests = n.replica.bucketDigests(port.ScopeZone)
	}
	n.send(from.Address, reply)
}

func (n *Node) handleBucketDigests(from Peer, m message) {
	if e, ok := n.exchanges[from.ID]; ok && e.seq == m.Seq {
		delete(n.exchanges, from.ID)
	}
	reply := message{Kind: kindVersions}
	room := maxMessageBytes
	room, reply.FleetBucketMask = n.addVersions(&reply, port.ScopeFleet, n.replica.differingBuckets(port.ScopeFleet, m.FleetBucketDigests), room)
	if n.sameZone(from) {
		_, reply.ZoneBucketMask = n.addVersions(&reply, port.ScopeZone, n.replica.differingBuckets(port.ScopeZone, m.ZoneBucketDigests), room)
	}
	if reply.FleetBucketMask|reply.ZoneBucketMask != 0 {
		n.send(from.Address, reply)
	}
}

// addVersions adds the versions of all records in the masked buckets, as many
// buckets as there is room for, starting at a random one.
func (n *Node) addVersions(m *message, scope port.Scope, mask uint64, room int) (int, uint64) {
	var done uint64
	first := n.rand.IntN(bucketCount)
	for i := range bucketCount {
		b := (first + i) % bucketCount
		if mask&(1<<b) == 0 || room <= 0 {
			continue
		}
		done |= 1 << b
		for key := range n.replica.ids[scope][b] {
			it := n.replica.records[key]
			m.Versions = append(m.Versions, versionOf(it))
			room -= approxSize(it) - len(it.Value)
		}
	}
	return room, done
}

// handleVersions sends what the peer lacks and asks for what this host lacks.
func (n *Node) handleVersions(now time.Time, from Peer, m message) {
	theirs := make(map[recordID]uint64, len(m.Versions))
	for _, h := range m.Versions {
		theirs[h.id()] = h.Version
	}
	reply := message{Kind: kindUpdate, Requests: n.startFetches(now, from, m.Versions)}
	room := n.repairBudget()
	room = n.addNewerRecords(&reply, port.ScopeFleet, m.FleetBucketMask, theirs, room)
	if n.sameZone(from) {
		n.addNewerRecords(&reply, port.ScopeZone, m.ZoneBucketMask, theirs, room)
	}
	n.sendUpdate(from, reply)
}

// repairBudget is how many bytes of records may go into an answer.
func (n *Node) repairBudget() int { return max(0, min(maxMessageBytes, int(n.pushTokens))) }

func (n *Node) addNewerRecords(m *message, scope port.Scope, mask uint64, theirs map[recordID]uint64, room int) int {
	for ; mask != 0; mask &= mask - 1 {
		for key := range n.replica.ids[scope][bits.TrailingZeros64(mask)] {
			it := n.replica.records[key]
			version, known := theirs[key]
			if room > 0 && (!known || version < it.Version) {
				room -= m.addRecord(it)
			}
		}
	}
	return room
}

// want is a record that a peer has offered and that has not come yet.
type fetch struct {
	version     uint64
	requestedAt time.Time
	attempts    int
	// from are the peers that offered the version, asked in turn.
	sources []Peer
}

// wants notes what a peer offers and lists what to ask of it now: the newer
// records that no other peer has just been asked for.
func (n *Node) startFetches(now time.Time, from Peer, heads []recordVersion) []wireRecordID {
	var out []wireRecordID
	room := maxMessageBytes
	for _, h := range heads {
		key := h.id()
		if room <= 0 || !n.replica.isNewer(key, h.Version) {
			continue
		}
		w := n.fetches[key]
		if w != nil && w.version >= h.Version {
			w.addSource(from)
			continue
		}
		if len(n.fetches) >= MaxRecords {
			return out
		}
		n.fetches[key] = &fetch{version: h.Version, requestedAt: now, attempts: 1, sources: []Peer{from}}
		out = append(out, wireRecordID{Topic: h.Topic, Key: h.Key})
		room -= len(h.Topic) + len(h.Key) + 4
	}
	return out
}

// offered notes one more peer that has the version.
func (w *fetch) addSource(p Peer) {
	if len(w.sources) < maxFetchAttempts && !slices.Contains(w.sources, p) {
		w.sources = append(w.sources, p)
	}
}

// retryFetches asks the next peer for the records that have not come.
func (n *Node) retryFetches(now time.Time) {
	for _, key := range slices.SortedFunc(maps.Keys(n.fetches), compareRecordIDs) {
		w := n.fetches[key]
		if now.Sub(w.requestedAt) < fetchTimeout {
			continue
		}
		if w.attempts >= maxFetchAttempts || !n.replica.isNewer(key, w.version) {
			delete(n.fetches, key)
			continue
		}
		p := w.sources[w.attempts%len(w.sources)]
		w.attempts++
		w.requestedAt = now
		n.sendUpdate(p, message{Kind: kindUpdate, Requests: []wireRecordID{{Topic: key.topic, Key: key.key}}})
	}
}

func (n *Node) handleUpdate(now time.Time, from Peer, m message) {
	for _, w := range m.Records {
		it, ok := w.scopedRecord()
		if !ok || it.Scope == port.ScopeZone && !n.sameZone(from) {
			continue
		}
		n.store(now, it, n.sameZone(from))
	}
	reply := message{Kind: kindUpdate, Requests: n.startFetches(now, from, m.Versions)}
	n.addRequested(&reply, from, m.Requests)
	n.sendUpdate(from, reply)
}

// addRequested adds the records that a peer asked for. One large record may go
// beyond the room; the peer asks again for what found none.
func (n *Node) addRequested(m *message, from Peer, wants []wireRecordID) {
	room := maxMessageBytes
	for _, w := range wants {
		it, ok := n.replica.records[recordID{w.Topic, w.Key}]
		if !ok || room <= 0 || it.Scope == port.ScopeZone && !n.sameZone(from) {
			continue
		}
		m.Records = append(m.Records, toWire(it))
		room -= approxSize(it)
	}
}

func (n *Node) sendUpdate(to Peer, m message) {
	if len(m.Records)+len(m.Versions)+len(m.Requests) == 0 {
		return
	}
	before := len(n.outgoing)
	n.send(to.Address, m)
	spent := min(len(n.outgoing[before].Payload), maxMessageBytes)
	n.pushTokens -= float64(spent)
}
