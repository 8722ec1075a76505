// Command standin-2 plays the cases of the second review that are scripts: it starts node processes with the
// command of the deploy file on loopback addresses, an emulated store and emulated instances in this process,
// and sends requests. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each one returns whether its rule was broken.
var cases = map[string]func(directory, recordPath string, trouble bool) (broken bool, err error){
	"answers":    playAnswers,
	"departures": playDepartures,
	"readers":    playSlowReaders,
	"stops":      playStops,
}

func main() { os.Exit(run()) }

func run() int {
	const wanted = 3
	if len(os.Args) != wanted || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return exitNotRun
	}
	directory, err := os.MkdirTemp("", "winchhead-review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(directory) }()
	broken, err := cases[os.Args[1]](directory, os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		return exitBroken
	default:
		return exitHeld
	}
}
