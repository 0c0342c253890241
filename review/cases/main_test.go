// Package cases plays the cases of a review: it runs nodes as processes against stand-ins of the
// platform, its servers and its requesters, and checks one rule of the users' pages. It exits with 0 if
// the rule held, with 1 if it was broken, and with 2 if the case could not run. It is in test files, as the
// names of the platform's protocol may only stand in such and in platform/.
package cases

import (
	"fmt"
	"os"
	"testing"
)

// result is the verdict on a case. why is empty if the rule held.
type result struct{ why string }

var cases = map[string]func(d *deployment, trouble bool) (result, error){
	"config": playConfig,
	"entry":  playEntry,
	"head":   playHead,
	"lease":  playLease,
	"takeup": playTakeUp,
}

// Variables with the name of the case to play and the path of its record. Without them nothing is run.
const (
	caseVariable   = "REVIEW_CASE"
	recordVariable = "REVIEW_RECORD"
)

func TestMain(m *testing.M) {
	if os.Getenv(caseVariable) == "" {
		os.Exit(m.Run())
	}
	os.Exit(play(os.Getenv(caseVariable), os.Getenv(recordVariable)))
}

func play(name, path string) int {
	if cases[name] == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	record, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "lentilpick-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	d, err := newDeployment(record, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	r, err := cases[name](d, os.Getenv("TROUBLE") != "0")
	d.recordRequests()
	switch {
	case err != nil:
		record.printf("case could not run: %s", err)
		fmt.Println("could not run:", err)
		return 2
	case r.why != "":
		record.printf("BROKEN: %s", r.why)
		fmt.Println("broken:", r.why)
		return 1
	}
	record.printf("the rule held")
	fmt.Println("held")
	return 0
}
