package docscheck

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/server/control"
	"github.com/lentilpick/lentilpick/server/entry"
	"github.com/lentilpick/lentilpick/server/node"
	"github.com/lentilpick/lentilpick/types"
)

const root = "../../.."

func readPage(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(root, "docs", name))
	assert.NilError(t, err)
	return string(b)
}

// Guards against a setting that is missing from the operators' documentation.
func TestSettingsAreDocumented(t *testing.T) {
	text := readPage(t, "OPERATIONS.md")
	for _, s := range []any{entry.Settings{}, control.Settings{}, node.Settings{}} {
		v := reflect.TypeOf(s)
		for i := range v.NumField() {
			key := "`" + v.Field(i).Tag.Get("toml") + "`"
			assert.Check(t, strings.Contains(text, key), "%s: %s is not in OPERATIONS.md", v.PkgPath(), key)
		}
	}
}

// Guards against a refusal or retry reason that is missing from the operators' documentation.
func TestReasonsAreDocumented(t *testing.T) {
	text := readPage(t, "OPERATIONS.md")
	for r := range types.RefusalReasonCount {
		assert.Check(t, strings.Contains(text, "`"+r.String()+"`"), "refusal reason %s is not in OPERATIONS.md", r)
	}
	for r := range types.RetryReasonCount {
		assert.Check(t, strings.Contains(text, "`"+r.String()+"`"), "retry reason %s is not in OPERATIONS.md", r)
	}
}

// Guards against example settings that the daemons reject.
func TestExamplesAreValid(t *testing.T) {
	for pattern, settings := range map[string]func() daemon.Validator{
		"entry-*.toml":   func() daemon.Validator { return entry.DefaultSettings() },
		"control-*.toml": func() daemon.Validator { return control.DefaultSettings() },
	} {
		files, err := filepath.Glob(filepath.Join(root, "examples", "*", pattern))
		assert.NilError(t, err)
		assert.Equal(t, len(files), 24)
		for _, f := range files {
			assert.NilError(t, daemon.LoadSettings(f, settings()))
		}
	}
}

// Guards against deployment settings that the node rejects.
func TestDeploymentIsValid(t *testing.T) {
	assert.NilError(t, daemon.LoadSettings(filepath.Join(root, "deploy", "node.toml"), node.DefaultSettings()))
}

// Guards against log fields and metrics of the node that are not documented, and against
// documented metrics that no longer exist.
func TestNodeLogAndMetricsAreDocumented(t *testing.T) {
	text := readPage(t, "OPERATIONS.md")
	names := regexp.MustCompile(`"(lentilpick_[a-z_]+)"`)
	fields := regexp.MustCompile(`field[A-Z][A-Za-z]* += "([a-z_]+)"`)
	defined := map[string]bool{}
	files, err := filepath.Glob(filepath.Join(root, "server", "*", "*.go"))
	assert.NilError(t, err)
	for _, f := range files {
		b, err := os.ReadFile(f)
		assert.NilError(t, err)
		for _, m := range names.FindAllStringSubmatch(string(b), -1) {
			defined[m[1]] = true
		}
		if filepath.Base(filepath.Dir(f)) != "node" {
			continue
		}
		for _, m := range append(names.FindAllStringSubmatch(string(b), -1), fields.FindAllStringSubmatch(string(b), -1)...) {
			assert.Check(t, strings.Contains(text, "`"+m[1]), "%s is not in OPERATIONS.md", m[1])
		}
	}
	section := text[strings.Index(text, "## The node"):strings.Index(text, "## From a request")]
	for _, m := range regexp.MustCompile("`(lentilpick_[a-z_]+)").FindAllStringSubmatch(section, -1) {
		assert.Check(t, defined[m[1]], "%s is in OPERATIONS.md but not in the code", m[1])
	}
}
