package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/idempotency"
)

// blockingKeys is a KeyService whose claims wait until they are cancelled or release is closed.
type blockingKeys struct {
	keyStub
	claimed, release chan struct{}
}

func (k *blockingKeys) Claim(ctx context.Context, _ idempotency.Key, _ string, _ uint64) (idempotency.Verdict, *idempotency.Response, error) {
	close(k.claimed)
	select {
	case <-k.release:
		return idempotency.VerdictRun, nil, nil
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
}

// Guards against requests that a stop ends with a closed connection instead of an outcome.
func TestRequestsInProgressAtStopTimeoutGetAnOutcome(t *testing.T) {
	const complete = `{"model":"m","prompt":"p","max_tokens":2}`
	stream := strings.Replace(complete, "}", `,"stream":true}`, 1)
	for name, c := range map[string]struct {
		path, body, key string
		tokens          string // that the engine sends before it goes silent
		claimWaits      bool
		status          int
		outcome         string
		end             idempotency.Kind
	}{
		"call":               {path: "/v1/services/book/x", status: 504, outcome: outcomeUnknown},
		"keyed call":         {path: "/v1/services/book/x", key: "k", status: 504, outcome: outcomeUnknown, end: idempotency.KindUnknown},
		"claim":              {path: "/v1/services/book/x", key: "k", claimWaits: true, status: 503, outcome: outcomeNotRun, end: idempotency.KindReleased},
		"complete response":  {path: "/v1/completions", body: complete, tokens: "a", status: 504, outcome: outcomeUnknown},
		"before first token": {path: "/v1/completions", body: stream, status: 504, outcome: outcomeUnknown},
		"stream":             {path: "/v1/completions", body: stream, tokens: "a", status: 200, outcome: outcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started, finish := make(chan struct{}), make(chan struct{})
			t.Cleanup(func() { close(finish) })
			h := newHarness(t, func(ctx *fasthttp.RequestCtx) {
				ctx.SetContentType("text/event-stream")
				ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
					if c.tokens != "" {
						_, _ = io.WriteString(w, "data: {\"request_id\":\"r\",\"index\":0,\"count\":1,\"text\":\"a\"}\n\n")
					}
					_ = w.Flush()
					close(started)
					<-finish
				})
			}, func(*fasthttp.RequestCtx) {
				close(started)
				<-finish
			})
			ends := make(chan idempotency.Kind, 1)
			h.keys = &keyStub{verdict: idempotency.VerdictRun, ends: ends}
			if c.claimWaits {
				h.keys = &blockingKeys{keyStub: keyStub{ends: ends}, claimed: started}
			}
			h.settings.StopTimeout = time.Second
			stopped := make(chan error, 1)
			go func() {
				<-started
				stopped <- h.stop(h.server)
			}()
			status, e, body := h.do(t, &http.Client{Timeout: 3 * time.Second}, testRequest{"POST", c.path, c.body,
				map[string]string{"Idempotency-Key": c.key, "X-Deadline-Ms": "60000"}})
			if status == 200 {
				events := strings.Split(strings.TrimSpace(body), "\n\n")
				var last streamEvent
				assert.NilError(t, json.Unmarshal([]byte(strings.TrimPrefix(events[len(events)-1], "data: ")), &last), body)
				assert.Assert(t, last.Error != nil && !last.Done, body)
				e = *last.Error
				assert.Equal(t, last.Index, 1)
			}
			assert.Equal(t, status, c.status)
			assert.Equal(t, e.Outcome, c.outcome)
			assert.Equal(t, e.Reason, "stopping")
			assert.NilError(t, <-stopped)
			if c.end != "" {
				assert.Equal(t, <-ends, c.end)
			}
		})
	}
}
