package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/server/localview"
	"github.com/lentilpick/lentilpick/types"
)

// streamEvent is one server-sent event to a caller. The last event has Done,
// or Error when the answer is not whole.
type streamEvent struct {
	RequestID types.RequestID `json:"request_id"`
	Index     int             `json:"index"`
	Text      string          `json:"text,omitempty"`
	Done      bool            `json:"done,omitempty"`
	Tokens    int             `json:"tokens,omitempty"`
	// Checksum is the XXH64 of all text in hexadecimal.
	Checksum string       `json:"checksum,omitempty"`
	Error    *errorDetail `json:"error,omitempty"`
}

type plainAnswer struct {
	RequestID types.RequestID `json:"request_id"`
	Text      string          `json:"text"`
	Tokens    int             `json:"tokens"`
	Complete  bool            `json:"complete"`
}

func (d *Daemon) handleCompletion(ctx *fasthttp.RequestCtx, now time.Time) {
	if !ctx.IsPost() {
		d.refuseInput(ctx, badInput("method", "expected POST"), fasthttp.StatusMethodNotAllowed)
		return
	}
	c, bad := parseCompletion(ctx, now)
	if bad != nil {
		d.refuseInput(ctx, bad, fasthttp.StatusBadRequest)
		return
	}
	x, o := d.startCompletion(c)
	if o != nil {
		d.counters.finished(o)
		refuse(c.ID, o).write(ctx)
		return
	}
	x.answer(ctx)
}

// answer writes the answer as the caller asked for it. A request that fails
// before its first token gets an error status.
func (x *exchange) answer(ctx *fasthttp.RequestCtx) {
	first := <-x.parts
	if _, ok := first.outcome.(types.Answered); first.outcome != nil && !ok {
		refuse(x.request.ID, first.outcome).write(ctx)
		return
	}
	ctx.Response.Header.Set("X-Request-Id", string(x.request.ID))
	if x.request.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { x.stream(w, first) })
		return
	}
	x.collect(ctx, first)
}

// startCompletion admits the request and starts its exchange on the pool.
func (d *Daemon) startCompletion(c *completion) (*exchange, types.Outcome) {
	v := d.views.Load()
	var a types.Attempt
	engines := v.Fleet.Engines(c.Model)
	if len(engines) == 0 {
		return nil, a.Refuse(types.RefusedUnknownModel)
	}
	service := engines[0].Service
	w, ticket, o := d.admit(v, c.Workspace, service, c.Priority, &a)
	if o != nil {
		return nil, o
	}
	x := newExchange(d, c, v, budgetOf(v, service))
	x.ticket, x.route.BudgetShare = ticket, ticket.BudgetShare
	x.release = func() { d.admission.Release(w.Admission) }
	if err := d.pool.Submit(x.run); err != nil {
		x.release()
		return nil, a.Refuse(types.RefusedPoolFull)
	}
	return x, nil
}

func budgetOf(v *localview.View, s types.ServiceID) *admission.RetryBudget {
	if b := v.Budgets[s]; b != nil {
		return b
	}
	return new(admission.RetryBudget)
}

// stream writes the parts as server-sent events, ending with the end marker or
// an error event.
func (x *exchange) stream(w *bufio.Writer, p part) {
	sum := xxhash.New()
	tokens := 0
	for ok := true; ok; p, ok = <-x.parts {
		e := streamEvent{RequestID: x.request.ID, Index: p.index, Text: p.text}
		switch p.outcome.(type) {
		case nil:
			_, _ = sum.WriteString(p.text)
			tokens += p.count
		case types.Answered:
			e.Index, e.Done, e.Tokens = tokens, true, tokens
			e.Checksum = fmt.Sprintf("%016x", sum.Sum64())
		default:
			detail := refuse(x.request.ID, p.outcome).detail
			e.Index, e.Error = tokens, &detail
		}
		if writeEvent(w, &e) != nil {
			close(x.gone)
			return
		}
	}
}

func writeEvent(w *bufio.Writer, e *streamEvent) error {
	b, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(b)
	_, _ = w.WriteString("\n\n")
	return w.Flush()
}

// collect sends the whole answer at its end; an answer that is not whole is an
// error.
func (x *exchange) collect(ctx *fasthttp.RequestCtx, p part) {
	var text strings.Builder
	tokens := 0
	end := x.attempt.Refuse(types.RefusedTargetFailed) // in case no outcome follows
	for ok := true; ok; p, ok = <-x.parts {
		text.WriteString(p.text)
		tokens += p.count
		if p.outcome != nil {
			end = p.outcome
		}
	}
	if _, whole := end.(types.Answered); !whole {
		refuse(x.request.ID, end).write(ctx)
		return
	}
	writeJSON(ctx, plainAnswer{RequestID: x.request.ID, Text: text.String(), Tokens: tokens, Complete: true})
}
