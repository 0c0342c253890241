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

// EngineFaults are the faults that can be set on one engine. A field that is
// not set leaves the engine as it is.
type EngineFaults struct {
	// CrashMs crashes the engine and refuses connections for that time.
	CrashMs int `json:"crash_ms,omitempty"`
	// Silent lets connections stay open while nothing moves.
	Unresponsive *bool `json:"silent,omitempty"`
	Leaving      *bool `json:"leaving,omitempty"`
	// ReportLagMs is how late load reports are.
	ReportLagMs *int `json:"report_lag_ms,omitempty"`
	// ChecksFencing says whether stale fencing numbers are refused.
	ChecksFencing *bool `json:"checks_fencing,omitempty"`
}

// PlainFaults are the faults that can be set on one instance of a plain
// service. A field that is not set leaves the instance as it is.
type PlainFaults struct {
	CrashMs      int   `json:"crash_ms,omitempty"`
	SlowMs       *int  `json:"slow_ms,omitempty"`
	Unresponsive *bool `json:"silent,omitempty"`
	Leaving      *bool `json:"leaving,omitempty"`
}

// errUnknownTarget reports a fault for a target that this process does not run.
var errUnknownTarget = errors.New("no such target in this process")

// fault serves POST /faults/log, /faults/engine/{id} and /faults/plain/{id}.
func (p *process) fault(ctx *fasthttp.RequestCtx, path string) {
	kind, id, _ := strings.Cut(path, "/")
	var err error
	switch kind {
	case "log":
		err = p.logFault(ctx.PostBody())
	case "engine":
		err = p.engineFault(id, ctx.PostBody())
	case "plain":
		err = p.plainFault(id, ctx.PostBody())
	default:
		err = fmt.Errorf("%s: %w", path, errUnknownTarget)
	}
	if err != nil {
		web.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	p.log.WithField("fault", path).WithField("value", string(ctx.PostBody())).Info("fault was set")
	web.Reply(ctx, struct{}{})
}

func (p *process) logFault(body []byte) error {
	if p.service == nil {
		return fmt.Errorf("log: %w", errUnknownTarget)
	}
	var f logservice.Faults
	if err := json.Unmarshal(body, &f); err != nil {
		return err
	}
	p.service.SetFaults(f)
	return nil
}

func (p *process) engineFault(id string, body []byte) error {
	r, ok := p.engines[id]
	if !ok {
		return fmt.Errorf("%s: %w", id, errUnknownTarget)
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

func (p *process) plainFault(id string, body []byte) error {
	i, ok := p.plain[id]
	if !ok {
		return fmt.Errorf("%s: %w", id, errUnknownTarget)
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
