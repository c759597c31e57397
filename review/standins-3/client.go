package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	attempt string
	status  int
	signed  bool
	body    string
	// complete means that the body has ended as its framing says.
	complete bool
	err      error
	sentAt   time.Time
}

func newAttempt() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// request sends one request on a new channel and reads its answer. deadline is how long the client
// waits. Other headers are lines.
func request(frontend, method, path, body string, deadline time.Duration, lines ...string) answer {
	a := answer{attempt: newAttempt(), sentAt: time.Now()}
	c, err := net.DialTimeout("tcp", frontend, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: guide.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: key-triglav\r\n", method, path, a.attempt, deadline.Milliseconds())
	for _, line := range lines {
		head += line + "\r\n"
	}
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, a.err = io.WriteString(c, head+"\r\n"+body); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.signed = resp.StatusCode, resp.Header.Get("X-Server-Signature") != ""
	raw, err := io.ReadAll(resp.Body)
	a.body, a.err, a.complete = string(raw), err, err == nil
	return a
}

func (a answer) String() string {
	end := "complete"
	switch {
	case errors.Is(a.err, io.ErrUnexpectedEOF):
		end = "cut"
	case a.err != nil:
		end = a.err.Error()
	}
	return fmt.Sprintf("%s status %d, %d bytes, %d events, %s", a.attempt, a.status, len(a.body), strings.Count(a.body, "\n\n"), end)
}
