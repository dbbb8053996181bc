package ingress

import (
	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
)

// strippedRequestHeaders lists the request headers that are not forwarded: the deadline, attempts and depth of the call
// chain are carried in fields of wire.Request.
var strippedRequestHeaders = wire.NameSet(retry.HeaderDeadline, retry.HeaderAttempts, retry.HeaderDepth)

// strippedResponseHeaders lists the response headers that are not forwarded: a target that calls other services through
// the mesh may have copied them from the response to its own call.
var strippedResponseHeaders = wire.NameSet(outcome.HeaderOutcome, outcome.HeaderReason)
