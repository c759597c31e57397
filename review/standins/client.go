package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Answer is what a client got for one request. Status is 0 if the channel ended without an
// answer, and Complete is false if the answer broke off.
type Answer struct {
	Status   int
	Complete bool
	Body     string
	Took     time.Duration
}

// Client sends requests on a kept channel to one host, one at a time.
type Client struct {
	host *Host
	// bytesPerSecond is the speed of the client's link; 0 for no bound.
	bytesPerSecond int
	mu             sync.Mutex
	conn           net.Conn
	reader         *bufio.Reader
}

// Send sends a request and waits for its answer.
func (c *Client) Send(id, method, target, hostName string, header map[string]string, body []byte, deadline time.Duration) (a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	start := time.Now()
	defer func() {
		a.Took = time.Since(start)
		if !a.Complete && c.conn != nil {
			c.conn.Close()
			c.conn = nil
		}
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host.Frontend, time.Second)
		if err != nil {
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, target, hostName, id, deadline.Milliseconds())
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_ = c.conn.SetDeadline(start.Add(deadline + time.Second))
	if err := c.write(b.Bytes()); err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return a
	}
	a.Status = resp.StatusCode
	raw, err := io.ReadAll(resp.Body)
	a.Body, a.Complete = string(raw), err == nil
	if resp.Close && c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
	return a
}

// write writes the request, not faster than the client's link.
func (c *Client) write(b []byte) error {
	const part = 64 << 10
	for len(b) > 0 {
		n := len(b)
		if c.bytesPerSecond > 0 {
			n = min(n, part)
			time.Sleep(time.Duration(n) * time.Second / time.Duration(c.bytesPerSecond))
		}
		if _, err := c.conn.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
