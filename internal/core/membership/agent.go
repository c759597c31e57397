package membership

import (
	"math/rand/v2"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/spread"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Agent joins a Table with the spreading of records: it publishes this
// host's record and feeds others' into the table. It is not safe for
// concurrent use.
type Agent struct {
	table *Table
	node  *spread.Node
	newer []spread.ScopedRecord
}

// NewAgent returns the agent of a host and publishes the host's record.
func NewAgent(now time.Time, self port.Member, seeds []string, r *rand.Rand) *Agent {
	table := NewTable(self, seeds)
	a := &Agent{table: table, node: spread.NewNode(self.AvailabilityZone, table, r)}
	a.publish(now, table.Record())
	return a
}

// Table returns the table, for reading and for Listed.
func (a *Agent) Table() *Table { return a.table }

// Get returns the newest known record.
func (a *Agent) Get(topic, key string) (port.Record, bool) { return a.node.Get(topic, key) }

// Put publishes a record. It reports whether it was newer than the known one.
func (a *Agent) Put(now time.Time, r port.Record, scope port.Scope) bool {
	ok := a.node.Put(now, r, scope)
	a.learn(now)
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

// Step does what is due and returns the messages to send. Call it every
// spread.StepInterval.
func (a *Agent) Step(now time.Time) []spread.OutgoingMessage {
	for _, r := range a.table.Step(now) {
		a.publish(now, r)
	}
	for _, r := range a.table.ReachRecords(now) {
		a.node.Put(now, r, port.ScopeZone)
	}
	out := a.node.Step(now)
	for _, r := range a.table.TakeSilent() {
		a.publish(now, r)
	}
	a.learn(now)
	return out
}

// Receive takes a message of another host and returns the answers.
func (a *Agent) Receive(now time.Time, from port.Member, payload []byte) ([]spread.OutgoingMessage, error) {
	out, err := a.node.Receive(now, peerOf(from), payload)
	a.learn(now)
	return out, err
}

// TakeNewer returns the records that became known since the last call, other
// than those of this package.
func (a *Agent) TakeNewer() []spread.ScopedRecord {
	items := a.newer
	a.newer = nil
	return items
}

func (a *Agent) publish(now time.Time, r port.Record) {
	a.node.Put(now, r, port.ScopeFleet)
	a.learn(now)
}

// learn feeds newer records into the table until there are none.
func (a *Agent) learn(now time.Time) {
	for items := a.node.TakeUpdates(); len(items) > 0; items = a.node.TakeUpdates() {
		for _, it := range items {
			a.take(now, it)
		}
	}
}

func (a *Agent) take(now time.Time, it spread.ScopedRecord) {
	switch it.Topic {
	case Topic:
		// A record that can't be decoded comes from a host of another
		// version; it is passed on and not read.
		answers, _ := a.table.Apply(now, it.Record)
		for _, r := range answers {
			a.node.Put(now, r, port.ScopeFleet)
		}
	case ReachTopic:
		a.table.ApplyReach(it.Record)
	default:
		a.newer = append(a.newer, it)
	}
}
