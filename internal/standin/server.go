package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	loopbackAddress   = "127.0.0.1:0"
	readHeaderTimeout = 5 * time.Second
	maxBodyBytes      = 8 << 20
)

// server serves HTTP on loopback. The zero value with a handler can be started.
type server struct {
	handler http.Handler

	serverMu sync.Mutex
	addr     string
	http     *http.Server
	done     chan struct{} // closed when http has stopped serving
}

// Start serves on a free port of 127.0.0.1. After Close it serves on the same
// address as before. It fails if the server is already started.
func (s *server) Start() error {
	s.serverMu.Lock()
	defer s.serverMu.Unlock()
	if s.http != nil {
		return errors.New("standin: already started")
	}
	addr := s.addr
	if addr == "" {
		addr = loopbackAddress
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "standin: listen")
	}
	s.addr = l.Addr().String()
	s.http = &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
	s.done = make(chan struct{})
	go func(srv *http.Server, done chan struct{}) {
		defer close(done)
		_ = srv.Serve(l)
	}(s.http, s.done)
	return nil
}

// StartAt is Start on the given address, IP:PORT.
func (s *server) StartAt(address string) error {
	s.serverMu.Lock()
	s.addr = address
	s.serverMu.Unlock()
	return s.Start()
}

// Close stops listening and closes all connections, as a crashed process does.
func (s *server) Close() {
	s.serverMu.Lock()
	defer s.serverMu.Unlock()
	if s.http == nil {
		return
	}
	s.http.Close()
	<-s.done
	s.http = nil
}

// URL returns the base URL, http://127.0.0.1:PORT, once started.
func (s *server) URL() string {
	s.serverMu.Lock()
	defer s.serverMu.Unlock()
	return "http://" + s.addr
}

// Address returns 127.0.0.1:PORT once started.
func (s *server) Address() string {
	s.serverMu.Lock()
	defer s.serverMu.Unlock()
	return s.addr
}

// abortConnection closes the connection without a response.
func abortConnection() { panic(http.ErrAbortHandler) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func readJSON(r *http.Request, v any) error {
	return json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes)).Decode(v)
}

// Handler returns the server's handler, for use with another listener.
func (s *server) Handler() http.Handler { return s.handler }
