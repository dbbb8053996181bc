// Command driver-3 plays the cases of the third review with the project's programs as processes.
package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken means that a rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the plays by name. trouble is false if the disruption is left out.
var cases = map[string]func(r *record, trouble bool) error{
	"bodies":  playBodies,
	"quota":   playQuota,
	"late":    playLate,
	"tenants": playTenants,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver-3 CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		r.say("broken: %v", err)
		os.Exit(1)
	case err != nil:
		r.say("could not run: %v", err)
		os.Exit(2)
	}
	r.say("the rule held")
}
