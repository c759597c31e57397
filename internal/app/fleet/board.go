package fleet

import (
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

type recordName struct{ topic, key string }

// board is the readable copy of the newest records. It is safe for
// concurrent use; newer is called by the control goroutine only.
type board struct {
	mu          sync.RWMutex
	records     map[recordName]port.GossipRecord
	subscribers map[string][]func(r port.GossipRecord)
	nextSweep   time.Time
}

func newBoard() *board {
	return &board{records: make(map[recordName]port.GossipRecord), subscribers: make(map[string][]func(port.GossipRecord))}
}

// put stores a record if it is newer than the known one.
func (b *board) put(r port.GossipRecord) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	name := recordName{r.Topic, r.Key}
	if old, ok := b.records[name]; ok && old.Version >= r.Version {
		return false
	}
	b.records[name] = r
	return true
}

// newer stores a record that has come and calls the topic's subscribers.
func (b *board) newer(r port.GossipRecord) {
	b.put(r)
	b.mu.RLock()
	subscribers := b.subscribers[r.Topic]
	b.mu.RUnlock()
	for _, fn := range subscribers {
		fn(r)
	}
}

func (b *board) get(topic, key string, now time.Time) (port.GossipRecord, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	r, ok := b.records[recordName{topic, key}]
	if !ok || expired(r, now) {
		return port.GossipRecord{}, false
	}
	return r, true
}

func (b *board) subscribe(topic string, fn func(r port.GossipRecord)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subscribers[topic] = append(b.subscribers[topic], fn)
}

// sweep drops expired records now and then.
func (b *board) sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.nextSweep) {
		return
	}
	b.nextSweep = now.Add(boardSweepInterval)
	for name, r := range b.records {
		if expired(r, now) {
			delete(b.records, name)
		}
	}
}

func expired(r port.GossipRecord, now time.Time) bool {
	return !r.ExpiresAt.IsZero() && !now.Before(r.ExpiresAt)
}
