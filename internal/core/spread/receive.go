package spread

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// Receive handles a message of a peer and returns the messages to send. from is the
// peer that sent the message itself. It returns an error if the message can't be
// decoded.
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

// handleDigest responds with the bucket digests of the scopes that differ.
func (n *Node) handleDigest(from Peer, m message) {
	response := message{Kind: kindBucketDigests, Seq: m.Seq, CatchingUp: !n.synced}
	if m.FleetDigest != n.replica.digest(port.ScopeFleet) {
		response.FleetBucketDigests = n.replica.bucketDigests(port.ScopeFleet)
	}
	if n.sameZone(from) && m.ZoneDigest != n.replica.digest(port.ScopeZone) {
		response.ZoneBucketDigests = n.replica.bucketDigests(port.ScopeZone)
	}
	n.send(from.Address, response)
}

// handleBucketDigests ends the exchange and responds with the versions of the
// records in the buckets that differ. If none differs from a synced host's, this host is
// synced.
func (n *Node) handleBucketDigests(from Peer, m message) {
	if e, ok := n.exchanges[from.ID]; ok && e.seq == m.Seq {
		delete(n.exchanges, from.ID)
	}
	response := message{Kind: kindVersions}
	budget := fullMessageBytes
	budget, response.FleetBucketMask = n.addVersions(&response, port.ScopeFleet, n.replica.differingBuckets(port.ScopeFleet, m.FleetBucketDigests), budget)
	if n.sameZone(from) {
		_, response.ZoneBucketMask = n.addVersions(&response, port.ScopeZone, n.replica.differingBuckets(port.ScopeZone, m.ZoneBucketDigests), budget)
	}
	if response.FleetBucketMask|response.ZoneBucketMask != 0 {
		n.send(from.Address, response)
	} else if !m.CatchingUp {
		n.synced = true
	}
}

// addVersions adds the versions of all records in the buckets of the mask, starting
// at a random bucket, until the budget in bytes is used up; the last bucket may
// exceed it. It returns the remaining budget and the mask of the buckets added.
func (n *Node) addVersions(m *message, scope port.GossipScope, mask uint64, budget int) (int, uint64) {
	var included uint64
	first := n.rand.IntN(bucketCount)
	for i := range bucketCount {
		b := (first + i) % bucketCount
		if mask&(1<<b) == 0 || budget <= 0 {
			continue
		}
		included |= 1 << b
		for id := range n.replica.idsByBucket[scope][b] {
			rec := n.replica.records[id]
			m.Versions = append(m.Versions, versionOf(rec))
			budget -= approxSize(rec) - len(rec.Value)
		}
	}
	return budget, included
}

// handleVersions sends the records in the masked buckets that the peer lacks or has
// in an older version, and requests those of which it has a newer version.
func (n *Node) handleVersions(now time.Time, from Peer, m message) {
	peerVersions := make(map[recordID]uint64, len(m.Versions))
	for _, v := range m.Versions {
		peerVersions[v.id()] = v.Version
	}
	response := message{Kind: kindUpdate, Requests: n.startFetches(now, from, m.Versions)}
	budget := n.repairBudget()
	budget = n.addNewerRecords(&response, port.ScopeFleet, m.FleetBucketMask, peerVersions, budget)
	if n.sameZone(from) {
		n.addNewerRecords(&response, port.ScopeZone, m.ZoneBucketMask, peerVersions, budget)
	}
	n.sendUpdate(from, response)
}

// repairBudget returns how many bytes of records may go into a response to
// kindVersions.
func (n *Node) repairBudget() int { return max(0, min(fullMessageBytes, int(n.pushAllowanceBytes))) }

// addNewerRecords adds the records in the buckets of the mask that the peer lacks or
// has in an older version, until the budget in bytes is used up. It returns the
// remaining budget.
func (n *Node) addNewerRecords(m *message, scope port.GossipScope, mask uint64, peerVersions map[recordID]uint64, budget int) int {
	for ; mask != 0; mask &= mask - 1 {
		for id := range n.replica.idsByBucket[scope][bits.TrailingZeros64(mask)] {
			rec := n.replica.records[id]
			version, known := peerVersions[id]
			if budget > 0 && (!known || version < rec.Version) {
				budget -= m.addRecord(rec)
			}
		}
	}
	return budget
}

