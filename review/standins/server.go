package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is a request as a server has read it.
type Request struct {
	*http.Request
	Raw []byte // the body
	// Gone is closed once the caller has closed the channel.
	Gone <-chan struct{}
}

// Handler writes the answer to a request to w. It returns whether the answer ends the channel,
// and an extra copy that is sent late, nil for none: as soon as the next request on the channel
// has arrived, before the answer to that.
type Handler func(r *Request, w io.Writer) (closes bool, lateCopy []byte)

// Server is the HTTP/1.1 part of a stand-in server, one request at a time on a channel.
type Server struct {
	ID, Service, Zone string
	Slots             int
	Extra             map[string]any // further fields of its entry
	Address           string
	handler           Handler
	born              int64
}

func startServer(id, service, zone string, slots int, handler Handler) (*Server, error) {
	l, err := listen("127.0.0.1")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Service: service, Zone: zone, Slots: slots, Address: l.Addr().String(), handler: handler, born: time.Now().UnixMilli()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// register writes the server's entry into the store every heartbeat.
func (s *Server) register(store *Store) {
	put := func(sequence int) {
		entry := map[string]any{"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": s.Slots,
			"state": "ready", "warmup_left_ms": 0, "sequence": sequence, "born": s.born}
		for k, v := range s.Extra {
			entry[k] = v
		}
		store.Put("servers/"+s.ID, entry)
	}
	put(1)
	go func() {
		for n := 2; ; n++ {
			time.Sleep(1200 * time.Millisecond)
			put(n)
		}
	}()
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var late []byte
	for {
		hr, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		raw, err := io.ReadAll(hr.Body)
		if err != nil {
			return
		}
		if late != nil {
			record("%s sends a second copy of an earlier answer, late: %q", s.ID, firstLine(late))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		if want := hr.Header.Get("X-Expected-Instance"); want != "" && want != s.ID {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", hr.Header.Get("X-Attempt-Id"), s.ID)
			continue
		}
		gone := make(chan struct{})
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := reader.Peek(1); err != nil {
				if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
					close(gone)
				}
			}
		}()
		closes, lateCopy := s.handler(&Request{hr, raw, gone}, c)
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-peeked
		_ = c.SetReadDeadline(time.Time{})
		if closes {
			return
		}
		late = lateCopy
	}
}

func firstLine(b []byte) string {
	line, _, _ := bytes.Cut(b, []byte("\r\n"))
	return string(line)
}

// answer returns a whole answer with a JSON body.
func answer(status string, header, body string) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, header, len(body), body))
}
