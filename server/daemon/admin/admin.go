// Package admin serves metrics, the state dump, health and the log level of one process on a loopback address.
package admin

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"net"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"wagtailford.example/server/daemon/logging"
	"wagtailford.example/server/transport/httpserver"
)

// DumpMaxBytes bounds the state dump. It leaves room for the rest of a message of 4 MiB, which is the default limit between nodes
// and of gRPC clients.
const DumpMaxBytes = 4<<20 - 64<<10

// Deps are what the endpoints read.
type Deps struct {
	// Dump returns the state of the process as JSON.
	Dump func() ([]byte, error)
	// Ready reports whether the node accepts requests.
	Ready func() bool
	// Convergence returns how long recent versions took to be in force here, as JSON.
	Convergence func() any
	// Profile is true if profiles of the process are served.
	Profile bool
}

// New returns a server on the listener. It is not started.
func New(l net.Listener, limits httpserver.Limits, deps Deps) *server.Hertz {
	h := httpserver.New(l, limits)
	h.GET("/debug/vars", vars)
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(consts.StatusOK) })
	h.GET("/readyz", func(_ context.Context, c *app.RequestContext) { ready(c, deps.Ready()) })
	h.GET("/dump", func(_ context.Context, c *app.RequestContext) { dump(c, deps.Dump) })
	h.GET("/convergence", func(_ context.Context, c *app.RequestContext) { c.JSON(consts.StatusOK, deps.Convergence()) })
	h.GET("/loglevel", showLevel)
	h.PUT("/loglevel", setLevel)
	if deps.Profile {
		h.GET("/profile/cpu", cpuProfile)
		h.GET("/profile/:name", namedProfile)
	}
	return h
}

// vars writes every expvar variable in the format of the standard handler.
func vars(_ context.Context, c *app.RequestContext) {
	var body bytes.Buffer
	body.WriteString("{")
	first := true
	expvar.Do(func(kv expvar.KeyValue) {
		if !first {
			body.WriteString(",")
		}
		first = false
		fmt.Fprintf(&body, "\n%q: %s", kv.Key, kv.Value)
	})
	body.WriteString("\n}\n")
	c.Data(consts.StatusOK, consts.MIMEApplicationJSON, body.Bytes())
}

func ready(c *app.RequestContext, ok bool) {
	if ok {
		c.String(consts.StatusOK, "ready\n")
		return
	}
	c.String(consts.StatusServiceUnavailable, "not ready\n")
}

func dump(c *app.RequestContext, f func() ([]byte, error)) {
	data, err := f()
	if err != nil {
		c.String(consts.StatusInternalServerError, "%v\n", err)
		return
	}
	c.Data(consts.StatusOK, consts.MIMEApplicationJSON, data)
}

func showLevel(_ context.Context, c *app.RequestContext) {
	c.String(consts.StatusOK, "%s\n", logging.Level())
}

// setLevel changes the log level at run time; the body is the name of the level.
func setLevel(_ context.Context, c *app.RequestContext) {
	level, err := log.ParseLevel(string(bytes.TrimSpace(c.Request.Body())))
	if err != nil || level > log.ErrorLevel {
		c.String(consts.StatusBadRequest, "unknown level: use debug, info, warn or error\n")
		return
	}
	logging.SetLevel(level)
	c.String(consts.StatusOK, "%s\n", level)
}
