// Command cases plays the cases of a review: it runs nodes as processes against stand-ins of the
// platform, its servers and its requesters, and checks one rule of the users' pages. It exits with 0 if
// the rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// result is the verdict on a case. why is empty if the rule held.
type result struct{ why string }

var cases = map[string]func(d *deployment, trouble bool) (result, error){
	"config": playConfig,
	"entry":  playEntry,
	"extra":  playExtra,
	"head":   playHead,
	"lease":  playLease,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE RECORD")
		return 2
	}
	record, err := newRecorder(os.Args[2])
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
	r, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
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
