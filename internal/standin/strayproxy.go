package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// StrayProxy is a proxy to a server that sends a response on each connection before a request has
// arrived, and passes those of the server on late.
type StrayProxy struct {
	listener net.Listener
	conns    sync.WaitGroup

	mu     sync.Mutex
	closed bool
	open   []net.Conn
}

// StartStrayProxy starts a proxy on loopback to the server at an address. It sends the stray response
// first, and the server's bytes after the delay. Close stops it. The error is that of net.Listen.
func StartStrayProxy(server, stray string, delay time.Duration) (*StrayProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &StrayProxy{listener: l}
	p.conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", server)
			if err != nil {
				c.Close()
				continue
			}
			if !p.track(c, upstream) {
				return
			}
			_, _ = io.WriteString(c, stray)
			p.conns.Go(func() { _, _ = io.Copy(upstream, c); upstream.Close() })
			p.conns.Go(func() { passOnLate(c, upstream, delay); c.Close() })
		}
	})
	return p, nil
}

// track has Close close the connections. If it has been called, track closes them and reports false.
func (p *StrayProxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = append(p.open, conns...)
	if p.closed {
		for _, c := range conns {
			c.Close()
		}
	}
	return !p.closed
}

// passOnLate copies bytes, each part after the delay, until one side ends.
func passOnLate(to io.Writer, from io.Reader, delay time.Duration) {
	buffer := make([]byte, 8<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(delay)
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// Address returns the address of the proxy, IP:PORT.
func (p *StrayProxy) Address() string { return p.listener.Addr().String() }

// Close closes all connections and waits for their end.
func (p *StrayProxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for _, c := range p.open {
		c.Close()
	}
	p.mu.Unlock()
	p.conns.Wait()
}
