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

type requestName struct {
	RequestID types.RequestID `json:"request_id"`
}

type importRequest struct {
	RequestID types.RequestID `json:"request_id"`
	KV
}

// kvTimeout bounds a KV transfer; the KV memory of one engine moves in 3 s at
// the default rate.
const kvTimeout = 30 * time.Second

func (s *Server) cancel(ctx *fasthttp.RequestCtx) {
	var in requestName
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

// exportKV answers once the KV cache of a request has been sent.
func (s *Server) exportKV(ctx *fasthttp.RequestCtx) {
	var in requestName
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

// importKV takes the KV cache of a request that another engine pushes and
// keeps it until the request arrives.
func (s *Server) importKV(ctx *fasthttp.RequestCtx) {
	var in importRequest
	err := json.Unmarshal(ctx.PostBody(), &in)
	if err != nil || in.RequestID == "" || in.PromptTokens < 1 || in.Produced < 0 {
		web.Fail(ctx, fasthttp.StatusBadRequest, "request_id, prompt_tokens or produced is not valid")
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

// fetchKV gives a job the KV cache that was pushed to this engine or that the
// source holds. A source that does not have it is an error; a job without a
// source and without a pushed cache is prefilled. Errors: ErrNoKV.
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
	body, err := json.Marshal(requestName{id})
	if err != nil {
		return KV{}, fmt.Errorf("%w: %w", ErrKVNotFound, err)
	}
	req.SetRequestURI("http://" + source + "/v1/kv/export")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(body)
	if err := s.peers.DoTimeout(req, resp, kvTimeout); err != nil {
		return KV{}, fmt.Errorf("%w: %w", ErrKVNotFound, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return KV{}, fmt.Errorf("source answered %d: %w", resp.StatusCode(), ErrKVNotFound)
	}
	var kv KV
	if err := json.Unmarshal(resp.Body(), &kv); err != nil || kv.PromptTokens < 1 {
		return KV{}, fmt.Errorf("%w: %w", ErrKVNotFound, errors.Join(err, errMalformedKV))
	}
	return kv, nil
}

var errMalformedKV = errors.New("answer of the source is not valid")
