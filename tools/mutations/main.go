// Command mutations checks that the tests detect deliberate faults. It builds the tests
// with one fault at a time, through the compiler's overlay, and fails if a fault is not
// detected. It changes no file of the repository.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kong"
)

var errNotUnique = errors.New("text to replace does not occur exactly once in the file")

var cli struct {
	Checks int    `default:"1500" help:"Number of sequences per seed."`
	Seeds  int    `default:"30" help:"Number of seeds to try, starting with 1."`
	Only   string `help:"Run only the faults whose names contain this text."`
}

func main() {
	kong.Parse(&cli)
	dir, err := os.MkdirTemp("", "mutations")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	missed := 0
	for _, f := range append(faults, grownFaults...) {
		if !strings.Contains(f.name, cli.Only) {
			continue
		}
		if !checkFault(dir, f) {
			missed++
		}
	}
	_ = os.RemoveAll(dir)
	if missed > 0 {
		fmt.Fprintf(os.Stderr, "%d faults were not found\n", missed)
		os.Exit(1)
	}
}

// checkFault tests a fault with each seed in turn and reports whether one detects it. It
// prints the first seed that does and the failure.
func checkFault(dir string, f fault) bool {
	overlay, err := writeOverlay(dir, f)
	if err != nil {
		fmt.Printf("%-55s ERROR %v\n", f.name, err)
		return false
	}
	for _, seed := range seedsFor(f.name) {
		out, err := runTest(overlay, f.test, seed)
		if err == nil {
			continue
		}
		_, message, found := strings.Cut(out, "--- FAIL: ")
		if !found {
			fmt.Printf("%-55s ERROR %s\n", f.name, out)
			return false
		}
		if _, after, ok := strings.Cut(message, "[rapid] "); ok {
			message = after
		}
		message, _, _ = strings.Cut(message, "\n")
		fmt.Printf("%-55s seed %d: %s\n", f.name, seed, message)
		return true
	}
	fmt.Printf("%-55s NOT FOUND\n", f.name)
	return false
}

// seedsFor returns the seeds to try for a fault: the one in knownSeeds, if any, and then
// the seeds from 1 on.
func seedsFor(name string) []int {
	var out []int
	if s, ok := knownSeeds[name]; ok {
		out = append(out, s)
	}
	for s := 1; s <= cli.Seeds; s++ {
		out = append(out, s)
	}
	return out
}

func runTest(overlay, test string, seed int) (string, error) {
	pkg, name, _ := strings.Cut(test, " ")
	args := []string{"test", "-overlay", overlay, "./" + pkg, "-run", "^" + name + "$", "-count=1"}
	if strings.HasPrefix(name, "TestStateful") {
		args = append(args, fmt.Sprintf("-rapid.seed=%d", seed), fmt.Sprintf("-rapid.checks=%d", cli.Checks), "-rapid.shrinktime=0s", "-rapid.nofailfile")
	}
	out, err := exec.Command("go", args...).CombinedOutput()
	return string(out), err
}

// writeOverlay writes the changed file and an overlay file that replaces the original
// with it, and returns the path of the overlay file.
func writeOverlay(dir string, f fault) (overlay string, err error) {
	original, err := filepath.Abs(f.file)
	if err != nil {
		return "", err
	}
	src, err := os.ReadFile(original)
	if err != nil {
		return "", err
	}
	if strings.Count(string(src), f.old) != 1 {
		return "", errNotUnique
	}
	changed := filepath.Join(dir, "changed.go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(src), f.old, f.new, 1)), 0o600); err != nil {
		return "", err
	}
	b, err := json.Marshal(map[string]map[string]string{"Replace": {original: changed}})
	if err != nil {
		return "", err
	}
	overlay = filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, b, 0o600)
}
