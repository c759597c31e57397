package main

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["cut-refusal"] = cutRefusalCase
	cases["cut-answer"] = cutAnswerCase
}

const (
	// minAnswersPerFault keeps the spoiled answers of the faulty server below x = 0.05.
	minAnswersPerFault = 20
	// cutStride spreads the places where copies are cut over the whole copy.
	cutStride   = 17
	cutCopyTime = 70 * time.Second
	// consumers send writes at the same time.
	consumers = 4
)

// faultyServer sends, after some of its complete answers, the beginning of a second copy. It
// arrives late: where the next answer on the channel is expected. The copies are cut at all places in
// turn.
type faultyServer struct {
	mu sync.Mutex
	// copies holds the answer, by connection, of which the beginning is still to be sent.
	copies map[net.Conn]string
	// answers counts the answers since the last one that was spoiled, faults the spoiled ones.
	answers, faults int
}

// send sends an answer, after the beginning of the copy that is due on its connection.
func (f *faultyServer) send(c *call, text string) {
	f.mu.Lock()
	f.answers++
	stray := ""
	if due := f.copies[c.conn]; due != "" {
		delete(f.copies, c.conn)
		f.faults++
		stray = due[:1+f.faults*cutStride%(len(due)-1)]
	}
	f.mu.Unlock()
	if stray != "" {
		note("server %s: beginning of a second copy, %d bytes: %q", c.server.id, len(stray), stray)
		_, _ = io.WriteString(c.conn, stray)
		time.Sleep(3 * time.Millisecond)
	}
	_, _ = io.WriteString(c.conn, text)
}

// plan has a copy of an answer follow on its connection and reports whether one may.
func (f *faultyServer) plan(c *call, text string, trouble bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answers < minAnswersPerFault || len(f.copies) > 0 {
		return false
	}
	f.answers = 0
	if trouble {
		f.copies[c.conn] = text
	}
	return true
}

// ledger holds what servers ran and answered, by the id of the request.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]string
	gave map[string]int
}

func (l *ledger) ran(c *call, status int) {
	note("server %s runs %s (%s)", c.server.id, c.id(), c.URL.Path)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[c.id()] = append(l.runs[c.id()], c.server.id)
	l.gave[c.id()] = status
}

// answerText is an answer with a length.
func answerText(c *call, status int) string {
	body := "result of " + c.id()
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nX-Attempt-Id: %s\r\nX-Server-Signature: signature-of-%s\r\nX-Server-Load: 0,0,6\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), c.id(), c.id(), len(body), body)
}

// threeRegisters starts a deployment of which one of three servers is faulty.
func threeRegisters(sound, faulty func(c *call) bool) *host {
	st := startStore(ip)
	st.put("op/config", config(3))
	startServer(ip, "i-sound1", "route-register", "ljubljana", sound).register(st, 6)
	startServer(ip, "i-sound2", "route-register", "ljubljana", sound).register(st, 6)
	startServer(ip, "i-faulty", "route-register", "ljubljana", faulty).register(st, 6)
	h := newHost("edge-ljubljana-1", "ljubljana", hostIP, st.address)
	h.start()
	h.awaitReady(20 * time.Second)
	time.Sleep(1500 * time.Millisecond)
	return h
}

// cutRefusalCase: the faulty server is full at times and refuses a request. Later it sends the
// beginning of a second copy of that refusal, and runs and answers the request that comes next on
// the channel.
func cutRefusalCase(trouble bool) string {
	l := &ledger{runs: map[string][]string{}, gave: map[string]int{}}
	f := &faultyServer{copies: map[net.Conn]string{}}
	h := threeRegisters(func(c *call) bool {
		l.ran(c, 200)
		_, _ = io.WriteString(c.conn, answerText(c, 200))
		return true
	}, func(c *call) bool {
		refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Type: text/plain\r\nX-Attempt-Id: %s\r\nContent-Length: 4\r\n\r\nfull", c.id())
		if f.plan(c, refusal, trouble) {
			note("server %s is full and refuses %s", c.server.id, c.id())
			_, _ = io.WriteString(c.conn, refusal)
			return true
		}
		l.ran(c, 200)
		f.send(c, answerText(c, 200))
		return true
	})
	answers := map[string]int{}
	sendWrites(h, cutCopyTime, func(id string, r response) {
		answers[fmt.Sprint(r.status)]++
		answers["of "+id] = r.status
	}, func() string { return "/write/order" })
	l.mu.Lock()
	defer l.mu.Unlock()
	twice, refused := 0, 0
	for id, runs := range l.runs {
		if len(runs) > 1 {
			twice++
			note("TWICE: %s ran at %v, the consumer got %d", id, runs, answers["of "+id])
		}
		if answers["of "+id] == 503 {
			refused++
			note("REFUSED: %s ran at %v and was answered 503", id, runs)
		}
	}
	note("%d requests ran, %d beginnings of copies, %d ran twice, %d were refused and had run", len(l.runs), f.faults, twice, refused)
	if twice > 0 {
		return fmt.Sprintf("TWICE: %d of %d non-idempotent requests ran at two servers after %d beginnings of copies", twice, len(l.runs), f.faults)
	}
	return ""
}

