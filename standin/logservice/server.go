// Package logservice is a stand-in for the platform's log service: append-only streams over HTTP, in memory, with
// retention and with faults that are switched at run time.
//
//	POST /v1/streams/{stream}/records                                  body is the record
//	GET  /v1/streams/{stream}/records?from=N&limit_bytes=B&wait_ms=W   long poll
//	POST /faults                                                       see Faults
//	GET  /stats                                                        see Stats
package logservice

import (
	"context"
	"net"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// Limits of the service.
const (
	// MaxRecordBytes is the largest record.
	MaxRecordBytes = 4 << 20
	// MaxWait is the longest time that a read waits.
	MaxWait = time.Minute
	// MaxStreams is the largest number of streams.
	MaxStreams = 64
	// defaultLimitBytes applies to reads that state no limit.
	defaultLimitBytes = 1 << 20
	// expireInterval is the time between two checks of the retention by age.
	expireInterval = 50 * time.Millisecond
	// shutdownTimeout limits the wait for requests in flight.
	shutdownTimeout = time.Second
)

// streamName is the form of a stream's name.
var streamName = regexp.MustCompile(`^[a-z0-9-]{1,64}$`)

// Settings control retention.
type Settings struct {
	// RetentionRecords is the number of records that a stream keeps; 0 keeps all.
	RetentionRecords int
	// Retention is how long a record is kept; 0 keeps it for ever.
	Retention time.Duration
}

// Stats are the totals since the start.
type Stats struct {
	Requests      int64 `json:"requests"`
	BytesRead     int64 `json:"bytes_read"`
	BytesAppended int64 `json:"bytes_appended"`
	// Appends counts the records ever stored, by stream.
	Appends map[string]int64 `json:"appends"`
}

// Server is one log service.
type Server struct {
	settings Settings
	hertz    *server.Hertz
	stop     chan struct{}
	stopped  sync.Once

	mu      sync.Mutex
	streams map[string]*stream

	faults                             faults
	requests, bytesRead, bytesAppended atomic.Int64
}

// New returns a server on the listener.
func New(l net.Listener, settings Settings) *Server {
	s := &Server{settings: settings, stop: make(chan struct{}), streams: map[string]*stream{}}
	s.hertz = server.New(
		server.WithListener(l),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(MaxRecordBytes),
		server.WithExitWaitTime(shutdownTimeout),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
	)
	s.hertz.POST("/v1/streams/:stream/records", s.handleAppend)
	s.hertz.GET("/v1/streams/:stream/records", s.handleRead)
	s.hertz.POST("/faults", s.handleFaults)
	s.hertz.GET("/stats", s.handleStats)
	return s
}

// Run serves requests until Close.
func (s *Server) Run() error {
	if s.settings.Retention > 0 {
		go s.expire()
	}
	return s.hertz.Run()
}

// Spin serves requests until the process gets a termination signal.
func (s *Server) Spin() {
	if s.settings.Retention > 0 {
		go s.expire()
	}
	s.hertz.Spin()
}

// Close stops the server; reads that wait end at once.
func (s *Server) Close() error {
	s.stopped.Do(func() { close(s.stop) })
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return s.hertz.Shutdown(ctx)
}

// Stats returns the totals.
func (s *Server) Stats() Stats {
	out := Stats{
		Requests: s.requests.Load(), BytesRead: s.bytesRead.Load(), BytesAppended: s.bytesAppended.Load(),
		Appends: map[string]int64{},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, st := range s.streams {
		out.Appends[name] = st.appended()
	}
	return out
}

// stream returns a stream, which exists as soon as it is named; nil if the name is invalid or there are too many.
func (s *Server) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.streams[name]; st != nil {
		return st
	}
	if !streamName.MatchString(name) || len(s.streams) >= MaxStreams {
		return nil
	}
	s.streams[name] = newStream()
	return s.streams[name]
}

// expire applies the retention by age until the server stops.
func (s *Server) expire() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.expireBefore(now.Add(-s.settings.Retention))
		}
	}
}

func (s *Server) expireBefore(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		st.expire(t)
	}
}
