package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// versionServer is a stand-in for a model server of a software version. A stream has
// streamEvents events, and goes on after Last-Event-Id.
type versionServer struct {
	*Server
	version string
}

const (
	streamEvents = 70
	eventPause   = 40 * time.Millisecond
)

func (s *versionServer) handle(r *Request, w io.Writer) (bool, []byte) {
	if r.URL.Path == "/report" {
		_, _ = w.Write(answer("200 OK", "", `{"stage":"combined","models":[{"name":"m","version":1,"adapter_ids":[]}],"busy":false,"sequence":1,"queued":0,"active":0,"kv_used":0,"kv_total":326199,"handles":0}`))
		return false, nil
	}
	id := r.Header.Get("X-Attempt-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	record("%s (%s) runs %s from event %d", s.ID, s.version, id, last+1)
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: sig-%s\r\nX-Server-Load: 1,0,64\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for n := last + 1; n <= streamEvents; n++ {
		select {
		case <-r.Gone:
			return true, nil
		case <-time.After(eventPause):
		}
		event := fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", n, n, s.version)
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
			return true, nil
		}
	}
	fmt.Fprint(w, "0\r\n\r\n")
	return false, nil
}

// stream is what a consumer has received of a stream, over its attempts.
type stream struct {
	last     int
	versions []string
	complete bool
}

// read sends one attempt on a new channel and reads the events until the answer ends.
func (s *stream) read(h *Host, id, resumes string, prompt int) (status int) {
	c, err := net.DialTimeout("tcp", h.Frontend, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	extra := ""
	if resumes != "" {
		extra = fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", resumes, s.last)
	}
	fmt.Fprintf(c, "POST /puxa400/2f HTTP/1.1\r\nHost: pule25.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 20000\r\nX-Credential: 9dnn2ctnfzs989anu6ws\r\nX-Model-Id: m\r\nX-Token-Count: 410,280\r\nX-Prompt-Prefix: %08x:400,%08x:10\r\n%sContent-Length: 6\r\n\r\nprompt", id, prompt, 7000+prompt, extra)
	reader := bufio.NewReader(c)
	resp, err := http.ReadResponse(reader, &http.Request{Method: "POST"})
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return resp.StatusCode
	}
	body := bufio.NewScanner(resp.Body)
	for body.Scan() {
		line := body.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			s.last, _ = strconv.Atoi(value)
		}
		if _, version, ok := strings.Cut(line, " of "); ok && (len(s.versions) == 0 || s.versions[len(s.versions)-1] != version) {
			s.versions = append(s.versions, version)
		}
	}
	s.complete = body.Err() == nil && s.last == streamEvents
	return 200
}

