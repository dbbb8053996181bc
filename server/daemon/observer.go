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
}

func newObserver(logger log.Interface) *observer {
	return &observer{logger: logger, limiter: rate.NewLimiter(logging.EventMax, logging.EventMax)}
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
	if t.Result.Status != 0 {
		fields["status"] = t.Result.Status
	}
	if t.Result.RetryAfter > 0 {
		fields["retry_after_ms"] = t.Result.RetryAfter.Milliseconds()
	}
	if t.BudgetExhausted {
		fields["budget"] = "exhausted"
	}
	attempts := make([]string, 0, len(t.Attempts))
	for i := range t.Attempts {
		attempts = append(attempts, t.Attempts[i].String())
	}
	fields["attempts"] = strings.Join(attempts, "; ")
	o.logger.WithFields(fields).Info("request ended")
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
