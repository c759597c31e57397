package standin

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pimentorill/pimentorill/internal/port"
)

// Endless is a server that sends bytes without end on each connection, whatever it is asked.
type Endless struct {
	listener net.Listener
	head     string
	again    []byte
	group    sync.WaitGroup
	sent     atomic.Int64
	mu       sync.Mutex
	closed   bool
	conns    map[net.Conn]struct{}
}

// attemptID stands for the header field with the id of the attempt that is answered.
const attemptID = "ATTEMPT"

// EndlessForms are texts that have no end if the second part is repeated: it follows the first one.
var EndlessForms = map[string][2]string{
	"header fields":   {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
	"one field":       {"HTTP/1.1 200 OK\r\nX-Field: ", "value"},
	"no HTTP":         {"", "\x00\x01\xff"},
	"interim":         {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"body":            {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"string":          {"HTTP/1.1 200 OK\r\n\r\n\"", "x"},
	"items":           {"HTTP/1.1 200 OK\r\n\r\n{\"items\":[{}", ",{}"},
	"large length":    {"HTTP/1.1 200 OK\r\nContent-Length: 4294967296\r\n\r\n", "x"},
	"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"chunk size":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"failure":         {"HTTP/1.1 503 Service Unavailable\r\n\r\n", "x"},
	"other protocol":  {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n", "\x82\x7e\xff\xff"},
	"named body":      {"HTTP/1.1 200 OK\r\n" + attemptID + "\r\n\r\n", "x"},
	"named string":    {"HTTP/1.1 200 OK\r\n" + attemptID + "\r\n\r\n{\"output\":\"", "x"},
	"named tokens":    {"HTTP/1.1 200 OK\r\n" + attemptID + "\r\n\r\n", "data: {\"choices\":[{\"text\":\"token\"}]}\n\n"},
	"named refusal":   {"HTTP/1.1 503 Service Unavailable\r\n" + attemptID + "\r\n" + port.HeaderVerdict + ": not_run\r\n\r\n", "x"},
	"whole responses": {"", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}"},
}

// StartEndless starts a server on loopback that sends a form of EndlessForms. Close stops it. The error
// is that of net.Listen.
func StartEndless(form [2]string) (*Endless, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endless{listener: l, head: form[0], again: bytes.Repeat([]byte(form[1]), 1+16<<10/len(form[1])), conns: make(map[net.Conn]struct{})}
	e.group.Go(e.accept)
	return e, nil
}

func (e *Endless) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = struct{}{}
		closed := e.closed
		e.mu.Unlock()
		if closed {
			c.Close()
			return
		}
		e.group.Go(func() {
			defer c.Close()
			head := e.head
			if strings.Contains(head, attemptID) {
				request, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				head = strings.ReplaceAll(head, attemptID, port.HeaderAttempt+": "+request.Header.Get(port.HeaderAttempt))
			}
			e.group.Go(func() { _, _ = io.Copy(io.Discard, c) })
			_, err := io.WriteString(c, head)
			for n := 0; err == nil; {
				n, err = c.Write(e.again)
				e.sent.Add(int64(n))
			}
		})
	}
}

// Address returns the address of the server, IP:PORT.
func (e *Endless) Address() string { return e.listener.Addr().String() }

// Sent returns the number of bytes sent on all connections.
func (e *Endless) Sent() int64 { return e.sent.Load() }

// Close closes all connections and waits for their end.
func (e *Endless) Close() {
	e.listener.Close()
	e.mu.Lock()
	e.closed = true
	for c := range e.conns {
		c.Close()
	}
	e.mu.Unlock()
	e.group.Wait()
}
