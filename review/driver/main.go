// Command driver plays one case of the review: it starts the nodes as separate processes with the command of the deploy
// file, and stands in for the clients, the backends and the store of the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit ends a case that takes too long.
const caseLimit = 110 * time.Second

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	w, err := newWorld(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.note("not run: interrupted")
		w.close()
		os.Exit(exitNotRun)
	}()
	overdue := time.AfterFunc(caseLimit, func() {
		w.note("not run: the case took longer than %v", caseLimit)
		w.close()
		os.Exit(exitNotRun)
	})
	defer overdue.Stop()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %v", name, trouble)
	broken, err := cases[name](w, trouble)
	w.noteLogs()
	switch {
	case err != nil:
		w.note("not run: %v", err)
		return exitNotRun
	case broken:
		w.note("RESULT: the rule was broken")
		return exitBroken
	}
	w.note("RESULT: the rule held")
	return exitHeld
}
