package admin

import (
	"bytes"
	"context"
	"runtime/pprof"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// Seconds of a processor profile.
const (
	profileSecondsDefault = 5
	profileSecondsMax     = 60
)

// cpuProfile answers a processor profile of the next seconds in the format of pprof; the query "seconds" sets their
// number.
func cpuProfile(ctx context.Context, c *app.RequestContext) {
	seconds, err := strconv.Atoi(c.DefaultQuery("seconds", strconv.Itoa(profileSecondsDefault)))
	if err != nil || seconds < 1 || seconds > profileSecondsMax {
		c.String(consts.StatusBadRequest, "seconds: 1 to %d\n", profileSecondsMax)
		return
	}
	var body bytes.Buffer
	if err := pprof.StartCPUProfile(&body); err != nil {
		c.String(consts.StatusConflict, "%v\n", err)
		return
	}
	select {
	case <-time.After(time.Duration(seconds) * time.Second):
	case <-ctx.Done():
	}
	pprof.StopCPUProfile()
	c.Data(consts.StatusOK, consts.MIMEApplicationOctetStream, body.Bytes())
}

// namedProfile answers a profile of runtime/pprof, such as heap, allocs or goroutine.
func namedProfile(_ context.Context, c *app.RequestContext) {
	p := pprof.Lookup(c.Param("name"))
	if p == nil {
		c.String(consts.StatusNotFound, "no such profile\n")
		return
	}
	var body bytes.Buffer
	if err := p.WriteTo(&body, 0); err != nil {
		c.String(consts.StatusInternalServerError, "%v\n", err)
		return
	}
	c.Data(consts.StatusOK, consts.MIMEApplicationOctetStream, body.Bytes())
}
