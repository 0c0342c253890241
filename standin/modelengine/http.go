package modelengine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/standin/web"
	"github.com/lentilpick/lentilpick/types"
)

const maxTokensPerRequest = 1 << 16

type generateRequest struct {
	RequestID   types.RequestID `json:"request_id"`
	Model       types.ModelID   `json:"model"`
	Adapter     types.AdapterID `json:"adapter"`
	Prompt      string          `json:"prompt"`
	MaxTokens   int             `json:"max_tokens"`
	Priority    int             `json:"priority"`
	ResumeFrom  int             `json:"resume_from"`
	KVSource    string          `json:"kv_source"`
	PrefillOnly bool            `json:"prefill_only"`
}

type event struct {
	RequestID    types.RequestID `json:"request_id"`
	Index        int             `json:"index"`
	Count        int             `json:"count,omitempty"`
	Text         string          `json:"text,omitempty"`
	Done         bool            `json:"done,omitempty"`
	Tokens       int             `json:"tokens,omitempty"`
	Checksum     string          `json:"checksum,omitempty"`
	PromptTokens int             `json:"prompt_tokens,omitempty"`
	CachedTokens int             `json:"cached_tokens,omitempty"`
}

type reportResponse struct {
	Sequence             uint64            `json:"sequence"`
	AgeMs                int64             `json:"age_ms"`
	Role                 *types.Role       `json:"role,omitempty"`
	Model                types.ModelID     `json:"model,omitempty"`
	Version              string            `json:"version,omitempty"`
	Adapters             []types.AdapterID `json:"adapters,omitempty"`
	DescriptionUnchanged bool              `json:"same,omitempty"`
	QueuedPrefillTokens  int               `json:"queued_prefill_tokens"`
	DecodeStreams        int               `json:"decode_streams"`
	Running              int               `json:"running"`
	KVFreeTokens         int               `json:"kv_free_tokens"`
	Leaving              bool              `json:"leaving,omitempty"`
	Changing             bool              `json:"changing,omitempty"`
}

type stateResponse struct {
	Role            types.Role          `json:"role"`
	Model           types.ModelID       `json:"model"`
	Version         string              `json:"version"`
	Adapters        []types.AdapterID   `json:"adapters,omitempty"`
	HighestFence    types.FencingNumber `json:"highest_fence"`
	OrderInProgress string              `json:"order_in_progress,omitempty"`
	Running         int                 `json:"running"`
	Leaving         bool                `json:"leaving"`
}

// Server is the HTTP front end of one engine.
type Server struct {
	runner *Runner
	peers  *fasthttp.Client
}

// NewServer returns an HTTP front end for a runner.
func NewServer(r *Runner) *Server {
	return &Server{runner: r, peers: &fasthttp.Client{Name: "modelengine", MaxIdemponentCallAttempts: 1}}
}

// Handle serves the engine's protocol. While the engine is unresponsive, requests
// wait.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	select {
	case <-s.runner.Responsive():
	case <-s.runner.stop:
		return
	}
	switch string(ctx.Path()) {
	case "/v1/completions":
		s.generate(ctx)
	case "/v1/cancel":
		s.cancel(ctx)
	case "/v1/kv/export":
		s.exportKV(ctx)
	case "/v1/kv/import":
		s.importKV(ctx)
	case "/v1/events":
		web.Reply(ctx, s.runner.Events(uint64(ctx.QueryArgs().GetUintOrZero("after"))))
	case "/v1/report":
		s.report(ctx)
	case "/v1/report/stream":
		s.reportStream(ctx)
	case "/v1/state":
		s.state(ctx)
	case "/v1/orders":
		s.order(ctx)
	default:
		web.Fail(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// TokenText returns the text of one token. It depends only on the request and the
// position, so that a resumed response equals an uninterrupted one and tokens of
// another request are detected.
func TokenText(id types.RequestID, index int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64String(string(id))), index)
}

func (s *Server) generate(ctx *fasthttp.RequestCtx) {
	var in generateRequest
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		web.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if in.RequestID == "" || in.MaxTokens < 1 || in.MaxTokens > maxTokensPerRequest || in.ResumeFrom < 0 || in.ResumeFrom >= in.MaxTokens {
		web.Fail(ctx, fasthttp.StatusBadRequest, "request_id is missing, or max_tokens or resume_from is out of range")
		return
	}
	j := &Job{
		ID: in.RequestID, PromptTokens: types.EstimateTokens(len(in.Prompt)), Blocks: promptBlocks(in.Prompt),
		MaxTokens: in.MaxTokens, Priority: in.Priority, Produced: in.ResumeFrom, PrefillOnly: in.PrefillOnly,
	}
	if err := s.fetchKV(j, in.KVSource); err != nil {
		web.Fail(ctx, fasthttp.StatusFailedDependency, err.Error())
		return
	}
	out, err := s.runner.Submit(j, in.Model, in.Adapter)
	if err != nil {
		web.Fail(ctx, submitStatus(err), err.Error())
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("X-Request-Id", string(in.RequestID))
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.writeOutputs(w, j, in.ResumeFrom, out) })
}

