package execute

import (
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"wagtailford.example/server/protocol/wire"
)

// Meaning is what a whole response says about the request that was sent.
type Meaning uint8

// Meanings of a response.
const (
	// Answer is the target's own answer.
	Answer Meaning = iota
	// Shed means that the target did not run the request.
	Shed
	// OtherInstance means that another instance than the expected one answered, without running the request.
	OtherInstance
	// Foreign means that the response belongs to another request.
	Foreign
	// Spoiled means that the response cannot be what the target meant; the request may have run.
	Spoiled
)

// Dialect is how requests and answers look on the connection to the target. It is safe for concurrent use.
type Dialect interface {
	// Write fills in the request. remaining is the time that is left for it.
	Write(req *protocol.Request, r *wire.Request, t Target, remaining time.Duration)
	// Read says what a whole response means.
	Read(r *wire.Request, resp *protocol.Response) Meaning
}

// plainDialect is the product's own: carried headers of section 3.4 of the design, and every answer counts.
type plainDialect struct{}

func (plainDialect) Write(req *protocol.Request, r *wire.Request, t Target, remaining time.Duration) {
	fillRequest(req, r, t, remaining)
}

func (plainDialect) Read(*wire.Request, *protocol.Response) Meaning { return Answer }
