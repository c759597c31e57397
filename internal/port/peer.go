package port

import (
	"context"
	"time"
)

// Member is a host of the cluster as seen by this host.
type Member struct {
	ID               string
	AvailabilityZone string
	// Address is the address for its peers, IP:PORT.
	Address string
	// Incarnation increases with each start of the process.
	Incarnation uint64
	State       MemberState
	// ReleaseVersion is the release version that the host last reported in force.
	ReleaseVersion uint64
	// LastHeardAt is when this host last received a message from the member or a
	// record that it is alive, or last knew its availability zone to be reachable.
	LastHeardAt time.Time
}

// MemberState is the state of a host as a member of the cluster.
type MemberState uint8

// States of a member.
const (
	// MemberLive is the state of a member that is not known to be leaving or gone.
	MemberLive MemberState = iota
	// MemberLeaving is the state of a member that is shutting down.
	MemberLeaving
	// MemberGone is the state of a member that has shut down or did not respond
	// for so long that it is considered dead.
	MemberGone
)

// String returns the state's name.
func (s MemberState) String() string {
	switch s {
	case MemberLive:
		return "live"
	case MemberLeaving:
		return "leaving"
	default:
		return "gone"
	}
}

// Peers communicates with the other hosts. Implementations are safe for concurrent use.
type Peers interface {
	// Self returns this host.
	Self() Member
	// Members returns an immutable list of all known hosts, including this one.
	Members() []Member
	// Ask sends a request to the host with this ID and waits for the reply. The
	// error is a *verdict.Error: NotRun if the request was not sent, otherwise
	// MayHaveRun or the verdict that the handler returned.
	Ask(ctx context.Context, host string, kind string, payload []byte) ([]byte, error)
	// Handle sets the handler of requests of a kind. Call it before the peers are
	// started; fn must be safe for concurrent use.
	Handle(kind string, fn func(ctx context.Context, from Member, payload []byte) ([]byte, error))
}

// GossipRecord is a small versioned value that is disseminated to other hosts.
// For each topic and key the highest version wins.
type GossipRecord struct {
	Topic   string
	Key     string
	Version uint64
	Value   []byte
	// ExpiresAt is when hosts delete the record; zero means never.
	ExpiresAt time.Time
}

// Gossip disseminates records between hosts with eventual consistency: messages
// may be lost or delayed. Implementations are safe for concurrent use.
type Gossip interface {
	// Publish disseminates a record from this host without blocking. It ignores a
	// record whose version is not higher than that of the known one.
	Publish(r GossipRecord, scope GossipScope)
	// Get returns the record with the highest version that this host knows, and
	// false if it knows none.
	Get(topic, key string) (GossipRecord, bool)
	// Subscribe sets the function called for each newer record of a topic,
	// including this host's own. Call it before gossip is started; fn must not
	// block.
	Subscribe(topic string, fn func(r GossipRecord))
}

// GossipScope limits the hosts to which a record is disseminated.
type GossipScope uint8

// Scopes of gossip records.
const (
	// ScopeZone limits a record to the host's availability zone.
	ScopeZone GossipScope = iota
	// ScopeFleet disseminates a record to all hosts.
	ScopeFleet
)
