package main

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Proxy forwards connections to a target. While it is silent, it passes nothing on in either
// direction and closes nothing, as a partition does.
type Proxy struct {
	Address string
	target  string
	silent  atomic.Bool
}

func startProxy(target string) (*Proxy, error) {
	l, err := listen("127.0.0.1")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

func (p *Proxy) forward(c net.Conn) {
	defer c.Close()
	p.awaitSound()
	t, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer t.Close()
	ended := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			p.awaitSound()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				if err == io.EOF {
					if tcp, ok := to.(*net.TCPConn); ok {
						_ = tcp.CloseWrite()
					}
				}
				break
			}
		}
		ended <- struct{}{}
	}
	go pass(t, c)
	go pass(c, t)
	<-ended
	<-ended
}

func (p *Proxy) awaitSound() {
	for p.silent.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}
