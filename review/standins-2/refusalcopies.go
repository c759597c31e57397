package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

func init() { cases["refusal-copies"] = refusalCopiesCase }

const (
	// copiesOfRefusal are sent after one answer in minAnswersPerCopies, so that x stays below 0.05.
	copiesOfRefusal     = 4
	minAnswersPerCopies = 100
	refusalCopiesTime   = 30 * time.Second
)

// refusalCopiesCase: a server that names no request in its refusals is full now and then. It sends further
// copies of the refusal, late, while it runs the next request on the channel.
func refusalCopiesCase(trouble bool) string {
	l := &ledger{runs: map[string][]string{}, gave: map[string]int{}}
	var mu sync.Mutex
	due := map[net.Conn]bool{}
	answers, faults := 0, 0
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + unnamedRefusal
	unnamedRefusals = true
	h := threeRegisters(func(c *call) bool {
		l.ran(c, 200)
		_, _ = io.WriteString(c.conn, answerText(c, 200))
		return true
	}, func(c *call) bool {
		mu.Lock()
		answers++
		if answers > minAnswersPerCopies && len(due) == 0 {
			answers = 0
			if trouble {
				due[c.conn] = true
			}
			mu.Unlock()
			note("server %s is full and refuses %s", c.server.id, c.id())
			_, _ = io.WriteString(c.conn, refusal)
			return true
		}
		copies := 0
		if due[c.conn] {
			delete(due, c.conn)
			copies = copiesOfRefusal
			faults++
		}
		mu.Unlock()
		l.ran(c, 200)
		for range copies {
			note("server %s: a further copy of the refusal", c.server.id)
			_, _ = io.WriteString(c.conn, refusal)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c.conn, answerText(c, 200))
		return true
	})
	got := map[string]int{}
	sendWrites(h, refusalCopiesTime, func(id string, r response) { got[id] = r.status }, func() string { return "/write/order" })
	l.mu.Lock()
	defer l.mu.Unlock()
	twice, refused := 0, 0
	for id, runs := range l.runs {
		if len(runs) > 1 {
			twice++
			note("TWICE: %s ran at %v, the consumer got %d", id, runs, got[id])
		}
		if got[id] == 503 {
			refused++
		}
	}
	note("%d requests ran, %d times copies, %d twice, %d refused and had run", len(l.runs), faults, twice, refused)
	if twice > 0 {
		return fmt.Sprintf("TWICE: %d of %d non-idempotent requests ran at two servers; copies were sent %d times", twice, len(l.runs), faults)
	}
	return ""
}
