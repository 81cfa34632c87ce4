package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to one address. While it is cut, it holds up all bytes in both
// directions without a reset, as a silent partition does. What is held up is delivered after
// the cut, unless its sender has reset the connection by then.
type proxy struct {
	target   string
	listener net.Listener

	mu   sync.Mutex
	cond *sync.Cond
	cut  bool
}

func newProxy(target string) (*proxy, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l}
	p.cond = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// setCut begins or ends the partition.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.cond.Broadcast()
}

// pass waits while the proxy is cut.
func (p *proxy) pass() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.cond.Wait()
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// forward connects a client's connection to the target.
func (p *proxy) forward(c net.Conn) {
	p.pass()
	t, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	closed := &flag{}
	go p.copy(t, c, closed)
	p.copy(c, t, closed)
}

// flag says that one side of a connection was closed.
type flag struct {
	mu  sync.Mutex
	set bool
}

func (f *flag) raise() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set = true
}

func (f *flag) isRaised() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set
}

// copy copies bytes in one direction until one side closes. What is held up when a side closes
// is lost.
func (p *proxy) copy(dst, src net.Conn, closed *flag) {
	defer func() {
		closed.raise()
		_ = dst.Close()
		_ = src.Close()
	}()
	chunks := make(chan []byte, 64)
	go p.read(src, chunks, closed)
	for b := range chunks {
		p.pass()
		if closed.isRaised() {
			return
		}
		if _, err := dst.Write(b); err != nil {
			return
		}
	}
}

// read passes on what arrives from a side until it closes. What a cut holds up then is lost.
func (p *proxy) read(src io.Reader, chunks chan<- []byte, closed *flag) {
	defer close(chunks)
	for {
		b := make([]byte, 32<<10)
		n, err := src.Read(b)
		if n > 0 {
			chunks <- b[:n]
		}
		if err != nil && p.isCut() {
			closed.raise()
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}
