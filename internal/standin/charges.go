package standin

import (
	"sync"

	"github.com/pimentorill/pimentorill/internal/port"
)

// maxTrackedAttempts bounds the attempts whose charges are recorded separately.
const maxTrackedAttempts = 1 << 16

type charge struct {
	usage port.Usage
	ended bool
}

// charges records the usage that a backend charged, in total and for each
// attempt. Like a billing system's records, it survives a crash.
type charges struct {
	mu        sync.Mutex
	total     port.Usage
	byAttempt map[string]*charge
	order     []string
}

func (c *charges) init() { c.byAttempt = make(map[string]*charge) }

// begin opens an attempt, so that it does not count as ended while it waits.
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

func (c *charges) entryLocked(attempt string) *charge {
	if entry, ok := c.byAttempt[attempt]; ok {
		return entry
	}
	if len(c.order) == maxTrackedAttempts {
		delete(c.byAttempt, c.order[0])
		c.order = c.order[1:]
	}
	entry := &charge{}
	c.byAttempt[attempt] = entry
	c.order = append(c.order, attempt)
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

// lookup returns an attempt's charges and whether its work has ended.
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
