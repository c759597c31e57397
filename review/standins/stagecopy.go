package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// stageServer is a stand-in for a server of a stage's service with one slot.
type stageServer struct {
	*Server
	slot  sync.Mutex
	mu    sync.Mutex
	owner map[string]string // the request for which each result that is kept was made
	calls int
	// failAt holds the numbers of the calls, among those of one piece, that are answered with
	// the reason "error"; copyLate has these answers sent a second time.
	failAt   []int
	singles  int
	copyLate bool
}

const (
	requests   = 110
	stageCall  = 200 * time.Millisecond
	stagePiece = 17 * time.Millisecond
	stageKept  = 4 * time.Second
)

func (s *stageServer) handle(r *Request, w io.Writer) (bool, []byte) {
	switch r.URL.Path {
	case "/report":
		_, _ = w.Write(answer("200 OK", "", `{"queued":0,"busy":false,"free_mb":22}`))
		return false, nil
	case "/stage-free":
		var body struct {
			Handles []string `json:"handles"`
		}
		_ = json.Unmarshal(r.Raw, &body)
		s.mu.Lock()
		for _, h := range body.Handles {
			delete(s.owner, h)
		}
		s.mu.Unlock()
		_, _ = w.Write(answer("200 OK", "", `{}`))
		return false, nil
	case "/stage-run":
	default:
		_, _ = w.Write(answer("404 Not Found", "", `{}`))
		return false, nil
	}
	var body struct {
		Items []struct {
			ID      string `json:"id"`
			Stage   int    `json:"stage"`
			Segment int    `json:"segment"`
		} `json:"items"`
	}
	if json.Unmarshal(r.Raw, &body) != nil {
		_, _ = w.Write(answer("400 Bad Request", "X-Not-Executed: 1\r\n", `{}`))
		return false, nil
	}
	s.slot.Lock()
	defer s.slot.Unlock()
	time.Sleep(stageCall + time.Duration(len(body.Items))*stagePiece)
	s.mu.Lock()
	s.calls++
	if len(body.Items) == 1 {
		s.singles++
	}
	fails := len(body.Items) == 1 && slices.Contains(s.failAt, s.singles)
	var items, text []string
	for _, i := range body.Items {
		if fails {
			items, text = append(items, `{"reason":"error"}`), append(text, i.ID+": error")
			continue
		}
		handle := fmt.Sprintf("%s/%011x", s.Address, rand.Int63n(1<<44))
		s.owner[handle] = i.ID
		time.AfterFunc(stageKept, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.owner, handle)
		})
		items, text = append(items, fmt.Sprintf(`{"handle":%q}`, handle)), append(text, i.ID+": "+handle)
	}
	n := s.calls
	s.mu.Unlock()
	record("%s answers stage call %d: %s", s.ID, n, strings.Join(text, ", "))
	a := answer("200 OK", "X-Server-Load: 0,0,1\r\n", `{"items":[`+strings.Join(items, ",")+`]}`)
	_, _ = w.Write(a)
	if fails && s.copyLate {
		return false, a
	}
	return false, nil
}

// ownerOf returns the request for which a result was made, empty if it isn't kept.
func (s *stageServer) ownerOf(handle string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner[handle]
}

// modelServer streams events and fetches the inputs of each request first.
type modelServer struct {
	*Server
	stages []*stageServer
	found  *violations
}

type violations struct {
	mu   sync.Mutex
	list []string
}

func (v *violations) add(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, fmt.Sprintf(format, args...))
}

func (m *modelServer) handle(r *Request, w io.Writer) (bool, []byte) {
	if r.URL.Path == "/report" {
		_, _ = w.Write(answer("200 OK", "", `{"stage":"combined","models":[{"name":"m","version":1,"adapter_ids":[]}],"busy":false,"sequence":1,"queued":0,"active":0,"kv_used":0,"kv_total":326199,"handles":0}`))
		return false, nil
	}
	id := r.Header.Get("X-Attempt-Id")
	refuse := func(status string) (bool, []byte) {
		_, _ = w.Write(answer(status, "X-Attempt-Id: "+id+"\r\nX-Not-Executed: 1\r\n", `{}`))
		return false, nil
	}
	if _, ok := r.Header[http.CanonicalHeaderKey("X-Input-Count")]; !ok || id == "" {
		return refuse("400 Bad Request")
	}
	var owners []string
	for _, handle := range strings.Split(r.Header.Get("X-Input-Count"), ",") {
		owner := ""
		for _, s := range m.stages {
			owner += s.ownerOf(handle)
		}
		if owner == "" {
			record("%s refuses %s: input %s is gone", m.ID, id, handle)
			return refuse("409 Conflict")
		}
		owners = append(owners, owner)
	}
	record("%s runs %s with the inputs made for %s", m.ID, id, strings.Join(owners, ","))
	for _, owner := range owners {
		if owner != id {
			m.found.add("request %s was given an input that was made for request %s", id, owner)
		}
	}
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: sig-%s\r\nX-Server-Load: 1,0,64\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	time.Sleep(60 * time.Millisecond)
	for n := 1; n <= 6; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d, inputs of %s\n\n", n, n, strings.Join(owners, ","))
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
			return true, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	fmt.Fprint(w, "0\r\n\r\n")
	return false, nil
}

