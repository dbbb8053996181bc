// Command driver plays the scripted cases 6 to 10 of the review. Each case starts the project's own programs as separate
// processes on loopback addresses, with stand-ins of its own for the store, the backends and the clients. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseTimeout ends a case that takes too long.
const caseTimeout = 110 * time.Second

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*bench) bool{
	"memory": memoryCase,
	"crowd":  crowdCase,
	"leave":  leaveCase,
	"late":   lateCase,
	"report": reportCase,
	"crash":  crashCase,
	"length": lengthCase,
	"status": statusCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD; from the root of the repository")
		os.Exit(2)
	}
	b, err := newBench(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	done := make(chan bool, 1)
	go func() { done <- cases[os.Args[1]](b) }()
	broken := false
	select {
	case broken = <-done:
	case <-signals:
		b.fail("stopped by a signal")
	case <-time.After(caseTimeout):
		b.fail("the case took too long")
	}
	b.close()
	if broken {
		b.note("the rule was broken")
		os.Exit(1)
	}
	b.note("the rule held")
}
