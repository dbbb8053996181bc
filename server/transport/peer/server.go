package peer

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
)

// Server accepts connections and serves net/rpc methods on them.
type Server struct {
	rpc        *rpc.Server
	credential Credential
	limits     Limits
	counter    Counters

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// NewServer returns a server for the methods registered with r.
func NewServer(r *rpc.Server, credential Credential, limits Limits) *Server {
	return &Server{
		rpc:        r,
		credential: credential,
		limits:     limits,
		conns:      make(map[net.Conn]struct{}),
	}
}

// Counters returns the counters of the server.
func (s *Server) Counters() *Counters { return &s.counter }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if !s.add(conn) {
			s.counter.refused.Add(1)
			conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.limits.MaxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.wg.Done()
}

func (s *Server) serve(conn net.Conn) {
	defer s.remove(conn)
	defer conn.Close()
	if err := acceptHandshake(conn, s.credential, s.limits.HandshakeTimeout); err != nil {
		s.counter.refused.Add(1)
		return
	}
	s.counter.opened.Add(1)
	s.counter.open.Add(1)
	defer s.counter.open.Add(-1)
	s.rpc.ServeCodec(newServerCodec(conn, s.limits, &s.counter))
}

// Close closes every connection and waits for the handlers that serve them. The listener is the caller's to close.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
