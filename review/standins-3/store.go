package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, or the deletion of the key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's store. Leases pause while it is down.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
	// down is set while calls get 503.
	down      bool
	downSince time.Time
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 10, items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, http.HandlerFunc(s.handle)) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// setDown has all calls answered 503, those that wait included, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, l := range s.leases {
			l.end = l.end.Add(time.Since(s.downSince))
		}
	}
	s.down, s.downSince = down, time.Now()
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a server does. It reports false if the store is down.
func (s *store) put(key string, value any) bool {
	raw, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.set(key, raw, 0)
	s.wake()
	return true
}

func (s *store) delete(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.unset(key)
	s.wake()
	return true
}

func (s *store) has(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

func (s *store) set(key string, raw []byte, lease int64) {
	s.revision++
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	i := item{Key: key, Value: raw, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.unset(key)
		}
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *store) handle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	s.mu.Lock()
	down := s.down
	if !down {
		s.expire()
	}
	s.mu.Unlock()
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case down:
		reply(w, http.StatusServiceUnavailable, map[string]any{})
	case path == "/kv-key":
		s.key(w, q.Get("key"))
	case path == "/kv-range":
		s.keys(w, q.Get("prefix"), q.Get("after"))
	case path == "/kv-watch":
		s.watch(w, r)
	case path == "/kv-txn":
		s.txn(w, r)
	case path == "/kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		s.mu.Lock()
		s.revision++
		id, ttl := s.revision, time.Duration(body.TTL)*time.Millisecond
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTL})
	case strings.HasPrefix(path, "/kv-keep/"), strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		switch {
		case l == nil:
			reply(w, http.StatusNotFound, map[string]any{})
		case strings.HasPrefix(path, "/kv-keep/"):
			l.end = time.Now().Add(l.ttl)
			reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
		default:
			s.endLease(id)
			reply(w, http.StatusOK, map[string]any{})
		}
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) key(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"as_of": s.revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "as_of": s.revision})
}

func (s *store) keys(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waited := false; ; {
		s.mu.Lock()
		s.expire()
		changed, revision, down := s.changed, s.revision, s.down
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			reply(w, http.StatusServiceUnavailable, map[string]any{})
			return
		case len(events) > 0 || waited:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		if s.items[e.Key].Revision != e.Revision {
			items := []item{}
			if i, ok := s.items[e.Key]; ok {
				items = append(items, i)
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
			return
		}
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range body.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.unset(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
