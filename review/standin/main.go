// Command standin plays the cases of the review: it starts nodes as the deploy file says, stands in for
// clients, instances and the platform, and checks one rule of RULES.md by what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in
// the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// verdict is the outcome of a case.
type verdict int

// The exit codes.
const (
	held      verdict = 0
	broken    verdict = 1
	cannotRun verdict = 2
)

// caseTime is how long a case may run.
const caseTime = 110 * time.Second

// playing is one play of a case.
type playing struct {
	record  *record
	fleet   *fleet
	trouble bool

	mutex sync.Mutex
	// unanswered are the short bookings without a complete answer.
	unanswered []string
}

var cases = map[string]func(*playing) (verdict, error){
	"bodies":        playBodies,
	"configuration": playConfiguration,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(int(cannotRun))
	}
	os.Exit(int(play(os.Args[1], os.Args[2])))
}

func play(name, folder string) verdict {
	record, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer record.close()
	current := &playing{record: record, trouble: os.Getenv("TROUBLE") != "0"}
	record.printf("case %s, trouble: %v", name, current.trouble)
	if current.fleet, err = newFleet(record, "mvd-centro", "mvd-cerro"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer current.fleet.close()
	return current.run(name)
}

// run plays the case until its end, its time limit or a signal.
func (p *playing) run(name string) verdict {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	results := make(chan verdict, 1)
	go func() {
		result, err := cases[name](p)
		if err != nil {
			p.record.printf("the case could not run: %v", err)
			result = cannotRun
		}
		results <- result
	}()
	select {
	case result := <-results:
		p.record.printf("%s", map[verdict]string{held: "the rule held", broken: "the rule was broken", cannotRun: "no verdict"}[result])
		return result
	case <-signals:
	case <-time.After(caseTime):
	}
	p.record.printf("the case was ended before its verdict")
	return cannotRun
}
