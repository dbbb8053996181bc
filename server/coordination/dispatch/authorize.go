package dispatch

import (
	"strings"
	"time"

	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/view"
)

const schemeBearer = "Bearer"

// authorize returns the organisation of a request, which is nil for calls of the local target and on public routes, or the
// refusal of a request without a valid key. If the configuration requires no keys, the field is forwarded like any other.
func (h *Handler) authorize(v *view.View, route *config.Route, r *Request) (*config.Organisation, *Result) {
	if !v.Content.RequiresKeys() {
		for _, value := range r.Authorization {
			r.Headers = append(r.Headers, wire.Header{Name: wire.HeaderAuthorization, Value: value})
		}
		return nil, nil
	}
	isCallOfTarget := r.FromTarget && len(r.Authorization) == 0
	return h.admitOrganisation(v, route, routing.FindOrganisation(v.Content, bearerKey(r.Authorization)), isCallOfTarget)
}

// admitOrganisation returns the organisation of a request, nil if it has none, or the refusal if the route requires one.
func (h *Handler) admitOrganisation(
	v *view.View, route *config.Route, organisation *config.Organisation, isCallOfTarget bool,
) (*config.Organisation, *Result) {
	switch {
	case organisation != nil:
		return organisation, nil
	case route.Public, isCallOfTarget:
		return nil, nil
	case h.isBehind(v):
		// A newer configuration may contain the key.
		return nil, &Result{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonBehind, RetryAfter: behindRetryAfter}
	}
	return nil, &Result{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonUnauthorized}
}

// bearerKey returns the key in the only value of the field; empty if there are several values or another scheme.
func bearerKey(values []string) string {
	if len(values) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if !strings.EqualFold(scheme, schemeBearer) {
		return ""
	}
	return strings.TrimLeft(key, " ")
}

// admitToQuota counts a request of an organisation, or returns the refusal if its quota is used up.
func (h *Handler) admitToQuota(o *config.Organisation) *Result {
	if o == nil || h.deps.Quota == nil {
		return nil
	}
	return quotaResult(h.deps.Quota.Admit(o, time.Now()))
}

// quotaResult returns the refusal of a request that is not admitted to the quota of its organisation.
func quotaResult(admitted bool, retryAfter time.Duration) *Result {
	if admitted {
		return nil
	}
	return &Result{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonQuotaExceeded, RetryAfter: retryAfter}
}