func submitStatus(err error) int {
	switch {
	case errors.Is(err, ErrModelNotLoaded):
		return fasthttp.StatusNotFound
	case errors.Is(err, ErrRequestTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	}
	return fasthttp.StatusServiceUnavailable
}

// keepAliveInterval is the interval of the comment lines sent to a client while its
// request has no token yet.
const keepAliveInterval = time.Second

// nextOutput returns the next output of a job. While queued it sends comment lines,
// so that the client can distinguish a queued request from an unresponsive engine.
func (s *Server) nextOutput(w *bufio.Writer, out <-chan Output, queued bool) (Output, bool) {
	if !queued {
		o, ok := <-out
		return o, ok
	}
	tick := time.NewTicker(keepAliveInterval)
	defer tick.Stop()
	for {
		select {
		case o, ok := <-out:
			return o, ok
		case <-tick.C:
			<-s.runner.Responsive()
			_, _ = w.WriteString(": wait\n\n")
			if w.Flush() != nil {
				return Output{}, false
			}
		}
	}
}

// writeOutputs writes the outputs of a job as events, starting with the token at index.
func (s *Server) writeOutputs(w *bufio.Writer, j *Job, index int, out <-chan Output) {
	defer s.runner.Drop(j) // has no effect on a job that has ended
	sum := xxhash.New()
	if w.Flush() != nil { // sends the header before the first token
		return
	}
	for queued := true; ; queued = false {
		o, ok := s.nextOutput(w, out, queued)
		if !ok || o.Interrupted {
			return // without an end marker, which the client detects as a truncated response
		}
		if o.Tokens > 0 {
			text := TokenText(j.ID, index)
			_, _ = sum.WriteString(text)
			writeEvent(w, &event{RequestID: j.ID, Index: index, Count: o.Tokens, Text: text})
			index += o.Tokens
		}
		if o.Done {
			writeEvent(w, &event{
				RequestID: j.ID, Index: index, Done: true, Tokens: index,
				Checksum: fmt.Sprintf("%016x", sum.Sum64()), PromptTokens: j.PromptTokens, CachedTokens: j.CachedTokens,
			})
		}
		if w.Flush() != nil || o.Done {
			return
		}
	}
}

func writeEvent(w *bufio.Writer, e *event) {
	b, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(b)
	_, _ = w.WriteString("\n\n")
}

func (s *Server) report(ctx *fasthttp.RequestCtx) { web.Reply(ctx, s.currentReport()) }

func (s *Server) currentReport() *reportResponse {
	r, age := s.runner.Report()
	return &reportResponse{
		Sequence: r.Sequence, AgeMs: age.Milliseconds(), Role: &r.Role, Model: r.Model, Version: r.Version,
		Adapters: r.Adapters, QueuedPrefillTokens: r.QueuedPrefillTokens, DecodeStreams: r.DecodeStreams,
		Running: r.Running, KVFreeTokens: r.KVFreeTokens, Leaving: r.Leaving, Changing: r.Changing,
	}
}

// reportStream sends a load report each interval. It omits role, model, version
// and adapters while they equal those of the previous report.
func (s *Server) reportStream(ctx *fasthttp.RequestCtx) {
	var last *reportResponse
	web.Stream(ctx, func() any {
		r := s.currentReport()
		out := *r
		if last != nil && r.sameDescription(last) {
			out.DescriptionUnchanged, out.Role, out.Model, out.Version, out.Adapters = true, nil, "", "", nil
		}
		last = r
		return &out
	})
}

func (r *reportResponse) sameDescription(o *reportResponse) bool {
	return *r.Role == *o.Role && r.Model == o.Model && r.Version == o.Version && slices.Equal(r.Adapters, o.Adapters)
}

func (s *Server) state(ctx *fasthttp.RequestCtx) {
	var out stateResponse
	s.runner.Do(func(e *Engine, now time.Time) []Output {
		d := e.Description()
		out = stateResponse{
			Role: d.Role, Model: d.Model, Version: d.Version, Adapters: d.Adapters,
			HighestFence: e.HighestFence(), OrderInProgress: e.OrderInProgress(now),
			Running: e.Running(), Leaving: e.Leaving(),
		}
		return nil
	})
	web.Reply(ctx, out)
}

func (s *Server) order(ctx *fasthttp.RequestCtx) {
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		web.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if err := s.runner.Order(o); err != nil {
		web.Fail(ctx, fasthttp.StatusConflict, err.Error())
		return
	}
	web.Reply(ctx, struct{}{})
}
