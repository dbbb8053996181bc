package announce

import (
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"wagtailford.example/server/coordination/pause"
)

const (
	// pollTimeout limits one poll and one connection attempt.
	pollTimeout = time.Second
	// pollMaxBytes limits the response to a poll.
	pollMaxBytes = 4 << 10
	// unhealthyPolls is the number of consecutive failed polls after which lost requests confirm that the target is down.
	// A single poll can fail because the target is busy.
	unhealthyPolls = 3
)

// Hints holds the latest results of the health and load endpoints. They may be outdated or wrong, so no decision is based
// on them alone.
type Hints struct {
	// Failed is the number of consecutive failed health polls.
	Failed int
	// Load is the number that the load endpoint returned; its unit is defined by the target.
	Load float64
	// Answered and Lost are the results of requests at the time when the polls began to fail.
	Answered int64
	Lost     int64
}

// Next returns the hints after a health poll, and whether the target is marked as down: only if several consecutive polls
// failed while requests were lost and none was answered.
func (h Hints) Next(healthy bool, answered, lost int64) (Hints, bool) {
	if healthy {
		return Hints{Load: h.Load}, false
	}
	if h.Failed == 0 || answered > h.Answered {
		h.Answered = answered
		h.Lost = lost
	}
	h.Failed++
	return h, h.Failed >= unhealthyPolls && answered == h.Answered && lost > h.Lost
}

// poll queries the health and load endpoints until the announcer is closed.
func (a *Announcer) poll() {
	for pause.For(a.stopped, a.settings.HealthInterval) {
		l := a.Lifecycle()
		if l.Phase != Alive {
			continue
		}
		a.pollHealth(l.Announcement)
		a.pollLoad(l.Announcement)
	}
}

func (a *Announcer) pollHealth(an Announcement) {
	if an.HealthPath == "" {
		return
	}
	_, healthy := a.get(an.Address, an.HealthPath)
	answered, lost := a.deps.Runner.Results()
	hints, down := a.hints.Load().Next(healthy, answered, lost)
	a.hints.Store(&hints)
	if !healthy {
		a.Counters.HealthFailed.Add(1)
	}
	if down {
		a.event(EventUnhealthy)
	}
}

func (a *Announcer) pollLoad(an Announcement) {
	if an.LoadPath == "" {
		return
	}
	body, ok := a.get(an.Address, an.LoadPath)
	if !ok {
		return
	}
	load, err := strconv.ParseFloat(strings.TrimSpace(body), 64)
	if err != nil {
		return
	}
	hints := *a.hints.Load()
	hints.Load = load
	a.hints.Store(&hints)
}

// get returns the body and whether the status is 2xx.
func (a *Announcer) get(address, path string) (string, bool) {
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(resp)
	req.Header.SetMethod("GET")
	req.Header.SetHost(address)
	req.Header.SetRequestURI(path)
	if err := a.client.DoAddress(a.stopped, address, req, resp, pollTimeout); err != nil {
		return "", false
	}
	return string(resp.Body()), resp.StatusCode() >= 200 && resp.StatusCode() < 300
}
