package execute

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/ratelimit"
)

// Notice is what a target says of itself in a response.
type Notice struct {
	// Limited is true if the response names the rate of requests that the target takes from all nodes together: PerSecond,
	// in requests per second, 0 or more.
	Limited   bool
	PerSecond float64
	// Unreadable is a stated limit that cannot be read; empty if there is none.
	Unreadable string
	// Leaving is true if the target takes no more requests.
	Leaving bool
}

// Sources of what is known of a limit, as logged.
const (
	sourceResponse    = "response"
	sourceHealthCheck = "health_check"
	// sourceSender is another node that stated the limit with a request.
	sourceSender = "sender"
)

const (
	// publishedChangeMin is the relative change from which a limit is published again in the directory entry of the node.
	publishedChangeMin = 0.1
	// publishedIntervalMin is the shortest time between two publications. Other nodes learn a limit with each response, so
	// the entry serves operators only.
	publishedIntervalMin = time.Second
)

// statedAgeMax bounds the age of a limit that another node states, so that it can be subtracted from a time.
const statedAgeMax = time.Hour

// ConditionCounters count what a target stated of itself.
type ConditionCounters struct {
	// LimitChanges counts changes of the limit, LimitsAdopted those that another node stated with a request.
	LimitChanges, LimitsAdopted atomic.Int64
	// LimitsUnreadable counts responses with a limit that cannot be read, LeavingStated targets that said that they leave.
	LimitsUnreadable, LeavingStated atomic.Int64
}

// condition is what the target beside the node has stated of itself in its responses.
type condition struct {
	mu sync.Mutex
	// start identifies the process of the target that all of this is about.
	start string
	known ratelimit.Known
	// own is true once the target itself has stated whether it has a limit. Until then, the statements of other nodes count.
	own     bool
	leaving bool
	// unreadableLogged is true once an unreadable limit of this process was logged.
	unreadableLogged bool
	published        float64
	publishedAt      time.Time
	// publishLater is true while a publication is scheduled.
	publishLater bool
}

// resetCondition forgets what was stated by another process than the one that starts is about.
func (e *Executor) resetCondition(start string) {
	c := &e.condition
	c.mu.Lock()
	wasLimited := c.known.Limited && c.start != start
	if c.start != start {
		c.start, c.known, c.own, c.leaving, c.unreadableLogged = start, ratelimit.Known{}, false, false, false
	}
	if wasLimited {
		// Under the lock, as in changeLimit.
		e.Gate.SetLimit(ratelimit.Known{})
	}
	c.mu.Unlock()
	if wasLimited {
		e.publishLimit()
	}
}

// observeNotice takes over what a response of the target says. served is true if the response shows that the target takes
// requests: only then does the lack of a limit say that there is none.
func (e *Executor) observeNotice(t Target, request string, n Notice, sent time.Time, served bool) {
	now := time.Now()
	if n.Unreadable != "" {
		e.reportUnreadable(t, request, n.Unreadable)
	}
	if n.Limited || (served && n.Unreadable == "") {
		statement := ratelimit.Statement{Limited: n.Limited, PerSecond: n.PerSecond, Sent: sent, Received: now}
		e.changeLimit(t.Start, request, sourceResponse, func(c *condition) {
			c.known = c.known.Observe(statement)
			c.own = true
		})
	}
	if n.Leaving {
		e.reportLeaving(t, request)
	}
}

// adoptLimit takes over the limit that another node has stated with a request, as long as the target itself has stated
// none to this process.
func (e *Executor) adoptLimit(r *wire.Request) {
	if r.KnownLimit == nil || !ratelimit.IsRate(r.KnownLimit.PerSecond) {
		return
	}
	stated := *r.KnownLimit
	age := time.Duration(min(max(stated.AgeMS, 0), statedAgeMax.Milliseconds())) * time.Millisecond
	confirmed := time.Now().Add(-age)
	e.changeLimit(stated.Target, r.RequestID, sourceSender, func(c *condition) {
		if c.own || (c.known.Limited && !confirmed.After(c.known.Confirmed)) {
			return
		}
		c.known = ratelimit.Known{Limited: true, PerSecond: stated.PerSecond, Confirmed: confirmed}
	})
}

// changeLimit applies a change to what is known of the limit of one process of the target.
func (e *Executor) changeLimit(start, request, source string, change func(*condition)) {
	c := &e.condition
	c.mu.Lock()
	if c.start != start {
		c.mu.Unlock()
		return
	}
	before := c.known
	change(c)
	after := c.known
	if !after.Same(before) {
		// Under the lock, so that the limits come in force in the order in which they were stated.
		e.Gate.SetLimit(after)
	}
	c.mu.Unlock()
	if after.Same(before) {
		return
	}
	e.Conditions.LimitChanges.Add(1)
	if source == sourceSender {
		e.Conditions.LimitsAdopted.Add(1)
	}
	target := e.Target()
	e.deps.Log.WithFields(log.Fields{
		"event": "target_limit", "instance": target.Instance, "start": start, "request": request, "source": source,
		"old_per_s": before.PerSecond, "new_per_s": after.PerSecond, "limited": after.Limited, "in_use": e.Gate.InUse.Load(),
	}).Info("limit of the target changed")
	e.publishLimit()
}