// versions: while servers of a new version start, one host is cut off from the store and from
// all other hosts, and another one of its zone is killed. No more than two streams may hold
// events of two software versions (ORDER).
func versions(w *World) ([]string, error) {
	w.store.Put("op/config", config([]any{map[string]any{"name": "r-query", "host": "pule25.example", "prefix": "/puxa400/", "route_type": "streaming",
		"timeout_ms": 20000, "target_latency_ms": 2700, "priority": 2, "service": "pimentorill-pool", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 400}}))
	serve := func(n int, version, zone string) error {
		s := &versionServer{version: version}
		var err error
		if s.Server, err = startServer(fmt.Sprintf("i-7f3a9%03d", n), "pimentorill-pool", zone, 64, s.handle); err != nil {
			return err
		}
		s.Extra = map[string]any{"version": version, "stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapter_ids": []any{}}}}
		s.register(w.store)
		record("server %s of version %s registers", s.ID, version)
		return nil
	}
	for n := range 6 {
		if err := serve(n, "v1", zones[n%3]); err != nil {
			return nil, err
		}
	}
	network, err := startNetwork(w, []string{"ljubljana", "ljubljana", "ljubljana", "kranj", "kranj", "kranj", "celje", "celje"})
	if err != nil {
		return nil, err
	}
	time.Sleep(12 * time.Second) // as long as traffic starts after the machines
	cut, killed := w.hosts[6], w.hosts[7]
	if w.trouble {
		record("%s is cut off from the store and all other hosts", cut.Name)
		network.cut(6, true)
	}
	time.Sleep(200 * time.Millisecond)
	streams := make([]*stream, 36)
	var wg sync.WaitGroup
	for n := range streams {
		if n%9 == 0 {
			if err := serve(100+n, "v2", zones[n/9%3]); err != nil {
				return nil, err
			}
		}
		streams[n] = &stream{}
		wg.Go(func() {
			s, id := streams[n], fmt.Sprintf("%016x", 0x1c41d07be2a30000+n)
			record("%s is sent %s", killed.Name, id)
			status := s.read(killed, id, "", n)
			record("%s answered %s with %d, up to event %d, of %v, complete %v", killed.Name, id, status, s.last, s.versions, s.complete)
			if s.complete || s.last == 0 {
				return
			}
			again := fmt.Sprintf("%016x", 0x1c41d07be2a30000+1000+n)
			record("%s is sent %s, which takes %s up after event %d", cut.Name, again, id, s.last)
			status = s.read(cut, again, id, n)
			record("%s answered %s with %d, up to event %d, of %v, complete %v", cut.Name, again, status, s.last, s.versions, s.complete)
		})
		time.Sleep(45 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	if w.trouble {
		record("%s is killed", killed.Name)
		killed.stop()
	}
	wg.Wait()
	network.cut(6, false)
	mixed, begun := 0, 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			mixed++
		}
		if s.last > 0 {
			begun++
		}
	}
	record("%d of %d streams began, %d hold events of two versions", begun, len(streams), mixed)
	if begun < len(streams)/2 {
		return nil, fmt.Errorf("only %d of %d streams began", begun, len(streams))
	}
	if mixed > 2 {
		return []string{fmt.Sprintf("ORDER: %d streams hold events from servers of two software versions", mixed)}, nil
	}
	return nil, nil
}

// network holds the proxies between hosts and to the store. peers[i][j] leads from host i to
// host j.
type network struct {
	stores []*Proxy
	peers  [][]*Proxy
}

// startNetwork starts a host in each of the zones, with a proxy on each path between two
// hosts and to the store.
func startNetwork(w *World, hostZones []string) (*network, error) {
	n := &network{peers: make([][]*Proxy, len(hostZones))}
	addresses := make([]string, len(hostZones)) // of the hosts, for peers
	var mu sync.Mutex
	for i := range hostZones {
		n.peers[i] = make([]*Proxy, len(hostZones))
	}
	for i, zone := range hostZones {
		view := func(key string, value []byte) []byte {
			if !strings.HasPrefix(key, "pimentorill/hosts/") {
				return value
			}
			var entry map[string]any
			if json.Unmarshal(value, &entry) != nil {
				return value
			}
			mu.Lock()
			defer mu.Unlock()
			for j, address := range addresses {
				if j == i || address != entry["address"] {
					continue
				}
				if n.peers[i][j] == nil {
					p, err := startProxy(address)
					if err != nil {
						return value
					}
					n.peers[i][j] = p
				}
				entry["address"] = n.peers[i][j].Address
			}
			out, err := json.Marshal(entry)
			if err != nil {
				return value
			}
			return out
		}
		l, err := listen("127.0.0.1")
		if err != nil {
			return nil, err
		}
		go w.store.Serve(l, view)
		p, err := startProxy(l.Addr().String())
		if err != nil {
			return nil, err
		}
		n.stores = append(n.stores, p)
		h, err := startHost(w.dir, fmt.Sprintf("edge-%s-%d", zone, i), zone, fmt.Sprintf("127.0.0.%d", 11+i), p.Address)
		if h != nil {
			mu.Lock()
			addresses[i] = h.Peers
			mu.Unlock()
			w.hosts = append(w.hosts, h)
		}
		if err != nil {
			return nil, err
		}
	}
	return n, w.awaitReady()
}

// cut cuts a host off from the store and from all other hosts, silently, or ends that.
func (n *network) cut(host int, on bool) {
	n.stores[host].silent.Store(on)
	for i := range n.peers {
		for j, p := range n.peers[i] {
			if p != nil && (i == host || j == host) {
				p.silent.Store(on)
			}
		}
	}
}
