package logservice

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/standin/web"
)

const (
	maxBatchRecords = 1024
	maxReadRecords  = 4096
	maxReadWait     = 30 * time.Second
)

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type wireRecord struct {
	Offset int64  `json:"offset"`
	AtMs   int64  `json:"at_ms"`
	Data   []byte `json:"data"`
}

type readResponse struct {
	Oldest  int64        `json:"oldest"`
	Next    int64        `json:"next"`
	Records []wireRecord `json:"records,omitempty"`
}

// Handle serves /v1/streams/{stream}/records. It reports whether it handled the
// request.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) bool {
	rest, ok := strings.CutPrefix(string(ctx.Path()), "/v1/streams/")
	if !ok {
		return false
	}
	name, ok := strings.CutSuffix(rest, "/records")
	if !ok {
		return false
	}
	name, err := url.PathUnescape(name)
	if err != nil || name == "" {
		web.Fail(ctx, fasthttp.StatusBadRequest, "stream name is empty or not valid URL encoding")
		return true
	}
	if d := s.Delay(); d > 0 {
		web.Wait(d)
	}
	switch {
	case ctx.IsPost():
		s.handleAppend(ctx, name)
	case ctx.IsGet():
		s.handleRead(ctx, name)
	default:
		web.Fail(ctx, fasthttp.StatusMethodNotAllowed, "method is not allowed")
	}
	return true
}

func (s *Service) handleAppend(ctx *fasthttp.RequestCtx, name string) {
	var in appendRequest
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		web.Fail(ctx, fasthttp.StatusBadRequest, "records: "+err.Error())
		return
	}
	if len(in.Records) == 0 || len(in.Records) > maxBatchRecords {
		web.Fail(ctx, fasthttp.StatusBadRequest, "records: number is out of range, 1 to 1024 are allowed")
		return
	}
	first, lost, err := s.Append(name, in.Records)
	switch {
	case errors.Is(err, ErrOutage):
		web.Fail(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	case errors.Is(err, ErrRateLimited):
		web.Fail(ctx, fasthttp.StatusTooManyRequests, err.Error())
	case lost:
		_ = ctx.Conn().Close()
	default:
		web.Reply(ctx, map[string]int64{"first_offset": first})
	}
}

func (s *Service) handleRead(ctx *fasthttp.RequestCtx, name string) {
	args := ctx.QueryArgs()
	from := int64(args.GetUintOrZero("from"))
	limit := min(max(args.GetUintOrZero("max"), 1), maxReadRecords)
	wait := min(time.Duration(args.GetUintOrZero("wait_ms"))*time.Millisecond, maxReadWait)
	page, err := s.Read(context.Background(), name, from, limit, wait)
	out := readResponse{Oldest: page.Oldest, Next: page.Next}
	switch {
	case errors.Is(err, ErrOutage):
		web.Fail(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	case errors.Is(err, ErrExpired):
		web.Reply(ctx, out)
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	for _, r := range page.Records {
		out.Records = append(out.Records, wireRecord{Offset: r.Offset, AtMs: r.At.UnixMilli(), Data: r.Data})
	}
	web.Reply(ctx, out)
}
