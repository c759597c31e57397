package membership

import (
	"math/rand/v2"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/spread"
	"github.com/pimentorill/pimentorill/internal/port"
)

// catchUpTimeout bounds how long a host that starts may miss what the others know. It
// allows for three unanswered exchanges and for seeds that are down.
const catchUpTimeout = 5 * time.Second

// Agent connects a Table to the gossip of records: it publishes this host's
// record and the table's other records, and applies received ones to the table.
// It is not safe for concurrent use.
type Agent struct {
	table *Table
	node  *spread.Node
	// catchUpUntil is when the node counts as synced in any case.
	catchUpUntil time.Time
	// updates are the records that TakeUpdates returns next.
	updates []spread.ScopedRecord
}

// NewAgent returns the Agent of host self and publishes the host's record. seeds
// are addresses to contact while no known host has them.
func NewAgent(now time.Time, self port.Member, seeds []string, r *rand.Rand) *Agent {
	table := NewTable(self, seeds)
	a := &Agent{table: table, node: spread.NewNode(self.AvailabilityZone, table, r), catchUpUntil: now.Add(catchUpTimeout)}
	if len(seeds) == 0 {
		a.node.SetSynced()
	}
	a.publish(now, table.Record())
	return a
}

// CaughtUp reports whether the host has received what a host that is caught up knows, or
// has no seeds, or has run for catchUpTimeout. Before that it may know of no lease holder,
// and of no endpoint that it is warm.
func (a *Agent) CaughtUp() bool { return a.node.Synced() }

// Table returns the table, for reading and for ApplyHostList.
func (a *Agent) Table() *Table { return a.table }

// Get returns the newest known record of the key in the topic; false if there is
// none.
func (a *Agent) Get(topic, key string) (port.GossipRecord, bool) { return a.node.Get(topic, key) }

// Put publishes a record. It reports whether the record was stored, that is, newer
// than the known version and not expired.
func (a *Agent) Put(now time.Time, r port.GossipRecord, scope port.GossipScope) bool {
	ok := a.node.Put(now, r, scope)
	a.applyNodeUpdates(now)
	return ok
}

// SetRelease publishes the version of the release in force on this host.
func (a *Agent) SetRelease(now time.Time, v uint64) {
	if a.table.SetRelease(v) {
		a.publish(now, a.table.Record())
	}
}

// Leave publishes that this host is leaving.
func (a *Agent) Leave(now time.Time) {
	a.table.SetLeaving()
	a.publish(now, a.table.Record())
}

// Step runs all periodic work that is due and returns the messages to send. Call it
// every spread.StepInterval.
func (a *Agent) Step(now time.Time) []spread.OutgoingMessage {
	if !now.Before(a.catchUpUntil) {
		a.node.SetSynced()
	}
	for _, r := range a.table.ExpireSuspects(now) {
		a.publish(now, r)
	}
	for _, r := range a.table.TakeReachRecords(now) {
		a.node.Put(now, r, port.ScopeZone)
	}
	out := a.node.Step(now)
	for _, r := range a.table.TakeNewSuspects() {
		a.publish(now, r)
	}
	a.applyNodeUpdates(now)
	return out
}

// Receive handles a message from another host and returns the messages to send in
// response. The error says that the message cannot be decoded.
func (a *Agent) Receive(now time.Time, from port.Member, payload []byte) ([]spread.OutgoingMessage, error) {
	out, err := a.node.Receive(now, peerOf(from), payload)
	a.applyNodeUpdates(now)
	return out, err
}

// TakeUpdates returns the records that became known since the last call, except
// those of this package's own topics.
func (a *Agent) TakeUpdates() []spread.ScopedRecord {
	updates := a.updates
	a.updates = nil
	return updates
}

// publish publishes a record to all hosts and applies it here.
func (a *Agent) publish(now time.Time, r port.GossipRecord) {
	a.node.Put(now, r, port.ScopeFleet)
	a.applyNodeUpdates(now)
}

// applyNodeUpdates applies the node's new records until there are none, since
// applying one may publish another.
func (a *Agent) applyNodeUpdates(now time.Time) {
	for updates := a.node.TakeUpdates(); len(updates) > 0; updates = a.node.TakeUpdates() {
		for _, update := range updates {
			a.applyUpdate(now, update)
		}
	}
}

// applyUpdate applies a record of this package's topics to the table and keeps any
// other for TakeUpdates.
func (a *Agent) applyUpdate(now time.Time, update spread.ScopedRecord) {
	switch update.Topic {
	case Topic:
		// A record that cannot be decoded comes from a host with another
		// software version; it is forwarded but not applied.
		refutations, _ := a.table.ApplyRecord(now, update.GossipRecord)
		for _, r := range refutations {
			a.node.Put(now, r, port.ScopeFleet)
		}
	case ReachTopic:
		a.table.ApplyReach(update.GossipRecord)
	default:
		a.updates = append(a.updates, update)
	}
}
