package standin

import (
	"sync"

	"github.com/pimentorill/pimentorill/internal/port"
)

// maxTrackedAttempts bounds the attempts whose charges are recorded separately;
// the oldest are evicted.
const maxTrackedAttempts = 1 << 16

// charge is the usage of one attempt. ended means that its work has ended.
type charge struct {
	usage port.Usage
	ended bool
}

// charges records the usage that a backend charged, in total and for each
// attempt. Like a billing system's records, it survives a crash.
type charges struct {
	mu          sync.Mutex
	total       port.Usage
	byAttempt   map[string]*charge // by attempt id
	oldestFirst []string           // the attempt ids in byAttempt
}

func (c *charges) init() { c.byAttempt = make(map[string]*charge) }

// begin marks an attempt as not ended, so that it does not count as ended while
// it waits for a slot.
func (c *charges) begin(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryLocked(attempt).ended = false
}

// add charges u to an attempt.
func (c *charges) add(attempt string, u port.Usage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total = c.total.Add(u)
	entry := c.entryLocked(attempt)
	entry.usage = entry.usage.Add(u)
}

// entryLocked returns the attempt's entry and creates it if there is none. The
// caller holds mu.
func (c *charges) entryLocked(attempt string) *charge {
	if entry, ok := c.byAttempt[attempt]; ok {
		return entry
	}
	if len(c.oldestFirst) == maxTrackedAttempts {
		delete(c.byAttempt, c.oldestFirst[0])
		c.oldestFirst = c.oldestFirst[1:]
	}
	entry := &charge{}
	c.byAttempt[attempt] = entry
	c.oldestFirst = append(c.oldestFirst, attempt)
	return entry
}

func (c *charges) end(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry, ok := c.byAttempt[attempt]; ok {
		entry.ended = true
	}
}

func (c *charges) usageOf(attempt string) port.Usage {
	u, _ := c.lookup(attempt)
	return u
}

// lookup returns an attempt's charges and whether its work has ended. An unknown
// attempt has no charges and has ended.
func (c *charges) lookup(attempt string) (port.Usage, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry, ok := c.byAttempt[attempt]; ok {
		return entry.usage, entry.ended
	}
	return port.Usage{}, true
}

func (b *backend) attemptUsage(attempt string) (port.Usage, bool) { return b.charges.lookup(attempt) }

// Charged returns the total usage that the backend has charged.
func (b *backend) Charged() port.Usage {
	b.charges.mu.Lock()
	defer b.charges.mu.Unlock()
	return b.charges.total
}

// ChargedFor returns the usage that the backend charged for one attempt.
func (b *backend) ChargedFor(attempt string) port.Usage { return b.charges.usageOf(attempt) }
