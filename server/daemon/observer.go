package daemon

import (
	"strings"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"wagtailford.example/server/coordination/dispatch"
	"wagtailford.example/server/daemon/logging"
	"wagtailford.example/server/protocol/outcome"
)

// observer writes a log line for each decision on a request.
type observer struct {
	logger  log.Interface
	limiter *rate.Limiter
	// highestOffset returns the highest offset that the node has heard of.
	highestOffset func() uint64
}

func newObserver(logger log.Interface, highestOffset func() uint64) *observer {
	return &observer{
		logger: logger, limiter: rate.NewLimiter(logging.EventMax, logging.EventMax), highestOffset: highestOffset,
	}
}

// Events of a request. They have limits of their own, so that many served requests leave room for those that failed.
const (
	eventServed = "request"
	eventFailed = "request_failed"
)

// request logs how a request ended and what decided it.
func (o *observer) request(t *dispatch.Trace) {
	event := eventFailed
	if t.Result.Outcome == outcome.Answered && t.Result.Status < 500 {
		event = eventServed
	}
	if event == eventServed && !o.served() {
		return
	}
	fields := log.Fields{
		"event": event, "request": t.Request.ID, "route": t.Route, "service": t.Service, "version": t.Version,
		"outcome": t.Result.Outcome.String(), "took_ms": t.Duration.Milliseconds(),
	}
	if t.Result.Reason != outcome.ReasonNone {
		fields["reason"] = string(t.Result.Reason)
	}
	if t.Organisation != "" {
		fields["organisation"] = t.Organisation
	}
	if t.Result.Status != 0 {
		fields["status"] = t.Result.Status
	}
	if t.Result.RetryAfter > 0 {
		fields["retry_after_ms"] = t.Result.RetryAfter.Milliseconds()
	}
	if t.BudgetExhausted {
		fields["budget"] = "exhausted"
	}
	if (t.Result.Reason == outcome.ReasonNoRoute || t.Result.Reason == outcome.ReasonBehind) && t.View != nil {
		o.addLookup(fields, t)
	}
	attempts := make([]string, 0, len(t.Attempts))
	for i := range t.Attempts {
		attempts = append(attempts, t.Attempts[i].String())
	}
	fields["attempts"] = strings.Join(attempts, "; ")
	o.logger.WithFields(fields).Info("request ended")
}

// loggedPathMax limits the bytes of a path in a line.
const loggedPathMax = 512

// addLookup adds what a route was looked up by and in, so that a node that lacks the newest configuration can be told
// from a match that failed.
func (o *observer) addLookup(fields log.Fields, t *dispatch.Trace) {
	v := t.View
	path := t.Request.MatchedPath()
	fields["host"] = t.Request.Host
	fields["path"] = path[:min(len(path), loggedPathMax)]
	fields["path_bytes"] = len(path)
	fields["offset"] = v.Offset
	fields["sequence"] = v.Sequence
	fields["from"] = v.From
	fields["in_force_ms"] = t.Started.Sub(v.Since).Milliseconds()
	fields["routes"] = len(v.Content.Routes)
	fields["newest"] = o.highestOffset()
}

// served reports whether a line about a request that was served would be written. Making one costs more than most of
// what else a node does for a request, so it is asked first.
func (o *observer) served() bool {
	return logging.Level() <= log.InfoLevel && o.limiter.Allow()
}

// dependency logs that something the node depends on was lost or regained.
func (o *observer) dependency(name string, err error) {
	entry := o.logger.WithField("dependency", name)
	if err != nil {
		entry.WithError(err).WithField("event", "dependency_lost").Warn("dependency lost")
		return
	}
	entry.WithField("event", "dependency_regained").Info("dependency regained")
}
