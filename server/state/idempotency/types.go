// Package idempotency keeps what a node knows about idempotency keys, so that no key runs twice.
//
// Everything here is pure: no clock, socket, random source or log line. A Store is not safe for concurrent use.
package idempotency

import "time"

// State is the state of a key record.
type State uint8

// States of a record.
const (
	// Running means that the executor was given permission to run the key and has not reported the end.
	Running State = iota + 1
	// Unknown means that the key may have run and that its outcome is lost.
	Unknown
	// Done means that the key ran and was answered. The answer may have been dropped.
	Done
	// NotRun ends a run that did not happen. It occurs in results and transfers, never in a store.
	NotRun
)

// Header is one HTTP header field of an answer.
type Header struct {
	Name, Value string
}

// Answer is the recorded answer of a run.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// size is the memory that an answer is accounted with, in bytes.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	n := answerOverheadBytes + len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// answerOverheadBytes covers the status and the slice headers of an answer.
const answerOverheadBytes = 64

// Attempt identifies one attempt of a request: the sending node and its number for the attempt.
type Attempt struct {
	Sender string
	ID     uint64
}

// Record is what a node knows about one key.
type Record struct {
	Key string
	// Digest identifies the request that the key was first used for.
	Digest   uint64
	State    State
	Executor string
	// Moved is true if another node was given custody. The content stays for further transfers.
	Moved bool
	// Reason says why the outcome is unknown.
	Reason string
	// Answer is nil unless the state is Done, and nil if Dropped.
	Answer *Answer
	// Dropped is true if the answer was dropped to stay within the byte limit.
	Dropped bool
	// Expires is the time at which the record is forgotten; zero while running.
	Expires time.Time
}

// Result is the end of a run.
type Result struct {
	// State is Done, Unknown or NotRun.
	State  State
	Reason string
	Answer *Answer
}

// Kind is the kind of a verdict.
type Kind uint8

// Kinds of verdicts.
const (
	// Run permits the only run of the key.
	Run Kind = iota + 1
	// Wait means that the key is running.
	Wait
	// Recorded means that the key ran; the record holds the answer or says that it was dropped.
	Recorded
	// Lost means that the key may have run and its outcome is not known.
	Lost
	// Fenced means that the attempt was fenced before it arrived, or by this call.
	Fenced
	// Moved means that another node has custody of the key.
	Moved
	// Full means that the store has no room for another key.
	Full
	// Reused means that the key was used for another request.
	Reused
)

// Verdict answers an attempt. Record is set for Wait, Recorded, Lost and Moved.
type Verdict struct {
	Kind   Kind
	Record Record
}

// Limits bound a store.
type Limits struct {
	// Retention is how long a key is remembered after the end of its run.
	Retention time.Duration
	// RecordsMax limits the records and, separately, the fences.
	RecordsMax int
	// AnswerBytesMax limits the bytes of all recorded answers together.
	AnswerBytesMax int
}

// Counts describe the content of a store.
type Counts struct {
	Records, Fences, Running, Moved, AnswerBytes int
	// Dropped and Expired count since the start.
	Dropped, Expired uint64
}
