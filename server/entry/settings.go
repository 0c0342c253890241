// Package entry implements the entry daemon, the front end for callers: it parses and admits requests,
// routes them to targets and relays the responses.
package entry

import (
	"time"

	"github.com/lentilpick/lentilpick/daemon"
)

// Settings are the settings of the entry daemon.
type Settings struct {
	VM         string `toml:"vm"`
	DataCentre string `toml:"data_centre"`
	LogLevel   string `toml:"log_level"`
	// Listen is the address for callers, Metrics the address of the metrics endpoint.
	Listen  string `toml:"listen"`
	Metrics string `toml:"metrics"`
	// Control lists the addresses at which control daemons serve views, the local one first.
	Control []string `toml:"control"`
	// Reach lists the data centres whose targets the daemon uses. It includes the local one; empty
	// means all.
	Reach []string `toml:"reach"`
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes int `toml:"max_body_bytes"`
	// MaxInFlight bounds the requests in progress.
	MaxInFlight int `toml:"max_in_flight"`
	// WorkspaceInFlight bounds the requests in progress of a workspace with share 1.
	WorkspaceInFlight int `toml:"workspace_in_flight"`
	// MaxRetries bounds the retries of one idempotent request.
	MaxRetries int `toml:"max_retries"`
	// FailureBackoff is how long a target gets no requests after a failure. It grows with
	// consecutive failures.
	FailureBackoff time.Duration `toml:"failure_backoff"`
	// ProgressTimeout is the longest time without progress on a stream.
	ProgressTimeout time.Duration `toml:"progress_timeout"`
	// MaxAnswerTime bounds the duration of one response.
	MaxAnswerTime time.Duration `toml:"max_answer_time"`
	DialTimeout   time.Duration `toml:"dial_timeout"`
	// ConnectionIdle is the idle time after which a connection to a target is not reused.
	ConnectionIdle time.Duration `toml:"connection_idle"`
	// ConnectionAge is the maximum lifetime of a connection to a target.
	ConnectionAge time.Duration `toml:"connection_age"`
	// StopTimeout bounds a graceful shutdown.
	StopTimeout time.Duration `toml:"stop_timeout"`
}

// DefaultSettings returns the default values, which a settings file overrides.
func DefaultSettings() *Settings {
	return &Settings{
		LogLevel: "info", MaxBodyBytes: 4 << 20, MaxInFlight: 2048, WorkspaceInFlight: 512,
		MaxRetries: 3, FailureBackoff: time.Second, ProgressTimeout: 5 * time.Second,
		MaxAnswerTime: 10 * time.Minute, DialTimeout: 500 * time.Millisecond,
		ConnectionIdle: 5 * time.Second, ConnectionAge: 2 * time.Minute, StopTimeout: 30 * time.Second,
	}
}

// Validate implements daemon.Validator.
func (s *Settings) Validate(c *daemon.Checker) {
	c.Name("vm", s.VM)
	c.Name("data_centre", s.DataCentre)
	c.OneOf("log_level", s.LogLevel, "debug", "info", "warning", "error")
	c.Address("listen", s.Listen)
	c.Address("metrics", s.Metrics)
	c.Int("control (number of addresses)", int64(len(s.Control)), 1, 64)
	for _, a := range s.Control {
		c.Address("control", a)
	}
	if len(s.Reach) > 0 {
		c.OneOf("data_centre (not in reach)", s.DataCentre, s.Reach...)
	}
	c.Int("max_body_bytes", int64(s.MaxBodyBytes), 1<<10, 64<<20)
	c.Int("max_in_flight", int64(s.MaxInFlight), 1, 1<<16)
	c.Int("workspace_in_flight", int64(s.WorkspaceInFlight), 1, 1<<16)
	c.Int("max_retries", int64(s.MaxRetries), 0, 10)
	c.Duration("failure_backoff", s.FailureBackoff, 10*time.Millisecond, time.Minute)
	c.Duration("progress_timeout", s.ProgressTimeout, 100*time.Millisecond, time.Minute)
	c.Duration("max_answer_time", s.MaxAnswerTime, time.Second, time.Hour)
	c.Duration("dial_timeout", s.DialTimeout, 10*time.Millisecond, 10*time.Second)
	c.Duration("connection_idle", s.ConnectionIdle, 100*time.Millisecond, time.Minute)
	c.Duration("connection_age", s.ConnectionAge, time.Second, time.Hour)
	c.Duration("stop_timeout", s.StopTimeout, time.Second, 10*time.Minute)
}
