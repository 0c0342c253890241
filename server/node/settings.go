// Package node is the process that runs on each VM of the platform. Around one gateway it serves
// callers, follows the operators' configuration and the targets' registrations in the store, and
// plans the roles of the engines. The path of a request reads this state through atomic pointers.
package node

import (
	"time"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/loadshare"
)

// Settings are the settings of a node. The settings that the platform gives the VM are in
// platform.Settings.
type Settings struct {
	LogLevel string `toml:"log_level"`
	// LogRate is the maximum number of log lines about requests per second. Lines beyond it are
	// dropped and counted.
	LogRate int `toml:"log_rate"`
	// SampleEvery is the sampling rate of requests that were answered in time: one in this many is
	// logged. All others are always logged.
	SampleEvery int `toml:"sample_one"`
	// PlanRoles reports whether the node plans the roles of engines.
	PlanRoles bool `toml:"plan_roles"`
	// PrefillShare is a fixed share of the engines that take the prefill role, in thousandths. With
	// 0 the share follows the demand.
	PrefillShare int `toml:"prefill_share"`
	// PrefillTokensPerMs is the speed of a prefill engine apart from attention until it is learned
	// from prefills, and PairsPerToken the number of token pairs whose attention takes as long as
	// the rest of the work for one token.
	PrefillTokensPerMs int `toml:"prefill_tokens_per_ms"`
	PairsPerToken      int `toml:"pairs_per_token"`
	// RegistrationInterval is the time between two reads of the registrations, and
	// ConfigurationWait the time that a read of the configuration waits for changes.
	RegistrationInterval time.Duration `toml:"registration_interval"`
	ConfigurationWait    time.Duration `toml:"configuration_wait"`
	// LoadDatagrams is the maximum number of datagrams per second with which a node tells others
	// about load. With fewer, or with more nodes, the load is known later.
	LoadDatagrams int `toml:"load_datagrams"`
	// RemoteByteCost is the cost of sending one byte to another data centre, as an equivalent delay
	// of the first token.
	RemoteByteCost time.Duration `toml:"remote_byte"`
	// BindTargets opens connections to targets from the address that the platform gives the VM. On a
	// VM with several addresses the routing table chooses one otherwise.
	BindTargets bool `toml:"bind_targets"`
	// Profiling serves profiles of the process beside its metrics.
	Profiling bool `toml:"profiling"`
	// GCPercent is the heap growth, in percent, that triggers a garbage collection.
	GCPercent int `toml:"gc_percent"`
}

// DefaultSettings returns the settings that apply where the settings file has no value.
func DefaultSettings() *Settings {
	return &Settings{
		LogLevel: "info", LogRate: 50, SampleEvery: 64, PlanRoles: true, PrefillTokensPerMs: 49, PairsPerToken: 55_000,
		RegistrationInterval: 600 * time.Millisecond, ConfigurationWait: 500 * time.Millisecond,
		LoadDatagrams:  loadshare.DefaultDatagramRate,
		RemoteByteCost: 12 * time.Microsecond, GCPercent: 100,
	}
}

// Validate implements daemon.Validator.
func (s *Settings) Validate(c *daemon.Checker) {
	c.OneOf("log_level", s.LogLevel, "debug", "info", "warning", "error")
	c.Int("log_rate", int64(s.LogRate), 0, 100_000)
	c.Int("sample_one", int64(s.SampleEvery), 1, 1_000_000)
	c.Int("prefill_share", int64(s.PrefillShare), 0, 1000)
	c.Int("prefill_tokens_per_ms", int64(s.PrefillTokensPerMs), 1, 100_000)
	c.Int("pairs_per_token", int64(s.PairsPerToken), 0, 1_000_000_000)
	c.Duration("registration_interval", s.RegistrationInterval, 50*time.Millisecond, 10*time.Second)
	c.Duration("configuration_wait", s.ConfigurationWait, 0, 30*time.Second)
	c.Int("load_datagrams", int64(s.LoadDatagrams), 10, 100_000)
	c.Duration("remote_byte", s.RemoteByteCost, 0, time.Millisecond)
	c.Int("gc_percent", int64(s.GCPercent), 10, 1000)
}
