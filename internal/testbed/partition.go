package testbed

import (
	"context"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/adapter/peer"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Partition says what a partitioned zone cannot reach; 0 means that there is no
// partition.
type Partition uint8

// The kinds of partitions. They can be combined.
const (
	// FromPlatform makes the store and the host list unreachable for the zone.
	FromPlatform Partition = 1 << iota
	// FromZones disconnects the zone's hosts from those of the other zones.
	FromZones
)

// network records which availability zone is partitioned, at most one at a time,
// and the zones of the hosts' addresses. It is safe for concurrent use.
type network struct {
	mu              sync.Mutex
	partitionedZone string
	partition       Partition
	zoneByAddress   map[string]string
}

func newNetwork() *network { return &network{zoneByAddress: map[string]string{}} }

// register records the zone of an address on which a host listens.
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

// hostBlocked reports whether a host of the zone cannot reach the host at the
// address. An address that no host registered is not blocked.
func (n *network) hostBlocked(zone, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	other, known := n.zoneByAddress[address]
	return n.partition&FromZones != 0 && known && other != zone && (n.partitionedZone == zone || n.partitionedZone == other)
}

// PartitionZone partitions an availability zone until Heal, and ends any earlier
// partition. Endpoints stay reachable.
func (c *Cluster) PartitionZone(zone string, kind Partition) { c.network.setPartition(zone, kind) }

// Heal ends the partition.
func (c *Cluster) Heal() { c.network.setPartition("", 0) }

// zoneFaults injects the faults of one host's connections to other hosts: those of
// the network, and those of inner, the test's own injector, which may be nil.
type zoneFaults struct {
	network *network
	zone    string
	inner   peer.FaultInjector
}

// Outbound implements peer.FaultInjector.
func (f zoneFaults) Outbound(address string) (bool, time.Duration) {
	if f.network.hostBlocked(f.zone, address) {
		return true, 0
	}
	if f.inner == nil {
		return false, 0
	}
	return f.inner.Outbound(address)
}

// Unreachable implements peer.FaultInjector.
func (f zoneFaults) Unreachable(address string) bool {
	return f.network.hostBlocked(f.zone, address) || f.inner != nil && f.inner.Unreachable(address)
}

// partitionedHostList is the host list as seen from a zone: unavailable while the
// zone is partitioned from the platform.
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
