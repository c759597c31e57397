package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// consumer is one connection of a consumer, which it keeps for many requests.
type consumer struct {
	conn net.Conn
	r    *bufio.Reader
}

func dial(address string) (*consumer, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &consumer{conn, bufio.NewReader(conn)}, nil
}

func (c *consumer) close() { c.conn.Close() }

// send writes a request; header holds NAME, VALUE pairs.
func (c *consumer) send(method, host, path, id string, deadline time.Duration, body string, header ...string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	for i := 0; i+1 < len(header); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", header[i], header[i+1])
	}
	if method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_, err := io.WriteString(c.conn, b.String())
	return err
}

// response is what a consumer got: how is "complete", or how the connection ended.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (r response) String() string {
	if r.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then: %v", r.status, len(r.body), r.err)
	}
	return fmt.Sprintf("status %d, %d bytes, complete", r.status, len(r.body))
}

// receive reads one response.
func (c *consumer) receive(method string, limit time.Duration) response {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, body, err}
}
