package daemon

import (
	"strings"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/dispatch"
	"wagtailford.example/server/protocol/outcome"
)

// observer writes a log line for each decision on a request.
type observer struct {
	logger log.Interface
	node   string
}

func newObserver(logger log.Interface, node string) *observer {
	return &observer{logger: logger, node: node}
}

// request logs how a request ended and what decided it. Requests that were answered at the first attempt are logged at
// a lower level than all others.
func (o *observer) request(t *dispatch.Trace) {
	fields := log.Fields{
		"event": "request", "request": t.Request.ID, "route": t.Route, "service": t.Service, "version": t.Version,
		"outcome": t.Result.Outcome.String(), "took_ms": t.Took.Milliseconds(),
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
	entry := o.logger.WithFields(fields)
	if t.Result.Outcome == outcome.Answered && t.Result.Status < 500 && len(t.Attempts) == 1 {
		entry.Debug("request answered")
		return
	}
	entry.Info("request ended")
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
