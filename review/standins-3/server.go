package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// server is one server of a service. It writes a line to standard output for each request that it
// runs: "run UNIX_MICROSECONDS ATTEMPT".
type server struct {
	id      string
	born    int64
	work    time.Duration
	slots   int
	events  int
	pause   time.Duration
	framing string
	version string
	started time.Time
	warmUp  time.Duration
	// leaving is set by a line on standard input.
	leaving atomic.Bool
	active  atomic.Int64
}

// serve runs a server until it is killed or its standard input ends.
func serve(args []string) {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	s := &server{started: time.Now()}
	address := flags.String("address", "", "IP:PORT")
	flags.StringVar(&s.id, "id", "", "instance id")
	flags.Int64Var(&s.born, "born", 0, "start in Unix milliseconds")
	flags.DurationVar(&s.work, "work", 0, "time of a request")
	flags.IntVar(&s.slots, "slots", 8, "requests at once")
	flags.IntVar(&s.events, "events", 0, "events of a stream; 0 for plain responses")
	flags.DurationVar(&s.pause, "pause", 0, "time between two events, or between the halves of a plain body")
	flags.StringVar(&s.framing, "framing", "length", "length, chunked or close")
	flags.StringVar(&s.version, "version", "v1", "software version, which the events of streams name")
	flags.DurationVar(&s.warmUp, "warmup", 0, "time for which the server is cold")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Println("failed", err)
		os.Exit(1)
	}
	fmt.Println("ready")
	go func() {
		lines := bufio.NewScanner(os.Stdin)
		for lines.Scan() {
			s.leaving.Store(true)
		}
		os.Exit(0)
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(1)
		}
		go s.serveConn(c)
	}
}

func (s *server) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !s.respond(c, req, body) {
			return
		}
	}
}

// respond answers one request and reports whether the channel stays open.
func (s *server) respond(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Attempt-Id")
	named := ""
	if id != "" {
		named = "X-Attempt-Id: " + id + "\r\n"
	}
	if s.leaving.Load() {
		named += "Server-Leaving: 1\r\n"
	}
	load := fmt.Sprintf("X-Server-Load: %d,0,%d\r\n", s.active.Load(), s.slots)
	if expected := req.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
		return send(c, "HTTP/1.1 421 Misdirected Request\r\n"+named+"X-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n")
	}
	switch req.URL.Path {
	case "/healthz":
		cold := max(0, s.warmUp-time.Since(s.started)).Milliseconds()
		return send(c, "HTTP/1.1 200 OK\r\n"+named+load+"X-Instance-Id: "+s.id+"\r\nX-Warmup-Ms: "+strconv.FormatInt(cold, 10)+"\r\nContent-Length: 0\r\n\r\n")
	case "/report":
		report := fmt.Sprintf(`{"stage":"combined","models":[{"name":"m","version":1,"adapter_ids":[]}],"busy":false,"sequence":0,"queued":0,"active":%d,"kv_used":0,"kv_total":90000,"handles":0,"born":%d}`, s.active.Load(), s.born)
		return send(c, "HTTP/1.1 200 OK\r\n"+named+load+"Content-Type: application/json\r\nContent-Length: "+strconv.Itoa(len(report))+"\r\n\r\n"+report)
	}
	if s.active.Add(1) > int64(s.slots) {
		s.active.Add(-1)
		return send(c, "HTTP/1.1 503 Service Unavailable\r\n"+named+load+"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	defer s.active.Add(-1)
	fmt.Printf("run %d %s %d %s\n", time.Now().UnixMicro(), id, len(body), req.Header.Get("Last-Event-Id"))
	time.Sleep(s.work)
	head := "HTTP/1.1 200 OK\r\n" + named + load + "X-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
	if s.events > 0 {
		return s.stream(c, req, head+"Content-Type: text/event-stream\r\n")
	}
	return s.plain(c, id, head)
}

// plainBody is the body of a plain response.
func plainBody(id string) string { return strings.Repeat("answer to "+id+". ", 40) }

// plain sends a plain response, in two halves if there is a pause.
func (s *server) plain(c net.Conn, id, head string) bool {
	body := plainBody(id)
	if s.framing != "close" {
		return send(c, head+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	}
	if !send(c, head+"\r\n"+body[:len(body)/2]) {
		return false
	}
	time.Sleep(s.pause)
	send(c, body[len(body)/2:])
	return false
}

// stream sends the events of a stream.
func (s *server) stream(c net.Conn, req *http.Request, head string) bool {
	if s.framing == "chunked" {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if !send(c, head+"\r\n") {
		return false
	}
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= s.events; i++ {
		time.Sleep(s.pause)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s by %s\n\n", i, i, req.Header.Get("X-Attempt-Id"), s.version)
		if s.framing == "chunked" {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if !send(c, event) {
			return false
		}
	}
	if s.framing == "chunked" {
		return send(c, "0\r\n\r\n")
	}
	return false
}

func send(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
