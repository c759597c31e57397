package main

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["same-id"] = sameIDCase }

const (
	// modelServers keeps the share of the server that leaves at 0.2.
	modelServers  = 5
	streamEvents  = 60
	eventInterval = 100 * time.Millisecond
	// streamInterval is the time between two consumers with a question.
	streamInterval = 40 * time.Millisecond
	heartbeat      = 1200 * time.Millisecond
	// drainTime is drain_ms and a little longer.
	drainTime = 2300 * time.Millisecond
)

// modelServer is a model server that can start again at its address, under its id.
type modelServer struct {
	*server
	version atomic.Value
	ended   atomic.Bool
	conns   sync.Map
}

// stream sends the events after Last-Event-Id; each names the version that made it.
func (m *modelServer) stream(c *call) bool {
	from, _ := strconv.Atoi(c.Header.Get("Last-Event-Id"))
	version, born := m.version.Load().(string), m.born
	note("server %s %s runs %s, resumed after event %d", m.id, version, c.id(), from)
	m.conns.Store(c.conn, true)
	defer m.conns.Delete(c.conn)
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: signature-of-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", c.id(), c.id())
	for i := from + 1; i <= streamEvents; i++ {
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, version)
		if _, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
		time.Sleep(eventInterval)
		if m.born != born || m.ended.Load() {
			return false
		}
	}
	_, _ = io.WriteString(c.conn, "0\r\n\r\n")
	return true
}

// end ends the process of the server: its address refuses connections, and those that are open close.
func (m *modelServer) end() {
	m.ended.Store(true)
	m.listen.Close()
	m.conns.Range(func(k, _ any) bool { k.(net.Conn).Close(); return true })
}

// sameIDCase: a model server that is idle starts again, as another version, under its id and at its
// address; many users come at once; the server is emptied and taken away. Without the disruption it
// doesn't start again.
func sameIDCase(trouble bool) string {
	st := startStore(ip)
	st.put("op/config", config(3))
	var replaced *modelServer
	for i := range modelServers {
		m := &modelServer{}
		m.version.Store("v1")
		m.server = startServer(ip, fmt.Sprintf("i-llm%d", i), "pimentorill-pool", "ljubljana", m.stream)
		if i == 0 {
			replaced = m
			st.put("servers/"+m.id, m.entry("ready", 64, 1))
		} else {
			m.register(st, 64)
		}
	}
	h := newHost("edge-ljubljana-1", "ljubljana", hostIP, st.address)
	h.start()
	h.awaitReady(20 * time.Second)
	// The servers are cold for 3 s after their start.
	time.Sleep(4 * time.Second)
	var all sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(10 * time.Second)
	mixed, complete, began := 0, 0, 0
	ask := func() {
		all.Go(func() {
			{
				c, err := dial(h.frontend)
				check(err)
				id := newID()
				check(c.send("POST", "pule.example", "/stream/a", id, 19*time.Second, "question"))
				r := c.receive("POST", 22*time.Second)
				c.close()
				versions := map[string]bool{}
				var order []string
				for line := range strings.Lines(string(r.body)) {
					if v, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
						if !versions[v] {
							order = append(order, v)
						}
						versions[v] = true
					}
				}
				note("consumer: stream %s: %v, events of %v", id, r, order)
				mu.Lock()
				if r.status == 200 {
					began++
				}
				if r.status == 200 && r.err == nil {
					complete++
				}
				if len(versions) > 1 {
					mixed++
				}
				mu.Unlock()
			}
		})
	}
	go func() {
		time.Sleep(1750 * time.Millisecond) // just after the server has started again
		for time.Now().Before(end) {
			ask()
			time.Sleep(streamInterval)
		}
	}()
	time.Sleep(1500 * time.Millisecond)
	state := func(state string, sequence int) {
		note("entry of %s: %s, version %v, born %d", replaced.id, state, replaced.version.Load(), replaced.born)
		e := replaced.entry(state, 64, sequence)
		e["version"] = replaced.version.Load()
		st.put("servers/"+replaced.id, e)
	}
	if trouble {
		note("server %s ends, and starts again as v2", replaced.id)
		replaced.end()
		time.Sleep(150 * time.Millisecond)
		l, err := net.Listen("tcp", replaced.address)
		check(err)
		replaced.born = time.Now().UnixMilli()
		replaced.version.Store("v2")
		replaced.ended.Store(false)
		replaced.listen = l
		go replaced.accept(l)
		time.Sleep(heartbeat)
	}
	state("ready", 2)
	time.Sleep(heartbeat)
	state("draining", 3)
	time.Sleep(drainTime)
	note("server %s ends", replaced.id)
	replaced.end()
	st.remove("servers/" + replaced.id)
	time.Sleep(time.Until(end))
	all.Wait()
	note("%d streams began, %d complete, %d hold events of two versions", began, complete, mixed)
	if mixed > 2 {
		return fmt.Sprintf("ORDER: %d of %d streams hold events of two versions", mixed, began)
	}
	return ""
}
