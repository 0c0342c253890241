package modelengine

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/standin/web"
	"github.com/lentilpick/lentilpick/types"
)

type requestRef struct {
	RequestID types.RequestID `json:"request_id"`
}

type importRequest struct {
	RequestID types.RequestID `json:"request_id"`
	KV
}

// kvTransferTimeout bounds a KV transfer. At the default rate an engine's full KV memory
// transfers in 3 s.
const kvTransferTimeout = 30 * time.Second

func (s *Server) cancel(ctx *fasthttp.RequestCtx) {
	var in requestRef
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		web.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if !s.runner.Cancel(in.RequestID) {
		web.Fail(ctx, fasthttp.StatusNotFound, "no such request")
		return
	}
	web.Reply(ctx, struct{}{})
}

// exportKV responds after the time that sending the KV cache of a request takes.
func (s *Server) exportKV(ctx *fasthttp.RequestCtx) {
	var in requestRef
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		web.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	var kv KV
	var took time.Duration
	var err error
	s.runner.Do(func(e *Engine, now time.Time) []Output {
		kv, err = e.KV(in.RequestID, now)
		took = e.TransferTime(kv)
		return nil
	})
	if err != nil {
		web.Fail(ctx, fasthttp.StatusNotFound, err.Error())
		return
	}
	web.Wait(took)
	web.Reply(ctx, kv)
}

// importKV accepts the KV cache of a request that another engine pushes and
// retains it for the request.
func (s *Server) importKV(ctx *fasthttp.RequestCtx) {
	var in importRequest
	err := json.Unmarshal(ctx.PostBody(), &in)
	if err != nil || in.RequestID == "" || in.PromptTokens < 1 || in.Produced < 0 {
		web.Fail(ctx, fasthttp.StatusBadRequest, "request_id is missing, or prompt_tokens or produced is out of range")
		return
	}
	var took time.Duration
	s.runner.Do(func(e *Engine, _ time.Time) []Output {
		took = e.TransferTime(in.KV)
		return nil
	})
	web.Wait(took)
	s.runner.Do(func(e *Engine, now time.Time) []Output {
		err = e.RetainKV(in.RequestID, in.KV, now)
		return nil
	})
	if err != nil {
		web.Fail(ctx, fasthttp.StatusInsufficientStorage, err.Error())
		return
	}
	web.Reply(ctx, struct{}{})
}

// fetchKV attaches to a job the KV cache that was pushed to this engine, or pulls
// it from the source. It fails if the source does not have the cache. A job with
// neither a pushed cache nor a source needs prefill. Errors: ErrKVNotFound.
func (s *Server) fetchKV(j *Job, source string) error {
	var kv KV
	var err error
	s.runner.Do(func(e *Engine, now time.Time) []Output {
		kv, err = e.TakeKV(j.ID, now)
		return nil
	})
	if err != nil {
		if source == "" {
			return nil
		}
		if kv, err = s.pullKV(source, j.ID); err != nil {
			return err
		}
	}
	j.HasKV = true
	j.PromptTokens = kv.PromptTokens
	j.CachedTokens = kv.PromptTokens
	return nil
}

func (s *Server) pullKV(source string, id types.RequestID) (KV, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body, err := json.Marshal(requestRef{id})
	if err != nil {
		return KV{}, fmt.Errorf("%w: %w", ErrKVNotFound, err)
	}
	req.SetRequestURI("http://" + source + "/v1/kv/export")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(body)
	if err := s.peers.DoTimeout(req, resp, kvTransferTimeout); err != nil {
		return KV{}, fmt.Errorf("%w: %w", ErrKVNotFound, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return KV{}, fmt.Errorf("KV source responded with status %d: %w", resp.StatusCode(), ErrKVNotFound)
	}
	var kv KV
	if err := json.Unmarshal(resp.Body(), &kv); err != nil || kv.PromptTokens < 1 {
		return KV{}, fmt.Errorf("%w: %w", ErrKVNotFound, errors.Join(err, errInvalidKVResponse))
	}
	return kv, nil
}

var errInvalidKVResponse = errors.New("response of the KV source is invalid")
