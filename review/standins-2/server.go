package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is a request that arrived at a server, on its connection.
type call struct {
	*http.Request
	body   []byte
	conn   net.Conn
	server *server
}

func (c *call) id() string { return c.Header.Get("X-Attempt-Id") }

// write sends a complete response with a length.
func (c *call) write(status int, header map[string]string, body string) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := c.id(); id != "" {
		fmt.Fprintf(&b, "X-Attempt-Id: %s\r\n", id)
	}
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, _ = io.WriteString(c.conn, b.String())
}

// unnamedRefusals has servers name no request in their refusals, which end with unnamedRefusal.
var unnamedRefusals bool

const unnamedRefusal = "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// misdirected refuses a request that is meant for another server.
func (c *call) misdirected() {
	if unnamedRefusals {
		_, _ = io.WriteString(c.conn, "HTTP/1.1 421 Misdirected Request\r\n"+unnamedRefusal)
		return
	}
	c.write(421, map[string]string{"X-Not-Executed": "1"}, "")
}

func signed(extra ...string) map[string]string {
	h := map[string]string{"X-Server-Signature": "3e1b.07.5a2.600.0.c9f2a4d1"}
	for i := 0; i+1 < len(extra); i += 2 {
		h[extra[i]] = extra[i+1]
	}
	return h
}

// server is a stand-in for a server of a service. It serves one request at a time on a connection
// and refuses requests that are meant for another server.
type server struct {
	id, service, zone, address string
	born                       int64
	// run answers a request of a consumer; false closes the connection.
	run func(c *call) bool
	// made counts the results of stage calls.
	mu   sync.Mutex
	made int
	// pieces is called for each piece that is made, before the answer.
	pieces func(request string, stage, segment int)
	listen net.Listener
}

func startServer(ip, id, service, zone string, run func(c *call) bool) *server {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s := &server{id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), run: run, listen: l}
	go s.accept(l)
	return s
}

// entry is what the server writes to the store.
func (s *server) entry(state string, slots, sequence int) map[string]any {
	return map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": slots,
		"state": state, "warmup_left_ms": 0, "sequence": sequence, "born": s.born}
}

// register writes the server's entry now and every heartbeat.
func (s *server) register(st *store, slots int) {
	st.put("servers/"+s.id, s.entry("ready", slots, 1))
	go func() {
		for n := 2; ; n++ {
			time.Sleep(1200 * time.Millisecond)
			st.put("servers/"+s.id, s.entry("ready", slots, n))
		}
	}()
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		c := &call{Request: req, body: body, conn: conn, server: s}
		expected := req.Header.Get("X-Expected-Instance")
		switch {
		case expected != "" && expected != s.id:
			c.misdirected()
		case req.URL.Path == "/report":
			c.write(200, map[string]string{"Content-Type": "application/json"}, `{"queued":0,"busy":false,"free_mb":0.65,"active":0,"kv_used":0,"kv_total":300000,"handles":0,"sequence":1,"models":[{"name":"m","version":1,"adapter_ids":[]}]}`)
		case req.URL.Path == "/healthz":
			c.write(200, map[string]string{"X-Instance-Id": s.id}, "")
		case req.URL.Path == "/stage-run":
			s.runPieces(c)
		case req.URL.Path == "/stage-free":
			c.write(200, nil, "{}")
		case c.id() == "":
			c.write(400, map[string]string{"X-Not-Executed": "1"}, "")
		case !s.run(c):
			return
		}
	}
}

// runPieces makes all pieces of a stage call.
func (s *server) runPieces(c *call) {
	var in struct {
		Items []struct {
			ID      string `json:"id"`
			Stage   int    `json:"stage"`
			Segment int    `json:"segment"`
		} `json:"items"`
	}
	if json.Unmarshal(c.body, &in) != nil {
		c.write(400, map[string]string{"X-Not-Executed": "1"}, "")
		return
	}
	time.Sleep(20 * time.Millisecond)
	type result struct {
		Handle string `json:"handle"`
	}
	var out struct {
		Items []result `json:"items"`
	}
	for _, it := range in.Items {
		s.mu.Lock()
		s.made++
		n := s.made
		s.mu.Unlock()
		if s.pieces != nil {
			s.pieces(it.ID, it.Stage, it.Segment)
		}
		out.Items = append(out.Items, result{fmt.Sprintf("%s/%s%x", s.address, s.id, n)})
	}
	raw, _ := json.Marshal(out)
	c.write(200, map[string]string{"Content-Type": "application/json", "X-Server-Load": "0,0,1"}, string(raw))
}
