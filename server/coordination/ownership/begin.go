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

// Decision says what to do with a request. Exactly one field is set.
type Decision struct {
	// Finish is set if the request must be run now. It must be called exactly once with the result; a refusal as
	// not run withdraws the permission, an unknown outcome is kept.
	Finish func(*wire.Response)
	// Response is the response to give without running the request.
	Response *wire.Response
}

// Run reports whether the request must be run.
func (d Decision) Run() bool { return d.Finish != nil }

// pending is a decision that has to wait.
type pending struct {
	until chan struct{}
	// limit is how long to wait; 0 means until the end of the request's time.
	limit time.Duration
	// otherwise is the response if the wait ends first.
	otherwise *wire.Response
}

// Digest identifies the content of a request, to detect a key that is used for two requests.
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

// RequestDigest is Digest of a request.
func RequestDigest(r *wire.Request) uint64 {
	return Digest(r.Service, r.Method, r.Path, r.Body)
}

// Begin decides whether to run a request that has a key. It waits, within the request's time and ctx, for a run of
// the same key or for a join in progress.
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
			return Decision{Response: wait.otherwise}
		}
	}
}

// await reports whether the wait ended before its limit and ctx.
func await(ctx context.Context, wait *pending) bool {
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

func (m *Manager) decide(req *wire.Request, digest uint64, joinDeadline time.Time) (Decision, *pending) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	attempt := idempotency.Attempt{Sender: req.From, ID: req.ID}
	if m.store.IsFenced(now, attempt) {
		m.counters.refusedFenced.Add(1)
		return Decision{Response: refuse(outcome.ReasonFenced)}, nil
	}
	if resp, wait, ok := m.fromRecord(now, req, digest); ok {
		return Decision{Response: resp}, wait
	}
	if refusal, ok := checkIssueTime(req.KeyIssuedMS, now.UnixMilli(), m.settings.Rules); !ok {
		if req.KeyFromMesh {
			return Decision{Response: refuse(refusal.Reason)}, nil
		}
		return Decision{Response: &wire.Response{Outcome: refusal.Outcome, Reason: refusal.Reason}}, nil
	}
	resp, wait := m.checkPlace(now, req, joinDeadline)
	if resp != nil || wait != nil {
		return Decision{Response: resp}, wait
	}
	return m.start(now, req, attempt, digest), nil
}

// fromRecord answers from the record of a key, if this node has custody of one. A pending response means to wait.
func (m *Manager) fromRecord(now time.Time, req *wire.Request, digest uint64) (*wire.Response, *pending, bool) {
	rec, ok := m.store.Lookup(now, req.Key)
	if !ok {
		return nil, nil, false
	}
	if rec.Digest != digest {
		return refuse(outcome.ReasonKeyReused), nil, true
	}
	if rec.Moved {
		if p := m.place(req.Key, req.KeyIssuedMS, m.hasPlace()); p.owner != nil {
			return m.redirect(p), nil, true
		}
		// The node that was given the record is gone. The content is still right, since only its custody moved.
		m.store.Restore(req.Key)
	}
	if rec.State == idempotency.Running && m.executorGone(rec.Executor) {
		m.store.Finish(now, req.Key, idempotency.Result{
			State:  idempotency.Unknown,
			Reason: string(outcome.ReasonOwnerDied),
		})
		m.wake(req.Key)
		rec, _ = m.store.Lookup(now, req.Key)
	}
	if rec.State == idempotency.Running {
		otherwise := &wire.Response{Outcome: outcome.Unknown, Reason: outcome.ReasonDeadline}
		return nil, &pending{until: m.waiter(req.Key), otherwise: otherwise}, true
	}
	m.counters.replayed.Add(1)
	return recordedResponse(rec), nil, true
}

// checkPlace checks the rules that decide whether this node may start a key that it has no record of. It returns
// neither a response nor a wait if it may.
func (m *Manager) checkPlace(now time.Time, req *wire.Request, joinDeadline time.Time) (*wire.Response, *pending) {
	p := m.place(req.Key, req.KeyIssuedMS, m.hasPlace())
	switch {
	case p.owner != nil:
		return m.redirect(p), nil
	case m.phase == phaseJoining:
		otherwise := decline(req, outcome.ReasonNotEligible)
		if left := joinDeadline.Sub(now); left > 0 {
			return nil, &pending{until: m.changed, limit: left, otherwise: otherwise}
		}
		m.counters.notEligible.Add(1)
		return otherwise, nil
	case p.lost:
		m.counters.ownerDied.Add(1)
		return decline(req, outcome.ReasonOwnerDied), nil
	case m.phase != phaseEligible:
		m.counters.notEligible.Add(1)
		return decline(req, outcome.ReasonNotEligible), nil
	}
	return m.checkContact(req), nil
}

// checkContact applies rule R6. A node that may have been declared dead does not know whether another node has run
// the key since.
func (m *Manager) checkContact(req *wire.Request) *wire.Response {
	age := m.deps.ContactAge()
	if age <= m.settings.Rules.SelfFence {
		return nil
	}
	m.counters.selfFenced.Add(1)
	if age < m.settings.DeadAfter {
		return refuse(outcome.ReasonSelfFenced)
	}
	return decline(req, outcome.ReasonSelfFenced)
}

// hasPlace reports whether this node ranks for the keys of its service.
func (m *Manager) hasPlace() bool {
	return m.phase == phaseJoining || m.phase == phaseEligible
}

func (m *Manager) redirect(p place) *wire.Response {
	m.counters.redirected.Add(1)
	owner := *p.owner
	return &wire.Response{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonNotOwner, Owner: &owner}
}

// start asks the store for permission to run a key that has no record.
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

// finish records the end of a run and passes it on to the nodes that were given the record meanwhile.
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
	m.wake(key)
	m.passOn(idempotency.Record{
		Key:      key,
		Digest:   digest,
		State:    result.State,
		Executor: m.settings.Node,
		Reason:   result.Reason,
		Answer:   result.Answer,
		Expires:  now.Add(m.settings.Rules.KeyRetention),
	})
}
