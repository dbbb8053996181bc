package execute

import (
	"context"
	"time"

	"wagtailford.example/server/coordination/admission"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/suspect"
)

// admissionArrival converts a request for admission control.
func admissionArrival(r *wire.Request, deadline time.Time) admission.Arrival {
	a := admission.Arrival{
		Deadline: deadline, Kind: r.Kind, Priority: r.Priority, CrossDomain: r.Far, BodyFetched: r.BodyBytes > 0,
		Late: r.Late, Nested: r.Nested, MaxWait: time.Duration(r.MaxWaitMS) * time.Millisecond,
		Organisation: r.Organisation, OrganisationPriority: r.OrganisationPriority,
	}
	if r.ObjectiveMS > 0 {
		a.Due = deadline.Add(time.Duration(r.ObjectiveMS-r.TimeoutMS) * time.Millisecond)
	}
	return a
}

// acquireSlot waits for a slot, an exclusive one if the request is suspect. The request is evaluated again once
// the slot is granted: in the meantime, an identical request may have crashed a target or have run to its end.
func (e *Executor) acquireSlot(
	ctx context.Context, digest uint64, a admission.Arrival,
) (*admission.Slot, bool, outcome.Reason) {
	standing := e.crashes.standing(digest)
	for {
		if standing == suspect.Blocked {
			e.Counters.SuspectsBlocked.Add(1)
			return nil, false, outcome.ReasonSuspect
		}
		exclusive := standing == suspect.Suspected
		a.Exclusive = exclusive
		slot, reason := e.Gate.Acquire(ctx, a)
		if reason != outcome.ReasonNone {
			return nil, false, reason
		}
		standing = e.crashes.standing(digest)
		if standing != suspect.Blocked && exclusive == (standing == suspect.Suspected) {
			return slot, exclusive, outcome.ReasonNone
		}
		slot.Release(false)
	}
}

// endOf says for admission control how a request ended.
func endOf(request *wire.Request, r *wire.Response) admission.End {
	switch {
	case r.Outcome == outcome.RefusedNotRun:
		return admission.EndNotRun
	case request.Stream != nil:
		return admission.EndUntimed
	case r.Outcome == outcome.Answered:
		return admission.EndAnswered
	}
	switch r.Reason {
	case outcome.ReasonUnanswered:
		return admission.EndUnanswered
	case outcome.ReasonCanceled, outcome.ReasonTargetTimeout, outcome.ReasonAnswerCut, outcome.ReasonAnswerMalformed:
		return admission.EndBroken
	}
	return admission.EndAnswered
}

// rankedArrival returns what admission control needs to know of a request to tell its load.
func rankedArrival(r *wire.Request) admission.Arrival {
	return admission.Arrival{Kind: r.Kind, Organisation: r.Organisation, OrganisationPriority: r.OrganisationPriority}
}
