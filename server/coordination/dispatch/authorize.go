package dispatch

import (
	"slices"
	"strings"
	"time"

	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/view"
)

// keysUnknownRetryAfter is the retry delay returned while the node does not know the history of keys. A starting node learns it from
// another node or the store within a few hundred milliseconds.
const keysUnknownRetryAfter = 300 * time.Millisecond

// authorize returns the organisation of a request, which is nil for calls of the local target and on public routes, or the
// refusal of a request without a valid key. Where keys do not decide, a field without a key is forwarded like any other.
func (h *Handler) authorize(v *view.View, route *config.Route, r *Request) (*config.Organisation, *Result) {
	rule := v.KeyRule()
	if rule == config.KeysIgnored || rule != config.KeysDecide && !carriesKey(r.Authorization) {
		for _, value := range r.Authorization {
			r.Headers = append(r.Headers, wire.Header{Name: wire.HeaderAuthorization, Value: value})
		}
		return nil, nil
	}
	return h.admitOrganisation(v, route, routing.FindOrganisation(v.Content, bearerKey(r.Authorization)), h.isCallOfTarget(r))
}

// isCallOfTarget reports whether a request may be a call that the local target makes for a request that it runs. Callers on its host
// have the same address, so a request without a key is none while the target runs nothing.
func (h *Handler) isCallOfTarget(r *Request) bool {
	return r.FromTarget && len(r.Authorization) == 0 && (h.deps.MayTargetCall == nil || h.deps.MayTargetCall())
}

// admitOrganisation returns the organisation of a request that carries a key or needs one, nil if it needs none, or the refusal.
func (h *Handler) admitOrganisation(
	v *view.View, route *config.Route, organisation *config.Organisation, isCallOfTarget bool,
) (*config.Organisation, *Result) {
	switch {
	case v.KeyRule() == config.KeysUndecided:
		return nil, &Result{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonKeysUnknown, RetryAfter: keysUnknownRetryAfter}
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

// carriesKey reports whether a value of the field has the form of a key.
func carriesKey(values []string) bool {
	return slices.ContainsFunc(values, wire.IsKey)
}

// bearerKey returns the key in the only value of the field; empty if there are several values or another scheme.
func bearerKey(values []string) string {
	if len(values) != 1 {
		return ""
	}
	if !wire.IsKey(values[0]) {
		return ""
	}
	_, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
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
