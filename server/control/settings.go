// Package control implements the control daemon. It follows the platform's log,
// serves the administration and peer APIs, contends for the lease of its data centre,
// sends orders to targets and decides claims of idempotency keys.
package control

import (
	"time"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/types"
)

// Settings are the settings of the control daemon.
type Settings struct {
	VM         string `toml:"vm"`
	DataCentre string `toml:"data_centre"`
	LogLevel   string `toml:"log_level"`
	// Listen is the address that entry daemons and peers connect to. It also serves
	// the metrics.
	Listen string `toml:"listen"`
	// Admin is the address of the administration API. It must be a loopback address
	// unless AdminToken or an operator is configured.
	Admin      string `toml:"admin"`
	AdminToken string `toml:"admin_token"`
	// Operators have their own tokens, in addition to AdminToken.
	Operators []Operator `toml:"operator"`
	// Platform is the address of the log service and the VM list.
	Platform string `toml:"platform"`
	// Peers are the other control daemons of the deployment.
	Peers []Peer `toml:"peer"`

	LeaseDuration time.Duration `toml:"lease_duration"`
	LeaseRenewal  time.Duration `toml:"lease_renewal"`
	// Quarantine is the time during which a new lease holder sends no orders to
	// targets that do not check fencing numbers.
	Quarantine time.Duration `toml:"quarantine"`
	// ReportInterval is the time between two load reports of a target.
	ReportInterval time.Duration `toml:"report_interval"`
	// OrderInterval is the time between two comparisons of a target's state
	// with its configuration.
	OrderInterval time.Duration `toml:"order_interval"`
	// VMListInterval is the time between two reads of the platform's list of VMs.
	VMListInterval time.Duration `toml:"vm_list_interval"`
	// MaxLoadOrders is the maximum number of targets of the data centre that change
	// their model or version at a time. The weight store limits its rate.
	MaxLoadOrders int `toml:"max_load_orders"`
	// KeyBatchPeriod is the time for which key records are collected into one append.
	KeyBatchPeriod time.Duration `toml:"key_batch"`
	// KeyWindow is how long a key is retained: at least idempotency.MinWindow and at
	// most half of LogRetention.
	KeyWindow time.Duration `toml:"key_window"`
	// KeyInProgressLimit is how long an attempt may be in progress before its outcome
	// counts as unknown.
	KeyInProgressLimit time.Duration `toml:"key_in_progress"`
	// LogRetention is how long the platform's log retains records.
	LogRetention time.Duration `toml:"log_retention"`
	StopTimeout  time.Duration `toml:"stop_timeout"`
	// MemoryLimitMB is the soft limit of the Go runtime in 10^6 bytes; it makes
	// the runtime return memory after a burst of changes.
	MemoryLimitMB int64 `toml:"memory_limit_mb"`
}

// Operator is a caller of the administration API.
type Operator struct {
	Name  string `toml:"name"`
	Token string `toml:"token"`
	// Workspaces are the workspaces that the operator may change. If empty, the
	// operator may change everything, including services and targets.
	Workspaces []string `toml:"workspaces"`
}

// AdminOperator is the operator name recorded for changes made with AdminToken.
const AdminOperator = "admin"

// Peer is another control daemon.
type Peer struct {
	VM         string `toml:"vm"`
	DataCentre string `toml:"data_centre"`
	Address    string `toml:"address"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() *Settings {
	return &Settings{
		LogLevel: "info", LeaseDuration: 6 * time.Second, LeaseRenewal: 2 * time.Second,
		Quarantine: 2 * time.Minute, ReportInterval: time.Second, OrderInterval: 500 * time.Millisecond, MaxLoadOrders: 4,
		VMListInterval: 2 * time.Second, KeyBatchPeriod: 100 * time.Millisecond, KeyWindow: time.Hour, KeyInProgressLimit: time.Minute,
		LogRetention: 24 * time.Hour, StopTimeout: 10 * time.Second,
		MemoryLimitMB: 48,
	}
}

// Validate implements daemon.Validator.
func (s *Settings) Validate(c *daemon.Checker) {
	c.Name("vm", s.VM)
	c.Name("data_centre", s.DataCentre)
	c.OneOf("log_level", s.LogLevel, "debug", "info", "warning", "error")
	c.Address("listen", s.Listen)
	c.Address("platform", s.Platform)
	s.checkOperators(c)
	if s.AdminToken == "" && len(s.Operators) == 0 {
		c.Loopback("admin", s.Admin)
	} else {
		c.Address("admin", s.Admin)
	}
	for _, p := range s.Peers {
		c.Name("peer.vm", p.VM)
		c.Name("peer.data_centre", p.DataCentre)
		c.Address("peer.address", p.Address)
	}
	c.Duration("lease_duration", s.LeaseDuration, 500*time.Millisecond, time.Minute)
	c.Duration("lease_renewal", s.LeaseRenewal, 100*time.Millisecond, s.LeaseDuration/2)
	c.Duration("quarantine", s.Quarantine, s.LeaseDuration, time.Hour)
	c.Duration("report_interval", s.ReportInterval, 50*time.Millisecond, 2*time.Second)
	c.Duration("order_interval", s.OrderInterval, 50*time.Millisecond, time.Minute)
	c.Duration("vm_list_interval", s.VMListInterval, 100*time.Millisecond, time.Minute)
	c.Int("max_load_orders", int64(s.MaxLoadOrders), 1, 1024)
	c.Duration("key_batch", s.KeyBatchPeriod, 10*time.Millisecond, time.Second)
	c.Duration("log_retention", s.LogRetention, time.Second, 365*24*time.Hour)
	c.Duration("key_window", s.KeyWindow, idempotency.MinWindow, s.LogRetention/2)
	c.Duration("key_in_progress", s.KeyInProgressLimit, time.Second, s.KeyWindow)
	c.Int("memory_limit_mb", s.MemoryLimitMB, 16, 65_536)
	c.Duration("stop_timeout", s.StopTimeout, time.Second, 10*time.Minute)
}

// checkOperators checks the names and tokens of operators. Error messages contain the
// operator's name and never a token.
func (s *Settings) checkOperators(c *daemon.Checker) {
	names, tokens := map[string]bool{AdminOperator: true}, map[string]bool{s.AdminToken: true, "": true}
	for _, o := range s.Operators {
		c.Name("operator.name", o.Name)
		if names[o.Name] {
			c.OneOf("operator.name", o.Name, "a unique name other than "+AdminOperator)
		}
		if tokens[o.Token] {
			c.OneOf("operator.token", "of operator "+o.Name, "a unique, non-empty token")
		}
		for _, w := range o.Workspaces {
			c.Name("operator.workspaces", w)
		}
		names[o.Name], tokens[o.Token] = true, true
	}
}

func (s *Settings) leaseSettings(incarnation string) authority.Settings {
	return authority.Settings{
		DataCentre: types.DataCentreID(s.DataCentre),
		Self:       authority.Holder{VM: vmID(s.VM), Incarnation: incarnation},
		Duration:   s.LeaseDuration, RenewInterval: s.LeaseRenewal,
		Margin: authority.MarginFor(s.LeaseDuration), Quarantine: s.Quarantine,
	}
}
