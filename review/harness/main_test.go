// Package harness runs the cases of the review that cannot be put as a day of the bench: it starts
// nodes as processes on loopback addresses, plays the platform, its servers and its requesters, and
// checks one rule. review/build.sh builds it as a test binary, which the scripts of the cases run in
// the root of the repository; without the name of a case it does nothing.
package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Exit statuses of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// result is the verdict of a case, as lines for record.txt.
type result struct {
	broken bool
	lines  []string
}

func (r *result) add(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

var cases = map[string]func(d *deployment, trouble bool) (*result, error){
	"late-refusal":  lateRefusal,
	"crash-event":   crashAfterEvent,
	"block-expires": blockExpires,
	"large-bodies":  largeBodies,
	"descriptors":   descriptors,
}

// Variables with the name of the case to play and the folder for record.txt.
const (
	caseVariable   = "REVIEW_CASE"
	folderVariable = "REVIEW_FOLDER"
)

func TestMain(m *testing.M) {
	if len(os.Args) > 3 && os.Args[1] == "limited" {
		fmt.Fprintln(os.Stderr, limitedExec(os.Args[2], os.Args[3:]))
		os.Exit(exitNotRun)
	}
	name := os.Getenv(caseVariable)
	switch {
	case name == "":
		os.Exit(m.Run())
	case cases[name] == nil:
		fmt.Fprintln(os.Stderr, "unknown case", name)
		os.Exit(exitNotRun)
	}
	os.Exit(play(name, os.Getenv(folderVariable)))
}

func play(name, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecord()
	d, err := newDeployment(rec, len(zones))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	d.writeConfiguration()
	res, err := cases[name](d, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	verdict := "the rule held"
	if res.broken {
		verdict = "the rule was broken"
	}
	lines := append([]string{fmt.Sprintf("case %s, trouble %t: %s", name, trouble, verdict)}, res.lines...)
	for _, l := range lines {
		fmt.Println(l)
	}
	if err := rec.write(filepath.Join(folder, "record.txt"), lines); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if res.broken {
		return exitBroken
	}
	return exitHeld
}
