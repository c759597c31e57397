package main

import (
	"io"
	"net"
	"sync"
)

// proxy is the path to a server. While it is dark, what arrives from a client is dropped and new
// channels get no answer; what the server sent before its end, and the end, still arrive.
type proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	dark   bool
	conns  []net.Conn
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		dark, target := p.dark, p.target
		p.mu.Unlock()
		if dark {
			continue // it hangs
		}
		server, err := net.Dial("tcp", target)
		if err != nil {
			c.Close()
			continue
		}
		go p.toServer(server, c)
		go toClient(c, server)
	}
}

// toServer passes on what a client sends, until the path is dark.
func (p *proxy) toServer(server, c net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := c.Read(buffer)
		p.mu.Lock()
		dark := p.dark
		p.mu.Unlock()
		if !dark {
			if _, writeErr := server.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			server.Close()
			return
		}
	}
}

// toClient passes on what the server sends, and the end of its channel as it comes.
func toClient(c, server net.Conn) {
	_, err := io.Copy(c, server)
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		_ = tcp.CloseWrite()
		return
	}
	c.Close()
}

func (p *proxy) goDark() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dark = true
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}
