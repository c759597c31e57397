package testbed

import (
	"context"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/adapter/peer"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Cut says what a zone is cut off from.
type Partition uint8

// The kinds of cuts; they add up.
const (
	// FromPlatform leaves the zone without the store and the host list.
	FromPlatform Partition = 1 << iota
	// FromZones leaves the zone's hosts without those of the other zones.
	FromZones
)

// network says which availability zone is cut off. It is safe for concurrent use.
type network struct {
	mu              sync.Mutex
	partitionedZone string
	partition       Partition
	zoneByAddress   map[string]string
}

func newNetwork() *network { return &network{zoneByAddress: map[string]string{}} }

// place notes that an address belongs to a zone.
func (n *network) register(address, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zoneByAddress[address] = zone
}

func (n *network) setPartition(zone string, kind Partition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitionedZone, n.partition = zone, kind
}

// off reports whether a zone is cut off from the platform.
func (n *network) platformUnreachable(zone string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partition&FromPlatform != 0 && n.partitionedZone == zone
}

// between reports whether a host of the zone cannot reach the address.
func (n *network) blocked(zone, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	other, known := n.zoneByAddress[address]
	return n.partition&FromZones != 0 && known && other != zone && (n.partitionedZone == zone || n.partitionedZone == other)
}

// PartitionZone cuts an availability zone off. Endpoints stay within reach. Heal ends it.
func (b *Cluster) PartitionZone(zone string, kind Partition) { b.network.setPartition(zone, kind) }

// Heal ends a cut.
func (b *Cluster) Heal() { b.network.setPartition("", 0) }

// zoneFaults are the faults of one host's connections to others: those of the
// network, and behind them the test's own.
type zoneFaults struct {
	network *network
	zone    string
	inner   peer.Faults
}

// Outbound implements peer.Faults.
func (f zoneFaults) Outbound(address string) (bool, time.Duration) {
	if f.network.blocked(f.zone, address) {
		return true, 0
	}
	if f.inner == nil {
		return false, 0
	}
	return f.inner.Outbound(address)
}

// Cut implements peer.Faults.
func (f zoneFaults) Cut(address string) bool {
	return f.network.blocked(f.zone, address) || f.inner != nil && f.inner.Cut(address)
}

// partitionedHostList is the host list as a host of the zone reaches it.
type partitionedHostList struct {
	port.HostList
	network *network
	zone    string
}

// Hosts implements port.HostList.
func (l partitionedHostList) Hosts(ctx context.Context) ([]port.ListedHost, error) {
	if l.network.platformUnreachable(l.zone) {
		return nil, port.ErrUnavailable
	}
	return l.HostList.Hosts(ctx)
}
