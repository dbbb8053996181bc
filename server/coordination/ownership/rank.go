// Package ownership decides which node owns an idempotency key and moves key records between nodes.
package ownership

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/endpoint"
)

// HeaderKey and HeaderIssued name the caller's idempotency key and its issue time in Unix milliseconds.
const (
	HeaderKey    = "Idempotency-Key"
	HeaderIssued = "Idempotency-Key-Issued"
)

// Rules are the settings that placement depends on.
type Rules struct {
	KeyRetention time.Duration
	ClockSkewMax time.Duration
	SelfFence    time.Duration
}

// Placement is the result of Place. Exactly one of Owner and Reason is set.
type Placement struct {
	Owner *endpoint.Entry
	// Outcome is the outcome of the request if there is no owner.
	Outcome outcome.Outcome
	Reason  outcome.Reason
}

// IssueTime returns the issue time of a key in Unix milliseconds, from the header value or from a UUID of
// version 7; 0 if neither states one.
func IssueTime(key, header string) int64 {
	if ms, err := strconv.ParseInt(header, 10, 64); err == nil && ms > 0 {
		return ms
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// Weight returns the rendezvous weight of a node for a key; the node with the largest weight ranks first.
func Weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(node)
	d.Write([]byte{0})
	d.WriteString(key)
	return d.Sum64()
}

// Ranks reports whether a node takes part in the ranking of owners in its service. A dead node still does, since its key
// records were not transferred. So does a node whose target is gone, until it has transferred its records and is no longer
// eligible.
func Ranks(e *endpoint.Entry) bool {
	return e.Eligible && e.State != endpoint.Left
}

// Place returns the owner of a key among the members of a service. issuedMS is 0 if the issue time is not known.
func Place(members []*endpoint.Entry, key string, issuedMS, nowMS int64, rules Rules) Placement {
	if refusal, ok := checkIssueTime(issuedMS, nowMS, rules); !ok {
		return refusal
	}
	// A dead node that ranks first blocks the key, unless the key is certainly younger than the death. So
	// dead nodes older than the key are left out and the rest of the rank decides.
	var owner *endpoint.Entry
	var best uint64
	for _, e := range members {
		if !Ranks(e) || issuedAfterDeath(e, issuedMS, rules) {
			continue
		}
		w := Weight(key, e.Node)
		if owner == nil || w > best || (w == best && e.Node < owner.Node) {
			owner = e
			best = w
		}
	}
	if owner == nil {
		return Placement{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonNoTarget}
	}
	if owner.State == endpoint.Dead {
		return Placement{Outcome: outcome.Unknown, Reason: outcome.ReasonOwnerDied}
	}
	return Placement{Owner: owner}
}

func checkIssueTime(issuedMS, nowMS int64, rules Rules) (Placement, bool) {
	if issuedMS == 0 {
		return Placement{}, true
	}
	if issuedMS > nowMS+rules.ClockSkewMax.Milliseconds() {
		return Placement{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonMalformed}, false
	}
	if issuedMS < nowMS-rules.KeyRetention.Milliseconds() {
		return Placement{Outcome: outcome.Unknown, Reason: outcome.ReasonKeyExpired}, false
	}
	return Placement{}, true
}

func issuedAfterDeath(e *endpoint.Entry, issuedMS int64, rules Rules) bool {
	if e.State != endpoint.Dead || issuedMS == 0 {
		return false
	}
	return issuedMS > e.DiedMS+(rules.ClockSkewMax+rules.SelfFence).Milliseconds()
}