// sendWrites has consumers send writes, each over kept channels. got and path are called with a
// lock held.
func sendWrites(h *host, duration time.Duration, got func(id string, r response), path func() string) {
	var all sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(duration)
	for range consumers {
		all.Go(func() {
			var c *consumer
			for ; time.Now().Before(end); time.Sleep(8 * time.Millisecond) {
				if c == nil {
					var err error
					c, err = dial(h.frontend)
					check(err)
				}
				mu.Lock()
				id, p := newID(), path()
				mu.Unlock()
				if err := c.send("POST", "pule.example", p, id, 1500*time.Millisecond, "grade 6b+"); err != nil {
					note("consumer: write of %s: %v", id, err)
					c.close()
					c = nil
					continue
				}
				r := c.receive("POST", 3*time.Second)
				note("consumer: answer to %s (%s): %v, signature %q", id, p, r, r.header.Get("X-Server-Signature"))
				mu.Lock()
				got(id, r)
				mu.Unlock()
				if r.err != nil || r.header.Get("Connection") == "close" {
					c.close()
					c = nil
				}
			}
			if c != nil {
				c.close()
			}
		})
	}
	all.Wait()
}

// cutAnswerCase: the faulty server sends the beginning of a second copy of an answer and then the
// answer to the next request, which has another status: one in three writes fails at the servers.
func cutAnswerCase(trouble bool) string {
	l := &ledger{runs: map[string][]string{}, gave: map[string]int{}}
	f := &faultyServer{copies: map[net.Conn]string{}}
	status := func(c *call) int {
		if strings.HasPrefix(c.URL.Path, "/write/bad") {
			return 500
		}
		return 200
	}
	h := threeRegisters(func(c *call) bool {
		l.ran(c, status(c))
		_, _ = io.WriteString(c.conn, answerText(c, status(c)))
		return true
	}, func(c *call) bool {
		l.ran(c, status(c))
		text := answerText(c, status(c))
		f.send(c, text)
		f.plan(c, text, trouble)
		return true
	})
	type outcome struct {
		id string
		r  response
	}
	var outcomes []outcome
	n := 0
	sendWrites(h, cutCopyTime, func(id string, r response) { outcomes = append(outcomes, outcome{id, r}) }, func() string {
		if n++; n%3 == 0 {
			return "/write/bad"
		}
		return "/write/order"
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for _, o := range outcomes {
		gave, signature := l.gave[o.id], o.r.header.Get("X-Server-Signature")
		switch {
		case o.r.err != nil || gave == 0 || signature == "" && o.r.status >= 300 || gave == o.r.status:
		case o.r.status < 300:
			counts["success where the server had answered with a failure"]++
			note("MIXED: the server answered %s with %d, the consumer got %d, signature %q", o.id, gave, o.r.status, signature)
		default:
			counts["failure with the server's signature and another status"]++
			note("MIXED: the server answered %s with %d, the consumer got %d, signature %q", o.id, gave, o.r.status, signature)
		}
	}
	note("%d answers, %d beginnings of copies, %v", len(outcomes), f.faults, counts)
	if len(counts) == 0 {
		return ""
	}
	var texts []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		texts = append(texts, fmt.Sprintf("%d times a %s", counts[k], k))
	}
	return "MIXED: " + strings.Join(texts, ", ") + fmt.Sprintf(", after %d beginnings of copies", f.faults)
}
