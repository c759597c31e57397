package fleet

import (
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// recordName identifies a record.
type recordName struct{ topic, key string }

// recordTable holds the newest version of each record. It is safe for concurrent
// use, except that only the control goroutine may call apply.
type recordTable struct {
	mu          sync.RWMutex
	records     map[recordName]port.GossipRecord
	subscribers map[string][]func(r port.GossipRecord) // by topic
	nextSweep   time.Time
}

func newRecordTable() *recordTable {
	return &recordTable{records: make(map[recordName]port.GossipRecord), subscribers: make(map[string][]func(port.GossipRecord))}
}

// put stores a record if it is newer than the known one and reports whether it did.
func (t *recordTable) put(r port.GossipRecord) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := recordName{r.Topic, r.Key}
	if old, ok := t.records[name]; ok && old.Version >= r.Version {
		return false
	}
	t.records[name] = r
	return true
}

// apply stores a record if it is newer than the known one and calls the topic's
// subscribers in any case, because put has already stored this host's own records.
func (t *recordTable) apply(r port.GossipRecord) {
	t.put(r)
	t.mu.RLock()
	subscribers := t.subscribers[r.Topic]
	t.mu.RUnlock()
	for _, fn := range subscribers {
		fn(r)
	}
}

// get returns a record; false if it is unknown or expired.
func (t *recordTable) get(topic, key string, now time.Time) (port.GossipRecord, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.records[recordName{topic, key}]
	if !ok || expired(r, now) {
		return port.GossipRecord{}, false
	}
	return r, true
}

// subscribe adds a function that apply calls for each record of the topic.
func (t *recordTable) subscribe(topic string, fn func(r port.GossipRecord)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers[topic] = append(t.subscribers[topic], fn)
}

// sweep deletes expired records, at most once per recordSweepInterval.
func (t *recordTable) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(recordSweepInterval)
	for name, r := range t.records {
		if expired(r, now) {
			delete(t.records, name)
		}
	}
}

func expired(r port.GossipRecord, now time.Time) bool {
	return !r.ExpiresAt.IsZero() && !now.Before(r.ExpiresAt)
}
