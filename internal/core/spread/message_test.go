package spread

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// emptyDirectory is a Directory without hosts.
type emptyDirectory struct{}

func (emptyDirectory) ZonePeers() []Peer                          { return nil }
func (emptyDirectory) OtherZones() []string                       { return nil }
func (emptyDirectory) Relays(string) []Peer                       { return nil }
func (emptyDirectory) IsRelay() bool                              { return false }
func (emptyDirectory) ContactAddress(time.Time) string            { return "" }
func (emptyDirectory) MarkResponsive(time.Time, string, string)   {}
func (emptyDirectory) MarkUnresponsive(time.Time, string, string) {}

func newTestNode(zone string) *Node {
	return NewNode(zone, emptyDirectory{}, rand.New(rand.NewPCG(1, 1)))
}

// FuzzReceive checks that no message of a peer crashes a host and that
// zone-scoped records of another zone are not accepted.
func FuzzReceive(f *testing.F) {
	now := time.UnixMilli(1_800_000_000_000)
	n := newTestNode("kranj")
	n.Put(now, port.GossipRecord{Topic: "t", Key: "k", Version: 1, Value: []byte("v")}, port.ScopeFleet)
	for _, m := range []message{
		{Kind: kindDigest, Seq: 1},
		{Kind: kindBucketDigests, Seq: 1, FleetBucketDigests: n.replica.bucketDigests(port.ScopeFleet)},
		{Kind: kindVersions, FleetBucketMask: 3, Versions: []recordVersion{{Topic: "t", Key: "k", Version: 9}}},
		{Kind: kindUpdate, Records: []wireRecord{{Topic: "t", Key: "k", Version: 9, Scope: 1}, {Topic: "z", Key: "k", Version: 1}}, Requests: []wireRecordID{{Topic: "t", Key: "k"}}},
		{Kind: 99},
	} {
		f.Add(m.encode())
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		n := newTestNode("kranj")
		if _, err := n.Receive(now, Peer{ID: "b", Zone: "celje", Address: "b"}, raw); err != nil {
			return
		}
		for _, rec := range n.TakeUpdates() {
			if rec.Scope != port.ScopeFleet {
				t.Fatal("stored a zone-scoped record of another zone")
			}
		}
	})
}

// TestOlderAndExpiredRecordsAreIgnored checks that Put rejects such records and that
// Step removes a record once it has expired.
func TestOlderAndExpiredRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	n := newTestNode("kranj")
	is.True(n.Put(now, port.GossipRecord{Topic: "t", Key: "k", Version: 5, ExpiresAt: now.Add(time.Second)}, port.ScopeFleet))
	is.True(!n.Put(now, port.GossipRecord{Topic: "t", Key: "k", Version: 5}, port.ScopeFleet))
	is.True(!n.Put(now, port.GossipRecord{Topic: "t", Key: "k", Version: 4}, port.ScopeFleet))
	is.True(!n.Put(now, port.GossipRecord{Topic: "t", Key: "x", Version: 4, ExpiresAt: now}, port.ScopeFleet))
	empty := newReplica().digest(port.ScopeFleet)
	is.True(n.replica.digest(port.ScopeFleet) != empty)
	n.Step(now.Add(2 * time.Second))
	_, ok := n.Get("t", "k")
	is.True(!ok)
	is.Equal(n.replica.digest(port.ScopeFleet), empty) // the expired record was removed from the digest
}
