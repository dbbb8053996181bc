package ingress

import (
	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
)

// requestDropped are not passed on with a request: the chain travels in fields of wire.Request.
var requestDropped = wire.NameSet(retry.HeaderDeadline, retry.HeaderAttempts, retry.HeaderDepth)

// responseDropped are not passed on with a response: a target that calls others through the mesh may copy the
// outcome of its own call.
var responseDropped = wire.NameSet(outcome.HeaderOutcome, outcome.HeaderReason)
