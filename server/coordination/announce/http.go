package announce

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/route"
)

// PathTarget is the path at which a target announces itself (PUT) and leaves (DELETE).
const PathTarget = "/v1/target"

// reply is the JSON body of a response to a target.
type reply struct {
	Phase   string `json:"phase,omitempty"`
	LeaseMS int64  `json:"lease_ms,omitempty"`
	Error   string `json:"error,omitempty"`
}

// Register adds the routes of the target to a server of package httpserver.
func (a *Announcer) Register(r route.IRoutes) {
	r.PUT(PathTarget, a.put)
	r.DELETE(PathTarget, a.delete)
}

func (a *Announcer) put(_ context.Context, c *app.RequestContext) {
	body := c.Request.Body()
	if len(body) > AnnouncementMaxBytes {
		c.JSON(consts.StatusRequestEntityTooLarge, reply{Error: "announcement is too large"})
		return
	}
	an, err := ParseAnnouncement(body)
	if err != nil {
		c.JSON(consts.StatusBadRequest, reply{Error: err.Error()})
		return
	}
	phase, err := a.Announce(an)
	if err != nil {
		c.JSON(errorStatus(err), reply{Phase: phase.String(), Error: err.Error()})
		return
	}
	c.JSON(consts.StatusOK, reply{Phase: phase.String(), LeaseMS: int64(a.settings.Lease / time.Millisecond)})
}

func errorStatus(err error) int {
	var change *ServiceChangeError
	if errors.As(err, &change) {
		return consts.StatusConflict
	}
	return consts.StatusServiceUnavailable
}

func (a *Announcer) delete(ctx context.Context, c *app.RequestContext) {
	if err := a.Withdraw(ctx); err != nil {
		c.JSON(consts.StatusServiceUnavailable, reply{Phase: a.Lifecycle().Phase.String(), Error: err.Error()})
		return
	}
	c.JSON(consts.StatusOK, reply{Phase: a.Lifecycle().Phase.String()})
}

// Dump is the dumped state of an Announcer.
type Dump struct {
	Phase         string
	Lifecycle     Lifecycle
	Hints         Hints
	Announcements int64
	Expired       int64
	Crashes       int64
	Drains        int64
	HealthFailed  int64
}

// Dump returns the state of the announcer. Its size is bounded by that of an announcement.
func (a *Announcer) Dump() any {
	l := a.Lifecycle()
	return Dump{
		Phase:         l.Phase.String(),
		Lifecycle:     l,
		Hints:         *a.hints.Load(),
		Announcements: a.Counters.Announcements.Load(),
		Expired:       a.Counters.Expired.Load(),
		Crashes:       a.Counters.Crashes.Load(),
		Drains:        a.Counters.Drains.Load(),
		HealthFailed:  a.Counters.HealthFailed.Load(),
	}
}
