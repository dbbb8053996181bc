package peer

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Parcel is a value with a body.
type Parcel struct {
	Name string
	Body []byte
}

func (p *Parcel) WithoutBody() (value any, body []byte) { return &Parcel{Name: p.Name}, p.Body }

func (p *Parcel) SetBody(body []byte) { p.Body = body }

type carrier struct{}

func (carrier) Return(args, reply *Parcel) error {
	*reply = *args
	return nil
}

// Guards against a body that a later message on the connection overwrites, or that reaches another call.
func TestBodiesStayApart(t *testing.T) {
	r := rpc.NewServer()
	assert.NilError(t, r.RegisterName("Carrier", carrier{}))
	s := NewServer(r, testCredential, testLimits())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go s.Serve(l)
	defer s.Close()
	defer l.Close()
	pool := newTestPool(t, testCredential)
	sizes := []int{0, 1, 100, 5000, 40000, 0, 7, 20000}
	replies := make([]Parcel, 8*len(sizes))
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() {
			args := &Parcel{Name: fmt.Sprint(i), Body: bytes.Repeat([]byte{byte(i)}, sizes[i%len(sizes)])}
			if err := pool.Call(context.Background(), l.Addr().String(), "Carrier.Return", args, &replies[i]); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	for i, reply := range replies {
		assert.Equal(t, reply.Name, fmt.Sprint(i))
		assert.Assert(t, bytes.Equal(reply.Body, bytes.Repeat([]byte{byte(i)}, sizes[i%len(sizes)])), "body of call %d", i)
	}
}
