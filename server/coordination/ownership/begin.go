package ownership

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/idempotency"
)

// Decision is the result of Begin. Exactly one field is set.
type Decision struct {
	// Finish is set if the request must be run now. It must be called exactly once with the result. If the result is a
	// refusal as not run, the key may be run again; an unknown outcome is recorded.
	Finish func(*wire.Response)
	// Response is the response to give without running the request.
	Response *wire.Response
}

// Run reports whether the request must be run.
func (d Decision) Run() bool { return d.Finish != nil }

// deferredDecision describes a wait after which the decision is made again.
type deferredDecision struct {
	until chan struct{}
	// limit is the maximum wait; 0 means until the deadline of the request.
	limit time.Duration
	// fallback is the response if the wait expires.
	fallback *wire.Response
}

// Digest returns a hash of the content of a request. It detects a key that is used for two different requests.
func Digest(service, method, path string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{service, method, path} {
		d.Write(binary.AppendUvarint(nil, uint64(len(part))))
		d.WriteString(part)
	}
	d.Write(body)
	return d.Sum64()
}

// RequestDigest returns the Digest of a request.
func RequestDigest(r *wire.Request) uint64 {
	return Digest(r.Service, r.Method, r.Path, r.Body)
}

// Begin decides whether to run a request that has a key. It waits, until the deadline of the request or until ctx ends,
// for a running request with the same key or for a join in progress.
func (m *Manager) Begin(ctx context.Context, req *wire.Request) Decision {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMS)*time.Millisecond)
	defer cancel()
	digest := RequestDigest(req)
	joinDeadline := m.deps.Now().Add(m.settings.JoinWait)
	for {
		decision, wait := m.decide(req, digest, joinDeadline)
		if wait == nil {
			return decision
		}
		m.counters.waited.Add(1)
		if !await(ctx, wait) {
			return Decision{Response: wait.fallback}
		}
	}
}

// await returns false if the wait expires or ctx ends first.
func await(ctx context.Context, wait *deferredDecision) bool {
	if wait.limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait.limit)
		defer cancel()
	}
	select {
	case <-wait.until:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *Manager) decide(req *wire.Request, digest uint64, joinDeadline time.Time) (Decision, *deferredDecision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	attempt := idempotency.Attempt{Sender: req.From, ID: req.ID}
	if m.store.IsFenced(now, attempt) {
		m.counters.refusedFenced.Add(1)
		return Decision{Response: refuse(outcome.ReasonFenced)}, nil
	}
	if resp, wait, ok := m.respondFromRecord(now, req, digest); ok {
		return Decision{Response: resp}, wait
	}
	if refusal, ok := checkIssueTime(req.KeyIssuedMS, now.UnixMilli(), m.settings.Rules); !ok {
		if req.KeyFromMesh {
			return Decision{Response: refuse(refusal.Reason)}, nil
		}
		return Decision{Response: &wire.Response{Outcome: refusal.Outcome, Reason: refusal.Reason}}, nil
	}
	resp, wait := m.checkOwnership(now, req, joinDeadline)
	if resp != nil || wait != nil {
		return Decision{Response: resp}, wait
	}
	return m.start(now, req, attempt, digest), nil
}

// respondFromRecord returns the response according to the record of a key, or what to wait for; false if this node is not
// responsible for a record of the key.
func (m *Manager) respondFromRecord(now time.Time, req *wire.Request, digest uint64) (*wire.Response, *deferredDecision, bool) {
	rec, ok := m.store.Lookup(now, req.Key)
	if !ok {
		return nil, nil, false
	}
	if rec.Digest != digest {
		return refuse(outcome.ReasonKeyReused), nil, true
	}
	if rec.Moved {
		if p := m.keyOwner(req.Key, req.KeyIssuedMS, m.isRanked()); p.owner != nil {
			return m.redirect(p), nil, true
		}
		// The node that received the record is gone. The copy here is still correct, since only the responsibility for it
		// was transferred.
		m.store.Restore(req.Key)
	}
	if rec.State == idempotency.Running && m.executorGone(rec.Executor) {
		m.store.Finish(now, req.Key, idempotency.Result{
			State:  idempotency.Unknown,
			Reason: string(outcome.ReasonOwnerDied),
		})
		m.notifyWaiters(req.Key)
		rec, _ = m.store.Lookup(now, req.Key)
	}
	if rec.State == idempotency.Running {
		fallback := &wire.Response{Outcome: outcome.Unknown, Reason: outcome.ReasonDeadline}
		return nil, &deferredDecision{until: m.waiter(req.Key), fallback: fallback}, true
	}
	m.counters.replayed.Add(1)
	return recordedResponse(rec), nil, true
}

