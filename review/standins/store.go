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

// Store is a stand-in for the platform's metadata store. It never loses what it has
// acknowledged and keeps its whole history.
type Store struct {
	mu       sync.Mutex
	items    map[string]*item
	events   []item
	revision int64
	leases   map[int64]*lease
	changed  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// View changes how one host sees a value: its address of a server may lead over a proxy.
type View func(key string, value []byte) []byte

func NewStore() *Store {
	s := &Store{items: make(map[string]*item), revision: 1, leases: make(map[int64]*lease), changed: make(chan struct{})}
	go s.expireLeases()
	return s
}

// Serve serves the store on the listener, for one host.
func (s *Store) Serve(l net.Listener, view View) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", func(w http.ResponseWriter, r *http.Request) { s.handleKey(w, r, view) })
	mux.HandleFunc("GET /kv-range", func(w http.ResponseWriter, r *http.Request) { s.handleRange(w, r, view) })
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) { s.handleWatch(w, r, view) })
	mux.HandleFunc("POST /kv-txn", s.handleTxn)
	mux.HandleFunc("POST /kv-lease", s.handleLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.handleLeaseEnd)
	_ = (&http.Server{Handler: mux}).Serve(l)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Put writes a key without a lease, as the operator and the servers do.
func (s *Store) Put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, raw, 0)
	s.notifyLocked()
}

func (s *Store) putLocked(key string, value []byte, leaseID int64) {
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = &i
	s.events = append(s.events, i)
}

func (s *Store) removeLocked(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLeaseLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLeaseLocked(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.removeLocked(key)
		}
	}
	s.notifyLocked()
}

func seen(i item, view View) item {
	if view != nil && !i.Deleted {
		i.Value = view(i.Key, i.Value)
	}
	return i
}

func (s *Store) handleKey(w http.ResponseWriter, r *http.Request, view View) {
	s.mu.Lock()
	i := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if i == nil {
		reply(w, 404, struct{}{})
		return
	}
	reply(w, 200, seen(*i, view))
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request, view View) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, seen(*i, view))
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	truncated := len(items) > 500
	if truncated {
		items = items[:500]
	}
	reply(w, 200, map[string]any{"items": items, "truncated": truncated, "as_of": asOf})
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request, view View) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, seen(e, view))
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, 200, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
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
		reply(w, 400, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, e := range body.Expected {
		revision := int64(0)
		if i := s.items[e.Key]; i != nil {
			revision = i.Revision
			current = append(current, *i)
		}
		holds = holds && revision == e.Revision
	}
	if !holds {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, struct{}{})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.removeLocked(key)
	}
	s.notifyLocked()
	reply(w, 200, map[string]any{"revision": s.revision})
}

func (s *Store) handleLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(max(1000, min(600000, body.TTL))) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(len(s.events)*7+len(s.leases)) + time.Now().UnixNano()%1e9
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, 200, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *Store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, 404, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, 404, struct{}{})
		return
	}
	s.endLeaseLocked(id)
	reply(w, 200, struct{}{})
}
