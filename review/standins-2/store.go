package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, or a deletion of the key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's metadata store. It loses nothing and forgets no history.
type store struct {
	address string

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	nextID   int64
}

func startStore(ip string) *store {
	s := &store{changed: make(chan struct{}), revision: 1, items: map[string]item{}, leases: map[int64]*lease{}}
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	go s.expireLeases()
	return s
}

// put writes a key on behalf of the operator or of a server, and returns the revision.
func (s *store) put(key string, value any) int64 {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, raw, 0)
	s.wake()
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
	s.wake()
}

// keys returns the number of keys with a prefix.
func (s *store) keys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.delete(k)
		}
	}
	s.wake()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	path, q := r.URL.Path, r.URL.Query()
	switch {
	case path == "/kv-watch":
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case path == "/kv-key":
		if it, ok := s.items[q.Get("key")]; ok {
			answer(w, 200, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "as_of": s.revision})
			return
		}
		answer(w, 404, map[string]any{"as_of": s.revision})
	case path == "/kv-range":
		s.readRange(w, q.Get("prefix"), q.Get("after"))
	case path == "/kv-txn":
		s.txn(w, body)
	case path == "/kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.Unmarshal(body, &in)
		s.nextID++
		ttl := time.Duration(max(1000, in.TTL)) * time.Millisecond
		s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
		answer(w, 200, map[string]any{"lease": s.nextID, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/kv-keep/"), strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		l := s.leases[id]
		switch {
		case l == nil:
			answer(w, 404, map[string]any{})
			return
		case strings.HasPrefix(path, "/kv-lease-end/"):
			s.endLease(id)
		default:
			l.expires = time.Now().Add(l.ttl)
		}
		answer(w, 200, map[string]any{})
	default:
		answer(w, 400, map[string]any{})
	}
}

func (s *store) readRange(w http.ResponseWriter, prefix, after string) {
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for _, k := range keys[:min(500, len(keys))] {
		items = append(items, s.items[k])
	}
	answer(w, 200, map[string]any{"items": items, "truncated": len(keys) > 500, "as_of": s.revision})
}

func (s *store) txn(w http.ResponseWriter, body []byte) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_revision"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &in) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	for _, e := range in.Expected {
		if s.items[e.Key].Revision == e.Revision {
			continue
		}
		items := []item{}
		for _, e := range in.Expected {
			if it, ok := s.items[e.Key]; ok {
				items = append(items, it)
			}
		}
		answer(w, 412, map[string]any{"items": items})
		return
	}
	for _, p := range in.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, 404, map[string]any{})
			return
		}
	}
	for _, p := range in.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range in.Remove {
		s.delete(k)
	}
	s.wake()
	answer(w, 200, map[string]any{"revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, 200, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
