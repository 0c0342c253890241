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

// streamEvent is one server-sent event to a caller. The last event has Done set, or Error if the
// response is incomplete.
type streamEvent struct {
	RequestID types.RequestID `json:"request_id"`
	Index     int             `json:"index"`
	Text      string          `json:"text,omitempty"`
	Done      bool            `json:"done,omitempty"`
	Tokens    int             `json:"tokens,omitempty"`
	// Checksum is the XXH64 hash of the complete text, as 16 hexadecimal digits.
	Checksum string       `json:"checksum,omitempty"`
	Error    *errorDetail `json:"error,omitempty"`
}

// completionResponse is the JSON body of a response that is not streamed.
type completionResponse struct {
	RequestID types.RequestID `json:"request_id"`
	Text      string          `json:"text"`
	Tokens    int             `json:"tokens"`
	Complete  bool            `json:"complete"`
}

func (d *Daemon) handleCompletion(ctx *fasthttp.RequestCtx, now time.Time) {
	if !ctx.IsPost() {
		d.refuseInput(ctx, newInputError("method", "expected POST"), fasthttp.StatusMethodNotAllowed)
		return
	}
	c, inputErr := parseCompletion(ctx, now)
	if inputErr != nil {
		d.refuseInput(ctx, inputErr, fasthttp.StatusBadRequest)
		return
	}
	x, o := d.startCompletion(c)
	if o != nil {
		d.counters.recordOutcome(o)
		newRefusal(c.ID, o).write(ctx)
		return
	}
	x.writeResponse(ctx)
}

// writeResponse writes the response as a stream or as one JSON object, as the caller requested. A
// request that fails before its first token gets an error status.
func (x *exchange) writeResponse(ctx *fasthttp.RequestCtx) {
	first, _ := x.nextPart()
	if _, ok := first.outcome.(types.Answered); first.outcome != nil && !ok {
		newRefusal(x.request.ID, first.outcome).write(ctx)
		return
	}
	ctx.Response.Header.Set("X-Request-Id", string(x.request.ID))
	if x.request.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { x.writeStream(w, first) })
		return
	}
	x.writeComplete(ctx, first)
}

// startCompletion admits the request and starts its exchange on the worker pool.
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
	x := newExchange(d, c, v, retryBudget(v, service))
	x.service = service
	x.ticket, x.route.BudgetShare = ticket, ticket.BudgetShare
	x.release = func() { d.admission.Release(w.Admission) }
	if err := d.pool.Submit(x.run); err != nil {
		x.release()
		return nil, a.Refuse(types.RefusedPoolFull)
	}
	return x, nil
}

func retryBudget(v *localview.View, s types.ServiceID) *admission.RetryBudget {
	if b := v.Budgets[s]; b != nil {
		return b
	}
	return new(admission.RetryBudget)
}

// writeStream writes the parts as server-sent events. The last event is the end marker or an error.
func (x *exchange) writeStream(w *bufio.Writer, p part) {
	checksum := xxhash.New()
	tokens := 0
	for ok := true; ok; p, ok = x.nextPart() {
		e := streamEvent{RequestID: x.request.ID, Index: p.index, Text: p.text}
		switch p.outcome.(type) {
		case nil:
			_, _ = checksum.WriteString(p.text)
			tokens += p.count
		case types.Answered:
			e.Index, e.Done, e.Tokens = tokens, true, tokens
			e.Checksum = fmt.Sprintf("%016x", checksum.Sum64())
		default:
			detail := newRefusal(x.request.ID, p.outcome).detail
			e.Index, e.Error = tokens, &detail
		}
		if writeEvent(w, &e) != nil {
			x.abandon()
			return
		}
		if p.outcome != nil {
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

// writeComplete buffers the response and writes it as one JSON object after the last part. It writes
// an error if the response is incomplete.
func (x *exchange) writeComplete(ctx *fasthttp.RequestCtx, p part) {
	var text strings.Builder
	tokens := 0
	outcome := x.attempt.Refuse(types.RefusedTargetFailed) // in case the parts end without an outcome
	for ok := true; ok; p, ok = x.nextPart() {
		text.WriteString(p.text)
		tokens += p.count
		if p.outcome != nil {
			outcome = p.outcome
			break
		}
	}
	if _, answered := outcome.(types.Answered); !answered {
		newRefusal(x.request.ID, outcome).write(ctx)
		return
	}
	writeJSON(ctx, completionResponse{RequestID: x.request.ID, Text: text.String(), Tokens: tokens, Complete: true})
}