// fetch is a record that this host has requested and that has not arrived yet.
type fetch struct {
	version     uint64
	requestedAt time.Time
	attempts    int
	// sources are the peers that offered the version, or an older one that this
	// host lacks too; they are asked in turn.
	sources []Peer
}

// startFetches starts to fetch the records of which a peer offers a newer version
// and returns the requests to send to it. If a record is being fetched already, in
// that version or a newer one, the peer only becomes another source.
func (n *Node) startFetches(now time.Time, from Peer, versions []recordVersion) []wireRecordID {
	var out []wireRecordID
	budget := fullMessageBytes
	for _, v := range versions {
		id := v.id()
		if budget <= 0 || !n.replica.isNewer(id, v.Version) {
			continue
		}
		f := n.fetches[id]
		if f != nil && f.version >= v.Version {
			f.addSource(from)
			continue
		}
		if len(n.fetches) >= MaxRecords {
			return out
		}
		n.fetches[id] = &fetch{version: v.Version, requestedAt: now, attempts: 1, sources: []Peer{from}}
		out = append(out, wireRecordID{Topic: v.Topic, Key: v.Key})
		budget -= len(v.Topic) + len(v.Key) + 4
	}
	return out
}

// addSource adds a peer to ask for the record, up to maxFetchAttempts peers.
func (f *fetch) addSource(p Peer) {
	if len(f.sources) < maxFetchAttempts && !slices.Contains(f.sources, p) {
		f.sources = append(f.sources, p)
	}
}

// retryFetches asks the next source for each record that has not arrived in time,
// and ends the fetch after maxFetchAttempts.
func (n *Node) retryFetches(now time.Time) {
	for _, id := range slices.SortedFunc(maps.Keys(n.fetches), compareRecordIDs) {
		f := n.fetches[id]
		if now.Sub(f.requestedAt) < fetchTimeout {
			continue
		}
		if f.attempts >= maxFetchAttempts || !n.replica.isNewer(id, f.version) {
			delete(n.fetches, id)
			continue
		}
		p := f.sources[f.attempts%len(f.sources)]
		f.attempts++
		f.requestedAt = now
		n.sendUpdate(p, message{Kind: kindUpdate, Requests: []wireRecordID{{Topic: id.topic, Key: id.key}}})
	}
}

// handleUpdate stores the records, and responds with the records requested and with
// requests for the newer records whose versions the message carries. A host that is not
// synced yet then starts the next exchange.
func (n *Node) handleUpdate(now time.Time, from Peer, m message) {
	stored := false
	for _, w := range m.Records {
		rec, ok := w.scopedRecord()
		if !ok || rec.Scope == port.ScopeZone && !n.sameZone(from) {
			continue
		}
		stored = n.store(now, rec, n.sameZone(from)) || stored
	}
	response := message{Kind: kindUpdate, Requests: n.startFetches(now, from, m.Versions)}
	n.addRequested(&response, from, m.Requests)
	n.sendUpdate(from, response)
	if stored && !n.synced && n.exchanges[from.ID] == nil {
		n.startExchange(now, from, 1)
	}
}

// addRequested adds the records that a peer requested until the message is
// full. One large record may exceed the limit; the peer requests the others
// again.
func (n *Node) addRequested(m *message, from Peer, requests []wireRecordID) {
	budget := fullMessageBytes
	for _, w := range requests {
		rec, ok := n.replica.records[recordID{w.Topic, w.Key}]
		if !ok || budget <= 0 || rec.Scope == port.ScopeZone && !n.sameZone(from) {
			continue
		}
		m.Records = append(m.Records, toWire(rec))
		budget -= approxSize(rec)
	}
}

// sendUpdate sends a message unless it is empty, and charges its size to the token
// bucket. A large record may exceed fullMessageBytes; the excess is not charged.
func (n *Node) sendUpdate(to Peer, m message) {
	if len(m.Records)+len(m.Versions)+len(m.Requests) == 0 {
		return
	}
	before := len(n.outgoing)
	n.send(to.Address, m)
	spent := min(len(n.outgoing[before].Payload), fullMessageBytes)
	n.pushAllowanceBytes -= float64(spent)
}
