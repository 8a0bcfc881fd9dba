//go:build review

// Command standin-2 plays the cases 6 to 10 of the review: it starts the project's own programs, takes the place of the clients, the engines,
// the control feed and the network, and judges what these can see.
//
//	standin-2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it plays the case without the
// disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldntRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 115 * time.Second

// cases are the cases by the name of their folder.
var cases = map[string]func(*world) (broken int, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(couldntRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs one case in a temporary folder and returns the exit code.
func play(run func(*world) (int, error), record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer w.close()
	watchdog := time.AfterFunc(maxRunTime, func() {
		w.note("the case did not end in time")
		w.close()
		os.Exit(couldntRun)
	})
	defer watchdog.Stop()
	broken, err := run(w)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		return couldntRun
	case broken > 0:
		w.note("RULE BROKEN: %d times", broken)
		return ruleBroken
	}
	w.note("the rule held")
	return ruleHeld
}
