package retry

import (
	"fmt"
	"strconv"
	"time"
)

// Names of the headers that a call carries along its chain.
const (
	// HeaderDeadline is the remaining time in milliseconds.
	HeaderDeadline = "Wagtail-Deadline-Ms"
	// HeaderAttempts is the number of attempts left for the whole chain.
	HeaderAttempts = "Wagtail-Attempts"
	// HeaderDepth is the number of hops that the chain has taken.
	HeaderDepth = "Wagtail-Depth"
)

// Chain is the position of a request in its call chain.
type Chain struct {
	Timeout time.Duration
	// HopAttempts is the number of attempts that this hop may make, including the first one.
	HopAttempts int
	// Attempts is the number of attempts left for the whole chain, including the first one of this hop.
	Attempts int
	// Depth is the number of hops taken before this one.
	Depth int
}

// RemainingAttempts returns the number of attempts that may follow after made attempts at this hop.
func (c Chain) RemainingAttempts(made int) int {
	return min(c.HopAttempts, c.Attempts) - made
}

// DownstreamAttempts returns the number of attempts left for the hops below, when made attempts at this hop include the one
// that passes it on. Each retry takes one attempt from everything below it.
func (c Chain) DownstreamAttempts(made int) int {
	return c.Attempts - made + 1
}

// MalformedError means that a chain header is not a number in its range.
type MalformedError struct {
	Header, Value string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("header %s: %q is not a number in range", e.Header, e.Value)
}

// Limits are the limits of this hop.
type Limits struct {
	// Timeout and Attempts are those of the route.
	Timeout  time.Duration
	Attempts int
	// ChainAttempts limits the attempts of the whole chain.
	ChainAttempts int
}

// ParseChain reads the chain headers through get, which returns "" for an absent header. The limits of the hop
// apply where a header allows more. The error is a *MalformedError.
func ParseChain(get func(name string) string, limits Limits) (Chain, error) {
	chain := Chain{Timeout: limits.Timeout, HopAttempts: limits.Attempts, Attempts: limits.ChainAttempts}
	left, present, err := number(get, HeaderDeadline)
	if err != nil {
		return Chain{}, err
	}
	if present && left < limits.Timeout.Milliseconds() {
		chain.Timeout = time.Duration(left) * time.Millisecond
	}
	attempts, present, err := number(get, HeaderAttempts)
	if err != nil {
		return Chain{}, err
	}
	if present {
		chain.Attempts = int(min(attempts, int64(limits.ChainAttempts)))
	}
	depth, _, err := number(get, HeaderDepth)
	if err != nil {
		return Chain{}, err
	}
	chain.Depth = int(min(depth, maxInt32))
	return chain, nil
}

const maxInt32 = 1<<31 - 1

func number(get func(string) string, header string) (value int64, present bool, err error) {
	text := get(header)
	if text == "" {
		return 0, false, nil
	}
	value, err = strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		return 0, true, &MalformedError{Header: header, Value: text}
	}
	return value, true, nil
}