// stageCopy: a stage's server sends one of its answers a second time, late, on a channel
// that is in use again. No request may be given the inputs of another one (MIXED).
func stageCopy(w *World) ([]string, error) {
	found := &violations{}
	faulty := &stageServer{owner: make(map[string]string), failAt: []int{15, 40}, copyLate: w.trouble}
	sound := &stageServer{owner: make(map[string]string)}
	stages := []*stageServer{faulty, sound}
	for i, zone := range []string{"kranj", "celje"} {
		var err error
		if stages[i].Server, err = startServer(fmt.Sprintf("i-5a01c3d%d", i), "hazard-desk", zone, 1, stages[i].handle); err != nil {
			return nil, err
		}
		stages[i].register(w.store)
	}
	for i, zone := range zones {
		m := &modelServer{stages: stages, found: found}
		var err error
		if m.Server, err = startServer(fmt.Sprintf("i-7f3a91c%d", i), "pimentorill-pool", zone, 64, m.handle); err != nil {
			return nil, err
		}
		m.Extra = map[string]any{"stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapter_ids": []any{}}}}
		m.register(w.store)
	}
	w.store.Put("op/config", config([]any{map[string]any{"name": "r-notes", "host": "pule25.example", "prefix": "/puxa400/", "route_type": "streaming",
		"timeout_ms": 6000, "target_latency_ms": 2500, "priority": 1, "service": "pimentorill-pool", "max_attempts": 1,
		"stages": []any{map[string]any{"service": "hazard-desk", "after": []int{}, "length": 8000}}, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 400}}))
	if err := w.addHosts(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // all hosts know each other
	clients := make([]*Client, 12)
	for i := range clients {
		clients[i] = &Client{host: w.hosts[i%len(w.hosts)]}
	}
	var wg sync.WaitGroup
	served := 0
	var mu sync.Mutex
	for n := range requests {
		id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+n)
		c := clients[n%len(clients)]
		wg.Go(func() {
			record("%s is sent %s", c.host.Name, id)
			a := c.Send(id, "POST", "/puxa400/2f", "pule25.example", map[string]string{"X-Credential": "9dnn2ctnfzs989anu6ws", "X-Model-Id": "m", "X-Token-Count": "410,24",
				"X-Prompt-Prefix": fmt.Sprintf("91bd3f06:400,%08x:10", n), "X-Chunk-Count": "1", "X-Chunk-Key": fmt.Sprintf("7c1e07a2%04x", n)}, []byte("prompt "+id), 6*time.Second)
			record("%s answers %s with %d after %d ms, complete %v: %q", c.host.Name, id, a.Status, a.Took.Milliseconds(), a.Complete, lastLine(a.Body))
			if a.Status == 200 && a.Complete {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
		time.Sleep(260 * time.Millisecond)
	}
	wg.Wait()
	record("%d of %d requests were served", served, requests)
	if served < requests/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, requests)
	}
	return found.list, nil
}

func lastLine(body string) string {
	lines := strings.Split(strings.TrimSpace(body), "\n")
	return lines[len(lines)-1]
}

// config returns a configuration with the routes.
func config(routes []any) map[string]any {
	stage := map[string]any{"slots": 1, "queue": 2, "batch": 10, "call_ms": 200.0, "item_ms": 17.0, "headroom_mb": 22.0, "handle_s": 4.0, "link_mbps": 10000}
	engine := map[string]any{"slots": 64, "kv_capacity": 326199, "kv_token_bytes": 327680, "link_mbps": 740000.0, "moves": true, "backups": true, "stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}
	service := func(name string, conns int, extra map[string]any) map[string]any {
		s := map[string]any{"name": name, "health_path": "/healthz", "max_conns": conns, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0}
		for k, v := range extra {
			s[k] = v
		}
		return s
	}
	return map[string]any{"version": 7, "routes": routes,
		"services": []any{service("pimentorill-pool", 370, map[string]any{"engine": engine, "warmup_s": 3.0, "warmup_per_s": 11.0}),
			service("hazard-desk", 370, map[string]any{"segments": stage}), service("route-register", 110, nil)},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "api_keys": []string{"9dnn2ctnfzs989anu6ws", "jnbanfqasnmgkcuyj8pj"}, "priority": 1}}}
}
