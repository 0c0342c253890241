package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// Guards against a caller whose connection is reset by a refusal, because bytes of
// its request were not read: it may lose the answer (TestBadInput, large header,
// once beside other tests: write: connection reset by peer).
func TestRefusalsReachCallersThatStillSend(t *testing.T) {
	h := newHarness(t, nil, booked)
	for name, text := range map[string]string{
		"header": "GET /v1/services/book/x HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("a", 100_000) + "\r\n\r\n",
		"body":   "POST /v1/services/book/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("a", 100_000),
	} {
		conn, err := net.Dial("tcp4", h.address)
		assert.NilError(t, err)
		_, err = io.WriteString(conn, text)
		assert.NilError(t, err)
		answer, err := io.ReadAll(conn)
		assert.NilError(t, err, name)
		assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 4"), name)
		assert.NilError(t, conn.Close())
	}
}

// Guards against bad input that stops the daemon, reaches a target, or is
// refused without naming its field.
func TestBadInput(t *testing.T) {
	h := newHarness(t, func(ctx *fasthttp.RequestCtx) { generated(ctx, "a") }, booked)
	const complete = "/v1/completions"
	long := strings.Repeat("x", 300)
	for name, c := range map[string]struct {
		send   send
		status int
		field  string
	}{
		"no request id":       {send{"POST", complete, good, map[string]string{"X-Request-Id": ""}}, 400, "X-Request-Id"},
		"long request id":     {send{"POST", complete, good, map[string]string{"X-Request-Id": long}}, 400, "X-Request-Id"},
		"odd request id":      {send{"POST", complete, good, map[string]string{"X-Request-Id": "a b"}}, 400, "X-Request-Id"},
		"no workspace":        {send{"POST", complete, good, map[string]string{"X-Workspace": ""}}, 400, "X-Workspace"},
		"unknown workspace":   {send{"POST", complete, good, map[string]string{"X-Workspace": "other"}}, 403, "X-Workspace"},
		"no deadline":         {send{"POST", complete, good, map[string]string{"X-Deadline-Ms": ""}}, 400, "X-Deadline-Ms"},
		"negative deadline":   {send{"POST", complete, good, map[string]string{"X-Deadline-Ms": "-5"}}, 400, "X-Deadline-Ms"},
		"late deadline":       {send{"POST", complete, good, map[string]string{"X-Deadline-Ms": "600001"}}, 400, "X-Deadline-Ms"},
		"negative interval":   {send{"POST", complete, good, map[string]string{"X-Token-Interval-Ms": "-1"}}, 400, "X-Token-Interval-Ms"},
		"method":              {send{"GET", complete, "", nil}, 405, "method"},
		"no body":             {send{"POST", complete, "", nil}, 400, "body"},
		"malformed JSON":      {send{"POST", complete, `{"model":`, nil}, 400, "body"},
		"JSON array":          {send{"POST", complete, `[]`, nil}, 400, "body"},
		"two objects":         {send{"POST", complete, good + good, nil}, 400, "body"},
		"unknown field":       {send{"POST", complete, `{"model":"m","prompt":"p","max_tokens":2,"temprature":1}`, nil}, 400, "temprature"},
		"internal field":      {send{"POST", complete, `{"model":"m","prompt":"p","max_tokens":2,"Workspace":"x"}`, nil}, 400, "Workspace"},
		"wrong type":          {send{"POST", complete, `{"model":"m","prompt":"p","max_tokens":"2"}`, nil}, 400, "max_tokens"},
		"fraction":            {send{"POST", complete, `{"model":"m","prompt":"p","max_tokens":1.5}`, nil}, 400, "max_tokens"},
		"negative max_tokens": {send{"POST", complete, `{"model":"m","prompt":"p","max_tokens":-1}`, nil}, 400, "max_tokens"},
		"negative priority":   {send{"POST", complete, `{"model":"m","prompt":"p","max_tokens":1,"priority":-1}`, nil}, 400, "priority"},
		"no model":            {send{"POST", complete, `{"prompt":"p","max_tokens":1}`, nil}, 400, "model"},
		"long model":          {send{"POST", complete, `{"model":"` + long + `","prompt":"p","max_tokens":1}`, nil}, 400, "model"},
		"long adapter":        {send{"POST", complete, `{"model":"m","adapter":"` + long + `","prompt":"p","max_tokens":1}`, nil}, 400, "adapter"},
		"no prompt":           {send{"POST", complete, `{"model":"m","max_tokens":1}`, nil}, 400, "prompt"},
		"unknown model":       {send{"POST", complete, `{"model":"n","prompt":"p","max_tokens":1}`, nil}, 404, "model"},
		"oversized body":      {send{"POST", complete, strings.Repeat("x", 5<<10), nil}, 413, "body"},
		"unknown path":        {send{"GET", "/v2", "", nil}, 404, "path"},
		"no service":          {send{"GET", "/v1/services/", "", nil}, 400, "path"},
		"unknown service":     {send{"GET", "/v1/services/none/x", "", nil}, 404, "path"},
		"engine as service":   {send{"GET", "/v1/services/llm/x", "", nil}, 404, "path"},
		"order through call":  {send{"POST", "/v1/services/book/v1/orders", "", nil}, 400, "path"},
		"path to an order":    {send{"POST", "/v1/services/book/x/..%2f../v1/orders", "", nil}, 400, "path"},
		"path out of service": {send{"POST", "/v1/services/book/%2e%2e/llm/x", "", nil}, 400, "path"},
		"long key":            {send{"POST", "/v1/services/book/x", "", map[string]string{"Idempotency-Key": long}}, 400, "Idempotency-Key"},
		"long affinity key":   {send{"GET", "/v1/services/book/x", "", map[string]string{"X-Affinity-Key": long}}, 400, "X-Affinity-Key"},
		"large header":        {send{"GET", "/v1/services/book/x", "", map[string]string{"X-Large": strings.Repeat("x", 8<<10)}}, 431, "header"},
	} {
		t.Run(name, func(t *testing.T) {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			status, e, _ := h.do(t, client, c.send)
			assert.Equal(t, status, c.status)
			assert.Equal(t, e.Outcome, outcomeNotRun)
			assert.Equal(t, e.Field, c.field)
			assert.Assert(t, e.Message != "")
		})
	}
	status, _, body := h.do(t, http.DefaultClient, send{"POST", complete, good, nil})
	assert.Equal(t, status, 200)
	assert.Equal(t, body, `{"request_id":"r","text":"a","tokens":1,"complete":true}`)
}
