package daemon

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// linkFault is what happens on the open connections to a node, once.
type linkFault int

const (
	noFault linkFault = iota
	// cutBeforeRequest closes the connections while they are idle.
	cutBeforeRequest
	// cutInRequest passes half of the next request on and closes the connection.
	cutInRequest
	// cutAfterRequest passes the next request on and closes the connection.
	cutAfterRequest
	// cutBeforeReply drops the next reply and closes the connection.
	cutBeforeReply
	// cutInReply passes half of the next reply on and closes the connection.
	cutInReply
	// silent drops everything in both directions and leaves the connection open.
	silent
	// replySilent passes requests on and drops everything that comes back.
	replySilent
	// requestHeld keeps requests back until release, also when the sender has given the connection up.
	requestHeld
	// replyHeld keeps replies back until release.
	replyHeld
	// refused closes the connections, and new ones too, until release.
	refused
)

var linkFaults = map[string]linkFault{
	"none": noFault, "cut before the request": cutBeforeRequest, "cut in the request": cutInRequest,
	"cut after the request": cutAfterRequest, "cut before the reply": cutBeforeReply, "cut in the reply": cutInReply,
	"silent": silent, "reply silent": replySilent, "request held": requestHeld,
	"reply held": replyHeld, "refused": refused,
}

// link passes the connections to one node on and disturbs them.
type link struct {
	address string
	node    string

	mu       sync.Mutex
	conns    map[*linkConn]struct{}
	refusing bool
	released chan struct{}
	hits     int
}

type linkConn struct {
	link         *link
	client, node net.Conn
	fault        linkFault
}

// newLink listens in front of the peer address of a node.
func newLink(t *testing.T, node string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &link{address: l.Addr().String(), node: node, conns: make(map[*linkConn]struct{}), released: make(chan struct{})}
	go p.accept(l)
	t.Cleanup(func() {
		l.Close()
		p.release()
		p.closeAll()
	})
	return p
}

func (p *link) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		node, err := net.Dial("tcp", p.node)
		if err != nil {
			client.Close()
			continue
		}
		c := &linkConn{link: p, client: client, node: node}
		p.mu.Lock()
		refusing := p.refusing
		if !refusing {
			p.conns[c] = struct{}{}
		}
		p.mu.Unlock()
		if refusing {
			c.close()
			continue
		}
		go c.copy(client, node, c.disturbRequest)
		go c.copy(node, client, c.disturbReply)
	}
}

// arm sets the fault of the connections that are open now. It reports false if there is none.
func (p *link) arm(f linkFault) bool {
	p.mu.Lock()
	open := len(p.conns)
	for c := range p.conns {
		c.fault = f
	}
	p.refusing = f == refused
	p.mu.Unlock()
	if f == cutBeforeRequest || f == refused {
		p.hit()
		p.closeAll()
	}
	return open > 0
}

// release lets held replies and new connections through.
func (p *link) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.released)
	p.released = make(chan struct{})
	p.refusing = false
	for c := range p.conns {
		if c.fault == replyHeld || c.fault == requestHeld {
			c.fault = noFault
		}
	}
}

func (p *link) closeAll() {
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[*linkConn]struct{})
	p.mu.Unlock()
	for c := range conns {
		c.close()
	}
}

func (p *link) hit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hits++
}

func (p *link) hitCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hits
}

func (c *linkConn) close() {
	c.client.Close()
	c.node.Close()
}

// copy passes on what disturb leaves of each read, until it asks to close.
func (c *linkConn) copy(from, to net.Conn, disturb func([]byte) ([]byte, bool)) {
	defer c.close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		rest, cut := disturb(buffer[:n])
		if _, err := to.Write(rest); err != nil || cut {
			break
		}
	}
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	delete(c.link.conns, c)
}

func (c *linkConn) disturbRequest(data []byte) ([]byte, bool) {
	switch f, released := c.current(); f {
	case requestHeld:
		c.link.hit()
		<-released
	case cutInRequest:
		c.link.hit()
		return data[:len(data)/2], true
	case cutAfterRequest:
		c.link.hit()
		return data, true
	case silent:
		c.link.hit()
		return nil, false
	}
	return data, false
}

func (c *linkConn) disturbReply(data []byte) ([]byte, bool) {
	switch f, released := c.current(); f {
	case cutBeforeReply:
		c.link.hit()
		return nil, true
	case cutInReply:
		c.link.hit()
		return data[:len(data)/2], true
	case silent, replySilent:
		c.link.hit()
		return nil, false
	case replyHeld:
		c.link.hit()
		<-released
	}
	return data, false
}

func (c *linkConn) current() (linkFault, chan struct{}) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.fault, c.link.released
}
