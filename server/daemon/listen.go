package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"wagtailford.example/server/coordination/operator"
	"wagtailford.example/server/daemon/admin"
	"wagtailford.example/server/daemon/settings"
	"wagtailford.example/server/protocol/platformlog"
	"wagtailford.example/server/transport/httpserver"
)

const (
	// adminConnectionsMax and operatorStreamsMax limit what operators and monitoring open.
	adminConnectionsMax   = 64
	operatorStreamsMax    = 64
	operatorMessageMax    = 4 << 20
	operatorParallelCalls = 32
	operatorCallTimeout   = 2 * time.Second
	// operatorHandshakeTimeout limits how long a connection without a handshake can delay the end of the process.
	operatorHandshakeTimeout = 5 * time.Second
	// operatorVerdictTimeout covers a version that takes the 6 s that convergence may take.
	operatorVerdictTimeout = 8 * time.Second
	operatorConnectionIdle = 5 * time.Minute
	// writeTimeout limits the writing of an HTTP response.
	writeTimeout = 30 * time.Second
)

// listeners are the open listeners of a daemon and the servers on them.
type listeners struct {
	peer, ingress, operator, announce, admin, ready net.Listener

	// tracked are the listeners of the HTTP servers.
	tracked []*trackedListener
	http    []*server.Hertz
	grpc    *grpc.Server
}

func (d *Daemon) openListeners() error {
	d.listeners = &listeners{}
	return d.listeners.openAll(d.settings.Listen)
}

// openAll opens the listeners that have an address.
func (l *listeners) openAll(addresses settings.Listen) error {
	for _, item := range []struct {
		name, address string
		listener      *net.Listener
	}{
		{"peer", addresses.Peer, &l.peer},
		{"ingress", addresses.Ingress, &l.ingress},
		{"operator", addresses.Operator, &l.operator},
		{"announce", addresses.Announce, &l.announce},
		{"admin", addresses.Admin, &l.admin},
		{"ready", addresses.Ready, &l.ready},
	} {
		if item.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", item.address)
		if err != nil {
			return fmt.Errorf("listen on %s address: %w", item.name, err)
		}
		*item.listener = listener
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.peer, l.ingress, l.operator, l.announce, l.admin, l.ready} {
		if listener != nil {
			listener.Close()
		}
	}
}

// track wraps the listener of an HTTP server.
func (l *listeners) track(listener net.Listener) net.Listener {
	t := track(listener)
	l.tracked = append(l.tracked, t)
	return t
}

// finishOperators refuses new calls of operators and waits for those in progress until the end of ctx.
func (l *listeners) finishOperators(ctx context.Context) error {
	if l.grpc == nil {
		return nil
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		l.grpc.GracefulStop()
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		l.grpc.Stop()
		return ctx.Err()
	}
}

// shutdown stops the HTTP servers, all at the same time, since each waits for its connections. The peer listener is
// closed last, since other nodes ask for outcomes through it.
func (l *listeners) shutdown(ctx context.Context) {
	var wg sync.WaitGroup
	for _, h := range l.http {
		wg.Go(func() { _ = h.Shutdown(ctx) })
	}
	for _, t := range l.tracked {
		t.endReads()
	}
	wg.Wait()
	l.close()
}

func (c *core) httpLimits() httpserver.Limits {
	return httpserver.Limits{
		BodyMaxBytes:    int(c.settings.Limits.BodyMax),
		HeaderMaxBytes:  int(c.settings.Limits.HeaderMax),
		ConnectionsMax:  c.settings.Limits.ConnectionsMax,
		ReadTimeout:     c.settings.Limits.ReadTimeout,
		UploadRateMin:   int(c.settings.Limits.UploadRateMin),
		UploadWindow:    c.settings.Limits.UploadWindow,
		WriteTimeout:    writeTimeout,
		IdleTimeout:     c.settings.Limits.IdleTimeout,
		ShutdownTimeout: c.settings.Node.ShutdownTimeout,
	}
}