// checkOwnership checks whether this node may start a key of which it has no record. It returns neither a response nor a
// wait if it may.
func (m *Manager) checkOwnership(now time.Time, req *wire.Request, joinDeadline time.Time) (*wire.Response, *deferredDecision) {
	p := m.keyOwner(req.Key, req.KeyIssuedMS, m.isRanked())
	switch {
	case p.owner != nil:
		return m.redirect(p), nil
	case m.phase == phaseJoining:
		fallback := refuseMaybeRun(req, outcome.ReasonNotEligible)
		if left := joinDeadline.Sub(now); left > 0 {
			return nil, &deferredDecision{until: m.changed, limit: left, fallback: fallback}
		}
		m.counters.notEligible.Add(1)
		return fallback, nil
	case p.lost:
		m.counters.ownerDied.Add(1)
		return refuseMaybeRun(req, outcome.ReasonOwnerDied), nil
	case m.phase != phaseEligible:
		m.counters.notEligible.Add(1)
		return refuseMaybeRun(req, outcome.ReasonNotEligible), nil
	}
	return m.checkContactAge(req), nil
}

// checkContactAge applies rule R6. A node that may have been declared dead does not know whether another node has run
// the key since.
func (m *Manager) checkContactAge(req *wire.Request) *wire.Response {
	age := m.deps.ContactAge()
	if age <= m.settings.Rules.SelfFence {
		return nil
	}
	m.counters.selfFenced.Add(1)
	if age < m.settings.DeadAfter {
		return refuse(outcome.ReasonSelfFenced)
	}
	return refuseMaybeRun(req, outcome.ReasonSelfFenced)
}

// isRanked reports whether this node takes part in the ranking of owners for the keys of its service.
func (m *Manager) isRanked() bool {
	return m.phase == phaseJoining || m.phase == phaseEligible
}

func (m *Manager) redirect(p keyOwner) *wire.Response {
	m.counters.redirected.Add(1)
	owner := *p.owner
	return &wire.Response{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonNotOwner, Owner: &owner}
}

// start records the start of a key that has no record.
func (m *Manager) start(now time.Time, req *wire.Request, attempt idempotency.Attempt, digest uint64) Decision {
	v := m.store.Begin(now, attempt, req.Key, digest, m.settings.Node)
	if v.Kind != idempotency.Run {
		m.counters.refusedFull.Add(1)
		return Decision{Response: refuse(outcome.ReasonRecordsFull)}
	}
	m.counters.started.Add(1)
	m.unfinished++
	var once sync.Once
	return Decision{Finish: func(r *wire.Response) {
		once.Do(func() { m.finish(req.Key, r) })
	}}
}

// finish records the result of a run and sends it to the nodes that received the record meanwhile.
func (m *Manager) finish(key string, r *wire.Response) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	m.unfinished--
	digest := uint64(0)
	if rec, ok := m.store.Lookup(now, key); ok {
		digest = rec.Digest
	}
	result := resultOf(r)
	m.store.Finish(now, key, result)
	m.notifyWaiters(key)
	m.forwardResult(idempotency.Record{
		Key:      key,
		Digest:   digest,
		State:    result.State,
		Executor: m.settings.Node,
		Reason:   result.Reason,
		Answer:   result.Answer,
		Expires:  now.Add(m.settings.Rules.KeyRetention),
	})
}
