package standins

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/standin/logservice"
	"github.com/lentilpick/lentilpick/standin/modelengine"
	"github.com/lentilpick/lentilpick/standin/web"
)

// EngineFaults are the faults that can be set on one engine. A field that is not
// set leaves the engine unchanged.
type EngineFaults struct {
	// CrashMs crashes the engine and refuses connections for that time in
	// milliseconds; 0 sets no crash.
	CrashMs int `json:"crash_ms,omitempty"`
	// Unresponsive stalls the engine: its connections stay open, but it neither
	// produces tokens nor responds.
	Unresponsive *bool `json:"silent,omitempty"`
	// Leaving makes the engine drain and refuse new work.
	Leaving *bool `json:"leaving,omitempty"`
	// ReportLagMs is the delay of load reports in milliseconds.
	ReportLagMs *int `json:"report_lag_ms,omitempty"`
	// ChecksFencing sets whether the engine refuses stale fencing numbers.
	ChecksFencing *bool `json:"checks_fencing,omitempty"`
}

// PlainFaults are the faults that can be set on one instance of a plain
// service. A field that is not set leaves the instance unchanged.
type PlainFaults struct {
	// CrashMs refuses connections for that time in milliseconds; 0 sets no crash.
	CrashMs int `json:"crash_ms,omitempty"`
	// SlowMs is added to the duration of each call, in milliseconds.
	SlowMs *int `json:"slow_ms,omitempty"`
	// Unresponsive makes the instance neither run calls nor respond.
	Unresponsive *bool `json:"silent,omitempty"`
	// Leaving makes the instance report that it is draining.
	Leaving *bool `json:"leaving,omitempty"`
}

// errNotRunning reports a fault for a stand-in that this process does not run.
var errNotRunning = errors.New("stand-in does not run in this process")

// handleFault serves POST /faults/log, /faults/engine/{id} and /faults/plain/{id}.
func (p *process) handleFault(ctx *fasthttp.RequestCtx, path string) {
	kind, id, _ := strings.Cut(path, "/")
	var err error
	switch kind {
	case "log":
		err = p.setLogFaults(ctx.PostBody())
	case "engine":
		err = p.setEngineFaults(id, ctx.PostBody())
	case "plain":
		err = p.setPlainFaults(id, ctx.PostBody())
	default:
		err = fmt.Errorf("%s: %w", path, errNotRunning)
	}
	if err != nil {
		web.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	p.log.WithField("fault", path).WithField("value", string(ctx.PostBody())).Info("fault set")
	web.Reply(ctx, struct{}{})
}

func (p *process) setLogFaults(body []byte) error {
	if p.logService == nil {
		return fmt.Errorf("log: %w", errNotRunning)
	}
	var f logservice.Faults
	if err := json.Unmarshal(body, &f); err != nil {
		return err
	}
	p.logService.SetFaults(f)
	return nil
}

func (p *process) setEngineFaults(id string, body []byte) error {
	r, ok := p.engines[id]
	if !ok {
		return fmt.Errorf("%s: %w", id, errNotRunning)
	}
	var f EngineFaults
	if err := json.Unmarshal(body, &f); err != nil {
		return err
	}
	if f.Unresponsive != nil {
		r.SetUnresponsive(*f.Unresponsive)
	}
	if f.ReportLagMs != nil {
		r.SetReportLag(time.Duration(*f.ReportLagMs) * time.Millisecond)
	}
	r.Do(func(e *modelengine.Engine, _ time.Time) []modelengine.Output {
		if f.Leaving != nil {
			e.SetLeaving(*f.Leaving)
		}
		if f.ChecksFencing != nil {
			e.SetChecksFencing(*f.ChecksFencing)
		}
		return nil
	})
	if f.CrashMs > 0 {
		p.endpoints[id].Crash(time.Duration(f.CrashMs) * time.Millisecond)
		r.Do(func(e *modelengine.Engine, _ time.Time) []modelengine.Output { return e.Crash() })
	}
	return nil
}

func (p *process) setPlainFaults(id string, body []byte) error {
	i, ok := p.instances[id]
	if !ok {
		return fmt.Errorf("%s: %w", id, errNotRunning)
	}
	var f PlainFaults
	if err := json.Unmarshal(body, &f); err != nil {
		return err
	}
	if f.SlowMs != nil {
		i.SetExtraDelay(time.Duration(*f.SlowMs) * time.Millisecond)
	}
	if f.Unresponsive != nil {
		i.SetUnresponsive(*f.Unresponsive)
	}
	if f.Leaving != nil {
		i.SetLeaving(*f.Leaving)
	}
	if f.CrashMs > 0 {
		p.endpoints[id].Crash(time.Duration(f.CrashMs) * time.Millisecond)
	}
	return nil
}
