// Package daemon contains the code that all daemons share: settings files, logs,
// metrics, traffic counters and shutdown by signal.
package daemon

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/ansel1/merry/v2"
)

// ErrSettings reports an invalid settings file. The message contains the file and,
// for a value out of range, the key, the value and the allowed range.
var ErrSettings = merry.New("settings are not valid")

// Validator is implemented by settings that validate their own values.
type Validator interface {
	// Validate passes every value that has a range to the checker.
	Validate(c *Checker)
}

// LoadSettings decodes a TOML file into v, which contains the defaults, and validates
// the result. An unknown key, a value of the wrong type or a value out of range is an
// error that wraps ErrSettings.
func LoadSettings(path string, v Validator) error {
	md, err := toml.DecodeFile(path, v)
	if err != nil {
		return settingsError(path, err.Error())
	}
	if keys := md.Undecoded(); len(keys) > 0 {
		return settingsError(path, fmt.Sprintf("unknown key %q", keys[0].String()))
	}
	var c Checker
	v.Validate(&c)
	if len(c.problems) > 0 {
		return settingsError(path, strings.Join(c.problems, "; "))
	}
	return nil
}

func settingsError(path, text string) error {
	return merry.Wrap(ErrSettings, merry.AppendMessagef("%s: %s", path, text))
}

// Checker collects the errors of all values, so that they are reported together.
type Checker struct{ problems []string }

func (c *Checker) add(key string, value any, allowed string) {
	c.problems = append(c.problems, fmt.Sprintf("%s = %v is not allowed (allowed: %s)", key, value, allowed))
}

// Int checks that low <= v <= high.
func (c *Checker) Int(key string, v, low, high int64) {
	if v < low || v > high {
		c.add(key, v, fmt.Sprintf("%d to %d", low, high))
	}
}

// Duration checks that low <= v <= high.
func (c *Checker) Duration(key string, v, low, high time.Duration) {
	if v < low || v > high {
		c.add(key, v, fmt.Sprintf("%s to %s", low, high))
	}
}

// Address checks that v is an IP address with a port.
func (c *Checker) Address(key, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.add(key, fmt.Sprintf("%q", v), "an IP address with a port, such as 127.0.0.1:8080")
	}
}

// Loopback checks that v is a loopback address with a port. Without a credential, an
// interface may listen on a loopback address only.
func (c *Checker) Loopback(key, v string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || !a.Addr().IsLoopback() {
		c.add(key, fmt.Sprintf("%q", v), "a loopback address with a port while no credential is set")
	}
}

// Name checks that v is not blank.
func (c *Checker) Name(key, v string) {
	if strings.TrimSpace(v) == "" {
		c.add(key, fmt.Sprintf("%q", v), "a name that is not empty")
	}
}

// OneOf checks that v is one of the allowed values.
func (c *Checker) OneOf(key, v string, allowed ...string) {
	for _, a := range allowed {
		if v == a {
			return
		}
	}
	c.add(key, fmt.Sprintf("%q", v), strings.Join(allowed, ", "))
}
