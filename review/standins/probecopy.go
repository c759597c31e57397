package main

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// plainServer is a stand-in for a server of a plain service.
type plainServer struct {
	*Server
	runs *runs
	// breakAt holds the numbers of the runs whose answers are broken off. After each, four
	// answers to requests without an id are sent a second time; copies is how many still are.
	breakAt []int
	mu      sync.Mutex
	started int
	copies  int
}

// runs holds the servers that ran each request.
type runs struct {
	mu sync.Mutex
	by map[string][]string
}

func (r *runs) add(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[id] = append(r.by[id], server)
}

func (s *plainServer) handle(r *Request, w io.Writer) (bool, []byte) {
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/healthz" {
		_, _ = w.Write(answer("200 OK", "X-Instance-Id: "+s.ID+"\r\nX-Server-Load: 0,0,6\r\n", `{}`))
		return false, nil
	}
	if id == "" {
		record("%s answers %s %s, which has no id, with 400", s.ID, r.Method, r.URL.Path)
		a := answer("400 Bad Request", "X-Not-Executed: 1\r\nX-Server-Load: 0,0,6\r\n", `{}`)
		_, _ = w.Write(a)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.copies > 0 {
			s.copies--
			return false, a
		}
		return false, nil
	}
	s.mu.Lock()
	s.started++
	breaks := slices.Contains(s.breakAt, s.started)
	if breaks {
		s.copies = 4
	}
	s.mu.Unlock()
	s.runs.add(id, s.ID)
	record("%s runs %s", s.ID, id)
	time.Sleep(30 * time.Millisecond)
	a := answer("200 OK", "X-Attempt-Id: "+id+"\r\nX-Server-Signature: sig-"+id+"\r\nX-Server-Load: 1,0,6\r\n", `{"by":"`+s.ID+`"}`)
	if breaks {
		record("%s breaks its answer to %s off", s.ID, id)
		_, _ = w.Write(a[:len(a)-5])
		return true, nil
	}
	_, _ = w.Write(a)
	return false, nil
}

// probeCopy: a server of a plain service breaks two answers off and sends eight of its
// answers a second time, late. No request that isn't idempotent may run twice (TWICE).
func probeCopy(w *World) ([]string, error) {
	ran := &runs{by: make(map[string][]string)}
	var servers []*plainServer
	for i, zone := range zones {
		s := &plainServer{runs: ran}
		var err error
		if s.Server, err = startServer(fmt.Sprintf("i-02d9e6b%d", i), "route-register", zone, 6, s.handle); err != nil {
			return nil, err
		}
		s.register(w.store)
		servers = append(servers, s)
	}
	if w.trouble {
		servers[0].breakAt = []int{50, 110}
	}
	w.store.Put("op/config", config([]any{map[string]any{"name": "r-writes", "host": "jepu9.example", "prefix": "/bobo563/", "route_type": "non_idempotent",
		"timeout_ms": 1500, "target_latency_ms": 150, "priority": 0, "service": "route-register", "max_attempts": 2, "public": false, "sticky": false, "resumable": false}}))
	if err := w.addHosts(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	statuses := make(map[string]Answer)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, h := range w.hosts {
		wg.Go(func() {
			c := &Client{host: h}
			for n := range 200 {
				id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+i*1000+n)
				record("%s is sent %s", h.Name, id)
				a := c.Send(id, "POST", "/bobo563/lo7/2f", "jepu9.example", map[string]string{"X-Credential": "9dnn2ctnfzs989anu6ws"}, []byte("correction "+id), 1500*time.Millisecond)
				record("%s answers %s with %d after %d ms, complete %v", h.Name, id, a.Status, a.Took.Milliseconds(), a.Complete)
				mu.Lock()
				statuses[id] = a
				mu.Unlock()
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	var found []string
	served := 0
	ran.mu.Lock()
	defer ran.mu.Unlock()
	for id, a := range statuses {
		by := ran.by[id]
		if a.Status == 200 && a.Complete {
			served++
		}
		if len(by) > 1 {
			found = append(found, fmt.Sprintf("TWICE: %s ran at %v and was answered %d", id, by, a.Status))
		}
		if len(by) > 0 && (a.Status == 503 || a.Status == 429 || a.Status == 408 || a.Status == 421) {
			found = append(found, fmt.Sprintf("REFUSED: %s was answered %d and ran at %v", id, a.Status, by))
		}
	}
	record("%d of %d requests were served", served, len(statuses))
	if served < len(statuses)/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, len(statuses))
	}
	return found, nil
}
