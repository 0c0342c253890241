// Package node is the process that runs on each VM of the users' platform: the
// front end for callers, the follower of the operators' configuration and of
// the targets' registrations, and the planner of the engines' roles, around one
// gateway. What it knows reaches the path of a request by atomic pointers.
package node

import (
	"time"

	"github.com/lentilpick/lentilpick/daemon"
)

// Settings are the product's own settings of a node. What the platform says of
// the machine comes from platform.Settings.
type Settings struct {
	LogLevel string `toml:"log_level"`
	// LogRate bounds the log lines for requests, per second; lines beyond it are
	// counted and dropped.
	LogRate int `toml:"log_rate"`
	// SampleOne writes the lines of one in this many requests that were answered
	// in time. Those of all others are written.
	SampleOne int `toml:"sample_one"`
	// PrefillShare is the share of the engines that have the prefill role, in
	// thousandths.
	PrefillShare int `toml:"prefill_share"`
	// PrefillTokensPerMs is the speed of a prefill engine without attention, and
	// PairsPerToken the number of pairs of tokens to which attention takes as long
	// as one token.
	PrefillTokensPerMs int `toml:"prefill_tokens_per_ms"`
	PairsPerToken      int `toml:"pairs_per_token"`
	// RegistrationInterval is the time between two reads of the registrations,
	// ConfigurationWait the time that a read of the configuration waits.
	RegistrationInterval time.Duration `toml:"registration_interval"`
	ConfigurationWait    time.Duration `toml:"configuration_wait"`
	// RemoteByte is the cost of a byte to another data centre, as time to the
	// first token.
	RemoteByte time.Duration `toml:"remote_byte"`
	// GCPercent is the growth of the heap after which memory is collected.
	GCPercent int `toml:"gc_percent"`
}

// DefaultSettings returns the settings that hold where the file says nothing.
func DefaultSettings() *Settings {
	return &Settings{
		LogLevel: "info", LogRate: 50, SampleOne: 64, PrefillShare: 750, PrefillTokensPerMs: 49, PairsPerToken: 55_000,
		RegistrationInterval: 600 * time.Millisecond, ConfigurationWait: 500 * time.Millisecond,
		RemoteByte: 12 * time.Microsecond, GCPercent: 100,
	}
}

// Validate implements daemon.Validator.
func (s *Settings) Validate(c *daemon.Checker) {
	c.OneOf("log_level", s.LogLevel, "debug", "info", "warning", "error")
	c.Int("log_rate", int64(s.LogRate), 0, 100_000)
	c.Int("sample_one", int64(s.SampleOne), 1, 1_000_000)
	c.Int("prefill_share", int64(s.PrefillShare), 0, 1000)
	c.Int("prefill_tokens_per_ms", int64(s.PrefillTokensPerMs), 1, 100_000)
	c.Int("pairs_per_token", int64(s.PairsPerToken), 0, 1_000_000_000)
	c.Duration("registration_interval", s.RegistrationInterval, 50*time.Millisecond, 10*time.Second)
	c.Duration("configuration_wait", s.ConfigurationWait, 0, 30*time.Second)
	c.Duration("remote_byte", s.RemoteByte, 0, time.Millisecond)
	c.Int("gc_percent", int64(s.GCPercent), 10, 1000)
}
