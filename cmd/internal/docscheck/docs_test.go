package docscheck

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/server/control"
	"github.com/lentilpick/lentilpick/server/entry"
	"github.com/lentilpick/lentilpick/types"
)

const root = "../../.."

func page(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(root, "docs", name))
	assert.NilError(t, err)
	return string(b)
}

// Guards against a setting that operators cannot find.
func TestSettingsAreDocumented(t *testing.T) {
	text := page(t, "OPERATIONS.md")
	for _, s := range []any{entry.Settings{}, control.Settings{}} {
		v := reflect.TypeOf(s)
		for i := range v.NumField() {
			key := "`" + v.Field(i).Tag.Get("toml") + "`"
			assert.Check(t, strings.Contains(text, key), "%s: %s is not in OPERATIONS.md", v.PkgPath(), key)
		}
	}
}

// Guards against a reason that a caller or an operator sees without explanation.
func TestReasonsAreDocumented(t *testing.T) {
	text := page(t, "OPERATIONS.md")
	for r := range types.RefusalReasonCount {
		assert.Check(t, strings.Contains(text, "`"+r.String()+"`"), "refusal reason %s", r)
	}
	for r := range types.RetryReasonCount {
		assert.Check(t, strings.Contains(text, "`"+r.String()+"`"), "retry reason %s", r)
	}
}

// Guards against example settings that the daemons refuse.
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
