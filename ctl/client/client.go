// Package client connects to a daemon's operator listener and classifies the errors of its calls.
package client

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	pb "wagtailford.example/api/wagtailford/v1"
)

// messageMax limits a response, in bytes. The default of 4 MiB ends at about 45,000 routes; a node may have 65,536 in force.
const messageMax = 64 << 20

// Options say how to reach a daemon.
type Options struct {
	// Server is the host:port of the operator listener.
	Server string
	// CertFile, KeyFile and CAFile are PEM files for mutual TLS; empty for a connection without TLS.
	CertFile, KeyFile, CAFile string
}

// Check refuses options that do not fit together.
func (o Options) Check() error {
	set := 0
	for _, file := range []string{o.CertFile, o.KeyFile, o.CAFile} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return errors.New("--cert, --key and --ca go together")
	}
	return nil
}

// Client calls one daemon.
type Client struct {
	Config pb.ConfigServiceClient
	Mesh   pb.MeshServiceClient
	conn   *grpc.ClientConn
}

// New returns a client; the connection is opened by the first call.
func New(options Options) (*Client, error) {
	creds, err := transportCredentials(options)
	if err != nil {
		return nil, err
	}
	conn, err := grpc.NewClient("passthrough:///"+options.Server, grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(messageMax)))
	if err != nil {
		return nil, fmt.Errorf("set up connection to %s: %w", options.Server, err)
	}
	return &Client{
		Config: pb.NewConfigServiceClient(conn),
		Mesh:   pb.NewMeshServiceClient(conn),
		conn:   conn,
	}, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

func transportCredentials(options Options) (credentials.TransportCredentials, error) {
	if options.CertFile == "" && options.KeyFile == "" && options.CAFile == "" {
		return insecure.NewCredentials(), nil
	}
	cert, err := tls.LoadX509KeyPair(options.CertFile, options.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("load operator certificate: %w", err)
	}
	pem, err := os.ReadFile(options.CAFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate", options.CAFile)
	}
	return credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
	}), nil
}
