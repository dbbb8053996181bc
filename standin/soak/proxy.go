package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkMode is what a proxy does with the connections that pass it.
type linkMode int32

const (
	linkUp linkMode = iota
	// linkSlow delays every piece by slowDelay.
	linkSlow
	// linkReset resets open connections and new ones.
	linkReset
	// linkSilent swallows everything; connections of that time stay silent for good.
	linkSilent
	// linkOneWay swallows what goes to the server.
	linkOneWay
	linkModes
)

const slowDelay = 30 * time.Millisecond

// proxy forwards connections to a process and disturbs them.
type proxy struct {
	listener net.Listener
	target   atomic.Pointer[string]
	mode     atomic.Int32

	mu    sync.Mutex
	pairs map[*pair]struct{}
}

// pair is one forwarded connection.
type pair struct {
	client, server net.Conn
	silent         atomic.Bool
}

func startProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, pairs: make(map[*pair]struct{})}
	p.target.Store(&target)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode for open connections and new ones.
func (p *proxy) set(mode linkMode) {
	p.mode.Store(int32(mode))
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		switch mode {
		case linkReset:
			c.reset()
		case linkSilent:
			c.silent.Store(true)
		}
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.set(linkReset)
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	c := &pair{client: client}
	mode := linkMode(p.mode.Load())
	if mode == linkReset {
		c.reset()
		return
	}
	server, err := net.DialTimeout("tcp", *p.target.Load(), time.Second)
	if err != nil {
		c.reset()
		return
	}
	c.server = server
	c.silent.Store(mode == linkSilent)
	p.mu.Lock()
	p.pairs[c] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(c, server, client, true) })
	wg.Go(func() { p.copy(c, client, server, false) })
	wg.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	client.Close()
	server.Close()
}

func (p *proxy) copy(c *pair, to, from net.Conn, up bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		mode := linkMode(p.mode.Load())
		if mode == linkSlow {
			time.Sleep(slowDelay)
		}
		swallowed := c.silent.Load() || (mode == linkOneWay && up)
		if n > 0 && !swallowed {
			if _, werr := to.Write(buf[:n]); werr != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && !swallowed {
				tcp.CloseWrite()
			}
			return
		}
	}
}

func (c *pair) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
			tcp.Close()
		}
	}
}
