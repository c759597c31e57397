package testbed

import (
	"context"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/adapter/peer"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Cut says what a zone is cut off from.
type Cut uint8

// The kinds of cuts; they add up.
const (
	// FromPlatform leaves the zone without the store and the host list.
	FromPlatform Cut = 1 << iota
	// FromZones leaves the zone's hosts without those of the other zones.
	FromZones
)

// network says which availability zone is cut off. It is safe for concurrent use.
type network struct {
	mu   sync.Mutex
	cut  string
	kind Cut
	zone map[string]string
}

func newNetwork() *network { return &network{zone: map[string]string{}} }

// place notes that an address belongs to a zone.
func (n *network) place(address, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zone[address] = zone
}

func (n *network) set(zone string, kind Cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut, n.kind = zone, kind
}

// off reports whether a zone is cut off from the platform.
func (n *network) off(zone string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.kind&FromPlatform != 0 && n.cut == zone
}

// between reports whether a host of the zone cannot reach the address.
func (n *network) between(zone, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	other, known := n.zone[address]
	return n.kind&FromZones != 0 && known && other != zone && (n.cut == zone || n.cut == other)
}

// CutOff cuts an availability zone off. Endpoints stay within reach. Heal ends it.
func (b *Bed) CutOff(zone string, kind Cut) { b.network.set(zone, kind) }

// Heal ends a cut.
func (b *Bed) Heal() { b.network.set("", 0) }

// zoneFaults are the faults of one host's connections to others: those of the
// network, and behind them the test's own.
type zoneFaults struct {
	network *network
	zone    string
	inner   peer.FaultInjector
}

// Outbound implements peer.Faults.
func (f zoneFaults) Outbound(address string) (bool, time.Duration) {
	if f.network.between(f.zone, address) {
		return true, 0
	}
	if f.inner == nil {
		return false, 0
	}
	return f.inner.Outbound(address)
}

// Cut implements peer.Faults.
func (f zoneFaults) Unreachable(address string) bool {
	return f.network.between(f.zone, address) || f.inner != nil && f.inner.Unreachable(address)
}

// cutHostList is the host list as a host of the zone reaches it.
type cutHostList struct {
	port.HostList
	network *network
	zone    string
}

// Hosts implements port.HostList.
func (l cutHostList) Hosts(ctx context.Context) ([]port.ListedHost, error) {
	if l.network.off(l.zone) {
		return nil, port.ErrUnavailable
	}
	return l.HostList.Hosts(ctx)
}
