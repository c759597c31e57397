package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

const exportBytes = 2500000

// exportServer is a stand-in for a server of a plain service whose answers differ in size:
// 800 bytes, and exportBytes where the request asks for an export.
type exportServer struct {
	*Server
	runs *runs
	// unframed says that exports have no length and end with their channel.
	unframed bool
}

func (s *exportServer) handle(r *Request, w io.Writer) (bool, []byte) {
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/healthz" || r.URL.Path == "/report" {
		_, _ = w.Write(answer("200 OK", "X-Instance-Id: "+s.ID+"\r\nX-Server-Load: 0,0,6\r\n", `{}`))
		return false, nil
	}
	if id == "" {
		_, _ = w.Write(answer("400 Bad Request", "X-Not-Executed: 1\r\n", `{}`))
		return false, nil
	}
	s.runs.add(id, s.ID)
	time.Sleep(30 * time.Millisecond)
	head := "X-Attempt-Id: " + id + "\r\nX-Server-Signature: sig-" + id + "\r\nX-Server-Load: 1,0,6\r\n"
	if !strings.HasPrefix(string(r.Raw), "export") {
		_, _ = w.Write(answer("200 OK", head, strings.Repeat("s", 800)))
		return false, nil
	}
	body := strings.Repeat("x", exportBytes)
	if !s.unframed {
		n, err := w.Write(answer("200 OK", head, body))
		record("%s runs %s and answers with a length, %d bytes taken, error %v", s.ID, id, n, err)
		return false, nil
	}
	n, err := io.WriteString(w, "HTTP/1.1 200 OK\r\n"+head+"Connection: close\r\n\r\n"+body)
	record("%s runs %s and answers without a length, %d bytes taken, error %v", s.ID, id, n, err)
	return true, nil
}

// unframed: some answers of one of three servers have no length and end with their channel. A host in touch may not
// close a kept channel without an answer more than three times (LOST).
func unframed(w *World) ([]string, error) {
	ran := &runs{by: make(map[string][]string)}
	for i, zone := range zones {
		s := &exportServer{runs: ran, unframed: w.trouble && i == 0}
		var err error
		if s.Server, err = startServer(fmt.Sprintf("i-02d9e6b%d", i), "route-register", zone, 6, s.handle); err != nil {
			return nil, err
		}
		s.register(w.store)
	}
	w.store.Put("op/config", config([]any{map[string]any{"name": "r-writes", "host": "jepu9.example", "prefix": "/bobo563/", "route_type": "non_idempotent",
		"timeout_ms": 6000, "target_latency_ms": 2500, "priority": 0, "service": "route-register", "max_attempts": 2, "public": false, "sticky": false, "resumable": false}}))
	if err := w.addHosts(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var found []string
	whole := 0
	for i, h := range w.hosts {
		wg.Go(func() {
			c := &Client{host: h}
			cut := 0
			for n := range 120 {
				id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+i*1000+n)
				body, want := "correction "+id, 800
				if n%20 == 19 {
					body, want = "export "+id, exportBytes
				}
				kept := c.conn != nil
				a := c.Send(id, "POST", "/bobo563/lo7/2f", "jepu9.example", map[string]string{"X-Credential": "9dnn2ctnfzs989anu6ws"}, []byte(body), 6*time.Second)
				if want == exportBytes || a.Status != 200 || !a.Complete {
					record("%s answers %s (%s), on a kept channel %v, with %d and %d bytes after %d ms, complete %v", h.Name, id, body[:6], kept, a.Status, len(a.Body), a.Took.Milliseconds(), a.Complete)
				}
				ran.mu.Lock()
				by := ran.by[id]
				ran.mu.Unlock()
				mu.Lock()
				if kept && !a.Complete && len(by) > 0 {
					cut++
				}
				if a.Status == 200 && a.Complete && len(a.Body) == want {
					whole++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			if cut > 3 {
				found = append(found, fmt.Sprintf("LOST: %s passed %d requests from kept channels on to sound servers and closed the channel without their whole answer", h.Name, cut))
			}
		})
	}
	wg.Wait()
	record("%d of %d answers were whole", whole, 120*len(w.hosts))
	if whole < 60*len(w.hosts) {
		return nil, fmt.Errorf("only %d answers were whole", whole)
	}
	return found, nil
}