// runner starts servers and reports the first failure of one.
type runner struct {
	ctx    context.Context
	failed chan error
}

func newRunner(ctx context.Context) *runner { return &runner{ctx: ctx, failed: make(chan error, 1)} }

func (r *runner) run(name string, f func() error) {
	go func() {
		err := f()
		if err == nil || r.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		select {
		case r.failed <- fmt.Errorf("%s: %w", name, err):
		default:
		}
	}()
}

// serve starts every server and returns a channel that receives the first failure.
func (d *Daemon) serve(ctx context.Context) <-chan error {
	r := newRunner(ctx)
	ingressServer := httpserver.New(d.listeners.track(d.listeners.ingress), d.httpLimits())
	d.ingress.Register(ingressServer)
	local := d.httpLimits()
	local.ConnectionsMax = adminConnectionsMax
	announceServer := httpserver.New(d.listeners.track(d.listeners.announce), local)
	d.announce.Register(announceServer)
	adminServer := admin.New(d.listeners.track(d.listeners.admin), local, admin.Deps{
		Dump:        d.dump,
		Ready:       func() bool { return d.control.View().Ready },
		Convergence: func() any { return d.control.Installs() },
		Profile:     d.settings.Listen.Profile,
	})
	d.listeners.http = []*server.Hertz{ingressServer, announceServer, adminServer}
	r.run("peer listener", func() error { return d.peers.Serve(d.listeners.peer) })
	r.run("ingress listener", ingressServer.Run)
	r.run("announce listener", announceServer.Run)
	r.run("admin listener", adminServer.Run)
	if d.listeners.operator != nil {
		r.run("operator listener", func() error { return d.listeners.grpc.Serve(d.listeners.operator) })
	}
	return r.failed
}

// buildOperator sets up the service for operators, if there is an address for it.
func (d *Daemon) buildOperator() error {
	return d.core.buildOperator(d.listeners, operator.Deps{
		Log: d.log,
		NotAppended: func(err error) bool {
			var notAppended *platformlog.NotAppendedError
			return errors.As(err, &notAppended)
		},
		Drain: d.drainForOperator,
		Dump:  d.dump,
	})
}

// buildOperator sets up the service for operators on their listener, if there is one.
func (c *core) buildOperator(l *listeners, deps operator.Deps) error {
	if l.operator == nil {
		return nil
	}
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(operatorMessageMax),
		grpc.MaxConcurrentStreams(operatorStreamsMax),
		grpc.ConnectionTimeout(operatorHandshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: operatorConnectionIdle}),
		grpc.MaxHeaderListSize(uint32(c.settings.Limits.HeaderMax)),
	}
	if c.settings.Security.OperatorCertFile != "" {
		creds, err := c.operatorCredentials()
		if err != nil {
			return err
		}
		options = append(options, grpc.Creds(creds))
	}
	l.grpc = grpc.NewServer(options...)
	deps.Control = c.control
	deps.Caller = c.controlPool
	operator.New(operator.Settings{
		Node:           c.settings.Node.Name,
		AppendTimeout:  c.settings.Log.AppendTimeout,
		VerdictTimeout: operatorVerdictTimeout,
		CallTimeout:    operatorCallTimeout,
		ParallelCalls:  operatorParallelCalls,
	}, deps).Register(l.grpc)
	return nil
}

// operatorCredentials asks operators for a certificate of the configured authority.
func (c *core) operatorCredentials() (credentials.TransportCredentials, error) {
	s := c.settings.Security
	cert, err := tls.LoadX509KeyPair(s.OperatorCertFile, s.OperatorKeyFile)
	if err != nil {
		return nil, fmt.Errorf("load operator certificate: %w", err)
	}
	pem, err := os.ReadFile(s.OperatorCAFile)
	if err != nil {
		return nil, fmt.Errorf("load operators' certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate", s.OperatorCAFile)
	}
	return credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}), nil
}
