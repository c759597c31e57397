package testbed

import (
	"context"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/adapter/peer"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Partition says what a partitioned zone cannot reach.
type Partition uint8

// The kinds of partitions. They can be combined.
const (
	// FromPlatform makes the store and the host list unreachable for the zone.
	FromPlatform Partition = 1 << iota
	// FromZones disconnects the zone's hosts from those of the other zones.
	FromZones
)

// network records which availability zone is partitioned. It is safe for concurrent use.
type network struct {
	mu              sync.Mutex
	partitionedZone string
	partition       Partition
	zoneByAddress   map[string]string
}

func newNetwork() *network { return &network{zoneByAddress: map[string]string{}} }

// register records the zone of an address.
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

// partitioned reports whether a zone is partitioned from the platform.
func (n *network) partitioned(zone string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partition&FromPlatform != 0 && n.partitionedZone == zone
}

// blocked reports whether a host of the zone cannot reach the address.
func (n *network) blocked(zone, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	other, known := n.zoneByAddress[address]
	return n.partition&FromZones != 0 && known && other != zone && (n.partitionedZone == zone || n.partitionedZone == other)
}

// PartitionZone partitions an availability zone until Heal. Endpoints stay
// reachable.
func (c *Cluster) PartitionZone(zone string, kind Partition) { c.network.setPartition(zone, kind) }

// Heal ends a partition.
func (c *Cluster) Heal() { c.network.setPartition("", 0) }

// zoneFaults injects the faults of one host's connections to other hosts: those
// of the network, and then those of the test's own inner.
type zoneFaults struct {
	network *network
	zone    string
	inner   peer.FaultInjector
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
func (f zoneFaults) Unreachable(address string) bool {
	return f.network.blocked(f.zone, address) || f.inner != nil && f.inner.Unreachable(address)
}

// partitionedHostList is the host list as seen from a zone.
type partitionedHostList struct {
	port.HostList
	network *network
	zone    string
}

// Hosts implements port.HostList.
func (l partitionedHostList) Hosts(ctx context.Context) ([]port.ListedHost, error) {
	if l.network.partitioned(l.zone) {
		return nil, port.ErrUnavailable
	}
	return l.HostList.Hosts(ctx)
}
