package daemon

import (
	"context"
	"errors"

	"wagtailford.example/server/coordination/dispatch"
	"wagtailford.example/server/coordination/operator"
	"wagtailford.example/server/protocol/wire"
)

// Refusals of operators' calls that have no meaning on a platform.
var (
	errPublishedElsewhere = errors.New("configurations are published through the platform's store")
	errDrainsItself       = errors.New("targets of this platform drain by themselves")
)

// readOnlyLog refuses changes: on a platform the operator publishes to the store.
type readOnlyLog struct{}

func (readOnlyLog) Append(context.Context, string, []byte) (uint64, error) {
	return 0, errPublishedElsewhere
}

// buildOperator sets up the service for operators: status, versions, targets, dump and explanations of routes.
func (h *Hosted) buildOperator() error {
	return h.core.buildOperator(h.listeners, operator.Deps{
		Log:         readOnlyLog{},
		NotAppended: func(error) bool { return true },
		Drain:       func(bool) (string, error) { return "", errDrainsItself },
		Dump:        h.dump,

		ExplainRoute: h.ExplainRoute,
	})
}

// ExplainRoute explains how this node would place a request.
func (h *Hosted) ExplainRoute(r *dispatch.ExplainRequest) (e *dispatch.Explanation, status int) {
	e = h.dispatch.Explain(r)
	if e.Refused != nil {
		status = h.platform.CallerStatus(e.Refused)
	}
	return e, status
}

func (h *Hosted) drainForPeer(wire.DrainArgs) (wire.DrainReply, error) {
	return wire.DrainReply{}, errDrainsItself
}