// reportUnreadable logs the first unreadable limit of a process of the target. The limit in force stays.
func (e *Executor) reportUnreadable(t Target, request, value string) {
	e.Conditions.LimitsUnreadable.Add(1)
	c := &e.condition
	c.mu.Lock()
	first := c.start == t.Start && !c.unreadableLogged
	c.unreadableLogged = c.unreadableLogged || first
	c.mu.Unlock()
	if first {
		e.deps.Log.WithFields(log.Fields{
			"event": "target_limit_unreadable", "instance": t.Instance, "request": request, "value": value,
		}).Warn("stated limit of the target cannot be read")
	}
}

// reportLeaving passes on once that the target said that it leaves. When it returns, no new request is sent to the target.
func (e *Executor) reportLeaving(t Target, request string) {
	c := &e.condition
	c.mu.Lock()
	first := c.start == t.Start && !c.leaving
	c.leaving = c.leaving || first
	c.mu.Unlock()
	if !first {
		return
	}
	e.Conditions.LeavingStated.Add(1)
	if e.deps.OnLeaving != nil {
		e.deps.OnLeaving(t.Start, request)
	}
}

// targetState returns what the target has stated, for the nodes that send requests to it; nil if nothing restricts them.
func (e *Executor) targetState(limitWait time.Duration) *wire.TargetState {
	c := &e.condition
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known.Limited && !c.leaving {
		return nil
	}
	return &wire.TargetState{
		Target: c.start, Limited: c.known.Limited, PerSecond: c.known.PerSecond, LimitWaitMS: limitWait.Milliseconds(),
		Leaving: c.leaving,
	}
}

// publishLimit publishes the limit in the directory entry of the node, for operators.
func (e *Executor) publishLimit() {
	value, due := e.limitToPublish()
	if due {
		e.deps.UpdateSelf(func(entry *endpoint.Entry) { entry.LimitPerSecond = value })
	}
}

// limitToPublish returns the limit if it is to be published now. One that is to be published later is scheduled.
func (e *Executor) limitToPublish() (value float64, due bool) {
	c := &e.condition
	c.mu.Lock()
	defer c.mu.Unlock()
	value = endpoint.NoLimit
	if c.known.Limited {
		value = max(c.known.PerSecond, ratelimit.RateMin)
	}
	if c.publishLater || !isPublishedAgain(c.published, value) {
		return value, false
	}
	if wait := time.Until(c.publishedAt.Add(publishedIntervalMin)); wait > 0 {
		c.publishLater = true
		time.AfterFunc(wait, func() {
			c.mu.Lock()
			c.publishLater = false
			c.mu.Unlock()
			e.publishLimit()
		})
		return value, false
	}
	c.published, c.publishedAt = value, time.Now()
	return value, true
}

// isPublishedAgain reports whether a limit differs enough from the published one.
func isPublishedAgain(published, value float64) bool {
	if (published == endpoint.NoLimit) != (value == endpoint.NoLimit) {
		return true
	}
	return max(published, value)-min(published, value) > publishedChangeMin*max(published, value)
}

// ConditionDump is the dumped state of what the target has stated.
type ConditionDump struct {
	// Limited is true while a limit is in force, PerSecond is the limit, LimitWaitMS the time until a request that arrives
	// now would pass it.
	Limited     bool
	PerSecond   float64
	LimitWaitMS int64
	// ConfirmedMSAgo is how long ago the latest response confirmed the limit. FromTarget is false if only other nodes have
	// stated it to this process.
	ConfirmedMSAgo   int64
	FromTarget       bool
	StatesLeaving    bool
	LimitChanges     int64
	LimitsAdopted    int64
	LimitsUnreadable int64
	LeavingStated    int64
}

func (e *Executor) dumpCondition() ConditionDump {
	wait := e.Gate.Load(0).LimitWait
	c := &e.condition
	c.mu.Lock()
	defer c.mu.Unlock()
	d := ConditionDump{
		Limited: c.known.Limited, PerSecond: c.known.PerSecond, LimitWaitMS: wait.Milliseconds(), FromTarget: c.own,
		StatesLeaving: c.leaving, LimitChanges: e.Conditions.LimitChanges.Load(), LimitsAdopted: e.Conditions.LimitsAdopted.Load(),
		LimitsUnreadable: e.Conditions.LimitsUnreadable.Load(), LeavingStated: e.Conditions.LeavingStated.Load(),
	}
	if c.known.Limited {
		d.ConfirmedMSAgo = time.Since(c.known.Confirmed).Milliseconds()
	}
	return d
}
