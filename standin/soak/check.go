package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"wagtailford.example/standin/platform"
)

// check collects what callers saw and compares it with what targets ran.
type check struct {
	mu      sync.Mutex
	ids     int
	calls   map[string]platform.Call
	replies map[string]platform.Reply
	faults  []string
	// past are the runs of targets that have ended.
	past []platform.Run
	// left is when the end of an instance was acknowledged.
	left map[string]time.Time
	// pastArrivals are the arrivals at targets that have ended.
	pastArrivals []platform.Arrival
	// entries say through which node a call was sent, and when its answer had come.
	entries map[string]entry
	// disturbed holds, by node, when its process or a link of it was disturbed.
	disturbed map[int][]span
	// mostOfQuota is the largest number of runs of the organisation in a window.
	mostOfQuota int
}

// faultsMax limits the faults that are kept in words.
const faultsMax = 50

func newCheck() *check {
	return &check{
		calls: make(map[string]platform.Call), replies: make(map[string]platform.Reply), left: make(map[string]time.Time),
		entries: make(map[string]entry), disturbed: make(map[int][]span),
	}
}

// next returns a call with a new id and a body of its own.
func (c *check) next(path string) platform.Call { return c.nextWith(path, "") }

// nextWith returns a call with a new id. Without a body, it gets one of its own.
func (c *check) nextWith(path, body string, headers ...string) platform.Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids++
	id := fmt.Sprintf("q%08d", c.ids)
	if body == "" {
		body = "body of " + id
	}
	call := platform.Call{ID: id, Method: "POST", Host: "shop.example", Path: path, Body: body, Patience: patience, Headers: headers}
	c.calls[id] = call
	return call
}

// seen checks an answer to a call that all configurations allow, and keeps it.
func (c *check) seen(node int, call platform.Call, reply platform.Reply) {
	if reply.Err == nil && reply.Status >= 400 && reply.Status < 500 && !reply.NotRun() {
		c.fault("DENIED", fmt.Sprintf("%s got %d", call.ID, reply.Status))
	}
	c.keep(node, call, reply)
}

// keep checks an answer by itself, except whether the call may be refused, and keeps it.
func (c *check) keep(node int, call platform.Call, reply platform.Reply) {
	if reply.Err == nil && reply.Status == http.StatusOK && !reply.Whole(call) {
		c.fault("MIXED", fmt.Sprintf("%s got %+v", call.ID, reply))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replies[call.ID] = reply
	c.entries[call.ID] = entry{node: node, sent: time.Now().Add(-reply.Took), answered: time.Now()}
}

func (c *check) fault(rule, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.faults) < faultsMax {
		c.faults = append(c.faults, rule+": "+detail)
	}
}

// acknowledged notes that the end of an instance was acknowledged, and ended keeps its runs.
func (c *check) acknowledged(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left[instance] = time.Now()
}

func (c *check) ended(t *platform.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.past = append(c.past, t.Runs()...)
	c.pastArrivals = append(c.pastArrivals, t.Arrivals()...)
}

// end compares the runs with the calls and their answers.
func (c *check) end(runs []platform.Run) {
	count := make(map[string]int)
	for _, run := range runs {
		count[run.RequestID]++
		call, known := c.calls[run.RequestID]
		if !known || run.Path != call.Path || run.Body != call.Body || run.Method != call.Method || run.CallerService != service {
			c.fault("UNASKED", fmt.Sprintf("%+v", run))
		}
		if run.ExpectInstance != run.Instance {
			c.fault("ROUTE", fmt.Sprintf("%s ran at %s, expected %s", run.RequestID, run.Instance, run.ExpectInstance))
		}
		if left, ok := c.left[run.Instance]; ok && run.At.Sub(left) > drainBound {
			c.fault("DRAIN", fmt.Sprintf("%s ran at %s %v after its end was acknowledged", run.RequestID, run.Instance, run.At.Sub(left)))
		}
	}
	for id, n := range count {
		reply, answered := c.replies[id]
		if n > 1 && strings.HasPrefix(c.calls[id].Path, "/write/") {
			c.fault("TWICE", fmt.Sprintf("%s ran %d times", id, n))
		}
		if answered && reply.NotRun() {
			c.fault("REFUSED", fmt.Sprintf("%s ran and got %d", id, reply.Status))
		}
	}
}

func (c *check) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	whole, refused, other := 0, 0, 0
	for id, reply := range c.replies {
		switch {
		case reply.Whole(c.calls[id]):
			whole++
		case reply.NotRun():
			refused++
		default:
			other++
		}
	}
	return fmt.Sprintf("sent=%d answered=%d refused=%d unknown=%d of_quota=%d faults=%d", c.ids, whole, refused, other, c.mostOfQuota, len(c.faults))
}

// sortRuns sorts runs by their beginning.
func sortRuns(runs []platform.Run) {
	slices.SortFunc(runs, func(a, b platform.Run) int { return a.At.Compare(b.At) })
}
