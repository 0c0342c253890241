package daemon

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type testSettings struct {
	Name string        `toml:"name"`
	Wait time.Duration `toml:"wait"`
}

func (s *testSettings) Validate(c *Checker) {
	c.Name("name", s.Name)
	c.Duration("wait", s.Wait, time.Second, time.Minute)
}

func load(t *testing.T, text string) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s := testSettings{Name: "a", Wait: 2 * time.Second}
	return LoadSettings(path, &s)
}

// Guards against settings that are ignored without an error, and values out of range.
func TestLoadSettingsRejectsInvalidFiles(t *testing.T) {
	assert.NilError(t, load(t, `wait = "5s"`))
	for text, want := range map[string]string{
		`wiat = "5s"`: `unknown key "wiat"`,
		`wait = "5h"`: `wait = 5h0m0s is not allowed (allowed: 1s to 1m0s)`,
		`wait = [`:    `line 1`,
		`name = ""`:   `name = "" is not allowed`,
	} {
		err := load(t, text)
		assert.Assert(t, errors.Is(err, ErrSettings), text)
		assert.ErrorContains(t, err, want)
		assert.ErrorContains(t, err, "s.toml")
	}
}
