// Package standins runs stand-ins for the platform and the targets in one process.
package standins

import (
	"time"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/standin/vmlist"
	"github.com/lentilpick/lentilpick/types"
)

// Settings configures a process that runs the platform, targets or both.
type Settings struct {
	LogLevel string `toml:"log_level"`
	// Control is the address of the HTTP interface that sets faults and returns counts.
	Control  string    `toml:"control"`
	Platform *Platform `toml:"platform"`
	// WeightStore is the address from which the engines read weights. If it is empty,
	// engines load models without reading weights.
	WeightStore string   `toml:"weight_store"`
	Engine      []Engine `toml:"engine"`
	Plain       []Plain  `toml:"plain"`
}

// Platform configures the stand-in for the platform's services. A rate or retention
// of 0 means no limit.
type Platform struct {
	Listen           string        `toml:"listen"`
	AppendsPerSecond int           `toml:"appends_per_second"`
	Retention        time.Duration `toml:"retention"`
	VMListLag        time.Duration `toml:"vm_list_lag"`
	WeightsPerMinute int           `toml:"weights_per_minute"`
	VM               []vmlist.VM   `toml:"vm"`
}

// Engine configures the stand-in for one model engine.
type Engine struct {
	ID            string            `toml:"id"`
	Listen        string            `toml:"listen"`
	Role          types.Role        `toml:"role"`
	Model         types.ModelID     `toml:"model"`
	Version       string            `toml:"version"`
	Adapters      []types.AdapterID `toml:"adapters"`
	ChecksFencing bool              `toml:"checks_fencing"`
	ReportLag     time.Duration     `toml:"report_lag"`
	ChangeTime    time.Duration     `toml:"change_time"`
	// EventLag is the delay of cache events. Every EventDropEvery-th event is dropped;
	// 0 drops none.
	EventLag       time.Duration `toml:"event_lag"`
	EventDropEvery int           `toml:"event_drop_every"`
	// IterationBase, DecodeCost, MaxStreams and KVTokens override the default
	// speed and size; 0 selects the default.
	IterationBase time.Duration `toml:"iteration_base"`
	DecodeCost    time.Duration `toml:"decode_cost"`
	MaxStreams    int           `toml:"max_streams"`
	KVTokens      int           `toml:"kv_tokens"`
}

// Plain configures the stand-in for one instance of a plain service. Instances of
// the same service share their orders.
type Plain struct {
	ID          string        `toml:"id"`
	Service     string        `toml:"service"`
	Listen      string        `toml:"listen"`
	ServiceTime time.Duration `toml:"service_time"`
}

// DefaultSettings returns the defaults, which a settings file can override.
func DefaultSettings() *Settings { return &Settings{LogLevel: "info"} }

// Validate implements daemon.Validator.
func (s *Settings) Validate(c *daemon.Checker) {
	c.OneOf("log_level", s.LogLevel, "debug", "info", "warning", "error")
	c.Loopback("control", s.Control)
	if p := s.Platform; p != nil {
		c.Loopback("platform.listen", p.Listen)
		c.Int("platform.appends_per_second", int64(p.AppendsPerSecond), 0, 1_000_000)
		c.Duration("platform.retention", p.Retention, 0, 365*24*time.Hour)
		c.Duration("platform.vm_list_lag", p.VMListLag, 0, time.Hour)
		c.Int("platform.weights_per_minute", int64(p.WeightsPerMinute), 0, 1_000_000)
	}
	if s.WeightStore != "" {
		c.Loopback("weight_store", s.WeightStore)
	}
	for _, e := range s.Engine {
		c.Name("engine.id", e.ID)
		c.Loopback("engine.listen", e.Listen)
		c.Duration("engine.report_lag", e.ReportLag, 0, time.Minute)
		c.Duration("engine.change_time", e.ChangeTime, 0, 10*time.Minute)
		c.Duration("engine.event_lag", e.EventLag, 0, time.Minute)
		c.Int("engine.event_drop_every", int64(e.EventDropEvery), 0, 1_000_000)
		c.Duration("engine.iteration_base", e.IterationBase, 0, time.Second)
		c.Duration("engine.decode_cost", e.DecodeCost, 0, time.Second)
		c.Int("engine.max_streams", int64(e.MaxStreams), 0, 1<<16)
		c.Int("engine.kv_tokens", int64(e.KVTokens), 0, 1<<30)
	}
	for _, p := range s.Plain {
		c.Name("plain.id", p.ID)
		c.Loopback("plain.listen", p.Listen)
		c.Duration("plain.service_time", p.ServiceTime, 0, time.Minute)
	}
}
