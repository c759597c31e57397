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
func (n *Node) Receive(now time.Time, from Peer, payload []byte) ([]Out, error) {
	m, err := decodeMessage(payload)
	if err != nil {
		return nil, err
	}
	n.dir.Answered(now, from.ID, from.Zone)
	switch m.Kind {
	case kindSync:
		n.onSync(from, m)
	case kindSums:
		n.onSums(from, m)
	case kindHeads:
		n.onHeads(now, from, m)
	case kindUpdate:
		n.onUpdate(now, from, m)
	}
	return n.takeOut(), nil
}

func (n *Node) sameZone(p Peer) bool { return p.Zone == n.zone }

func (n *Node) onSync(from Peer, m message) {
	reply := message{Kind: kindSums, Seq: m.Seq}
	if m.FleetSum != n.rep.sum(port.ScopeFleet) {
		reply.FleetSums = n.rep.bucketSums(port.ScopeFleet)
	}
	if n.sameZone(from) && m.ZoneSum != n.rep.sum(port.ScopeZone) {
		reply.ZoneSums = n.rep.bucketSums(port.ScopeZone)
	}
	n.send(from.Address, reply)
}

func (n *Node) onSums(from Peer, m message) {
	if e, ok := n.pending[from.ID]; ok && e.seq == m.Seq {
		delete(n.pending, from.ID)
	}
	reply := message{Kind: kindHeads}
	room := messageBytes
	room, reply.FleetMask = n.addHeads(&reply, port.ScopeFleet, n.rep.differing(port.ScopeFleet, m.FleetSums), room)
	if n.sameZone(from) {
		_, reply.ZoneMask = n.addHeads(&reply, port.ScopeZone, n.rep.differing(port.ScopeZone, m.ZoneSums), room)
	}
	if reply.FleetMask|reply.ZoneMask != 0 {
		n.send(from.Address, reply)
	}
}

// addHeads adds the versions of all records in the masked buckets, as many
// buckets as there is room for, starting at a random one.
func (n *Node) addHeads(m *message, scope port.GossipScope, mask uint64, room int) (int, uint64) {
	var done uint64
	first := n.rand.IntN(bucketCount)
	for i := range bucketCount {
		b := (first + i) % bucketCount
		if mask&(1<<b) == 0 || room <= 0 {
			continue
		}
		done |= 1 << b
		for key := range n.rep.names[scope][b] {
			it := n.rep.items[key]
			m.Heads = append(m.Heads, headOf(it))
			room -= size(it) - len(it.Value)
		}
	}
	return room, done
}

// onHeads sends what the peer lacks and asks for what this host lacks.
func (n *Node) onHeads(now time.Time, from Peer, m message) {
	theirs := make(map[name]uint64, len(m.Heads))
	for _, h := range m.Heads {
		theirs[h.name()] = h.Version
	}
	reply := message{Kind: kindUpdate, Wants: n.wants(now, from, m.Heads)}
	room := n.repairRoom()
	room = n.addNewer(&reply, port.ScopeFleet, m.FleetMask, theirs, room)
	if n.sameZone(from) {
		n.addNewer(&reply, port.ScopeZone, m.ZoneMask, theirs, room)
	}
	n.sendUpdate(from, reply)
}

// repairRoom is how many bytes of records may go into an answer.
func (n *Node) repairRoom() int { return max(0, min(messageBytes, int(n.tokens))) }

func (n *Node) addNewer(m *message, scope port.GossipScope, mask uint64, theirs map[name]uint64, room int) int {
	for ; mask != 0; mask &= mask - 1 {
		for key := range n.rep.names[scope][bits.TrailingZeros64(mask)] {
			it := n.rep.items[key]
			version, known := theirs[key]
			if room > 0 && (!known || version < it.Version) {
				room -= m.add(it)
			}
		}
	}
	return room
}

// want is a record that a peer has offered and that has not come yet.
type want struct {
	version uint64
	askedAt time.Time
	tries   int
	// from are the peers that offered the version, asked in turn.
	from []Peer
}

// wants notes what a peer offers and lists what to ask of it now: the newer
// records that no other peer has just been asked for.
func (n *Node) wants(now time.Time, from Peer, heads []head) []wireName {
	var out []wireName
	room := messageBytes
	for _, h := range heads {
		key := h.name()
		if room <= 0 || !n.rep.newer(key, h.Version) {
			continue
		}
		w := n.wanted[key]
		if w != nil && w.version >= h.Version {
			w.offered(from)
			continue
		}
		if len(n.wanted) >= MaxRecords {
			return out
		}
		n.wanted[key] = &want{version: h.Version, askedAt: now, tries: 1, from: []Peer{from}}
		out = append(out, wireName{Topic: h.Topic, Key: h.Key})
		room -= len(h.Topic) + len(h.Key) + 4
	}
	return out
}

// offered notes one more peer that has the version.
func (w *want) offered(p Peer) {
	if len(w.from) < wantTries && !slices.Contains(w.from, p) {
		w.from = append(w.from, p)
	}
}

// askAgain asks the next peer for the records that have not come.
func (n *Node) askAgain(now time.Time) {
	for _, key := range slices.SortedFunc(maps.Keys(n.wanted), compareNames) {
		w := n.wanted[key]
		if now.Sub(w.askedAt) < wantTimeout {
			continue
		}
		if w.tries >= wantTries || !n.rep.newer(key, w.version) {
			delete(n.wanted, key)
			continue
		}
		p := w.from[w.tries%len(w.from)]
		w.tries++
		w.askedAt = now
		n.sendUpdate(p, message{Kind: kindUpdate, Wants: []wireName{{Topic: key.topic, Key: key.key}}})
	}
}

func (n *Node) onUpdate(now time.Time, from Peer, m message) {
	for _, w := range m.Records {
		it, ok := w.item()
		if !ok || it.Scope == port.ScopeZone && !n.sameZone(from) {
			continue
		}
		n.merge(now, it, n.sameZone(from))
	}
	reply := message{Kind: kindUpdate, Wants: n.wants(now, from, m.Heads)}
	n.addWanted(&reply, from, m.Wants)
	n.sendUpdate(from, reply)
}

// addWanted adds the records that a peer asked for. One large record may go
// beyond the room; the peer asks again for what found none.
func (n *Node) addWanted(m *message, from Peer, wants []wireName) {
	room := messageBytes
	for _, w := range wants {
		it, ok := n.rep.items[name{w.Topic, w.Key}]
		if !ok || room <= 0 || it.Scope == port.ScopeZone && !n.sameZone(from) {
			continue
		}
		m.Records = append(m.Records, toWire(it))
		room -= size(it)
	}
}

func (n *Node) sendUpdate(to Peer, m message) {
	if len(m.Records)+len(m.Heads)+len(m.Wants) == 0 {
		return
	}
	before := len(n.out)
	n.send(to.Address, m)
	spent := min(len(n.out[before].Payload), messageBytes)
	n.tokens -= float64(spent)
}
