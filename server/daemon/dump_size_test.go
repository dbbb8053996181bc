package daemon

import (
	"net"
	"net/rpc"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/daemon/admin"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/transport/peer"
)

// dumper has a dump of the largest size.
type dumper struct{}

func (dumper) Dump(_ *wire.DumpArgs, reply *wire.DumpReply) error {
	reply.JSON = make([]byte, admin.DumpMaxBytes)
	return nil
}

// Guards against a dump within its bound that no message between nodes can carry, so that the request for it looks like a node
// that is down.
func TestLargestDumpFitsIntoAMessage(t *testing.T) {
	credential := peer.Credential{Cluster: "test", Secret: []byte("0123456789abcdef")}
	methods := rpc.NewServer()
	assert.NilError(t, methods.RegisterName(wire.ServiceControl, dumper{}))
	server := peer.NewServer(methods, credential, peer.DefaultLimits())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(l)
	t.Cleanup(func() {
		l.Close()
		server.Close()
	})
	pool := peer.NewPool(credential, peer.DefaultLimits())
	t.Cleanup(pool.Close)
	var reply wire.DumpReply
	assert.NilError(t, pool.Call(t.Context(), l.Addr().String(), wire.ServiceControl+".Dump", &wire.DumpArgs{}, &reply))
	assert.Equal(t, len(reply.JSON), admin.DumpMaxBytes)
}
