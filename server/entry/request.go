package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/types"
)

// Limits on a caller's request.
const (
	maxIDBytes      = 128
	maxKeyBytes     = 256
	maxOutputTokens = 65_536
	maxDeadlineMs   = 600_000
	maxPriority     = 9
)

// inputError names the field that makes a request invalid.
type inputError struct {
	Field   string
	Message string
}

// Error implements error.
func (e *inputError) Error() string { return e.Field + ": " + e.Message }

func newInputError(field, format string, args ...any) *inputError {
	return &inputError{Field: field, Message: fmt.Sprintf(format, args...)}
}

// header holds the values of the HTTP headers that every request has.
type header struct {
	ID        types.RequestID
	Workspace types.WorkspaceID
	Arrived   time.Time
	// Deadline is when the first token, or the response of a plain service, is due.
	Deadline time.Time
	// TokenInterval is the longest acceptable time between two tokens; 0 means no limit.
	TokenInterval time.Duration
}

// completionBody is the JSON body of a completion request.
type completionBody struct {
	Model     types.ModelID   `json:"model"`
	Adapter   types.AdapterID `json:"adapter"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Priority  int             `json:"priority"`
}

// completion is a parsed completion request.
type completion struct {
	header
	completionBody
}

// call is a parsed call of a plain service.
type call struct {
	header
	Service     types.ServiceID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Key         string
	Affinity    string
	Class       types.RequestClass
}

func parseHeader(ctx *fasthttp.RequestCtx, now time.Time) (header, *inputError) {
	h := header{Arrived: now}
	id, err := headerText(ctx, "X-Request-Id", maxIDBytes)
	if err != nil {
		return h, err
	}
	ws, err := headerText(ctx, "X-Workspace", maxIDBytes)
	if err != nil {
		return h, err
	}
	ms, err := headerMillis(ctx, "X-Deadline-Ms", true)
	if err != nil {
		return h, err
	}
	interval, err := headerMillis(ctx, "X-Token-Interval-Ms", false)
	if err != nil {
		return h, err
	}
	h.ID, h.Workspace = types.RequestID(id), types.WorkspaceID(ws)
	h.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	h.TokenInterval = time.Duration(interval) * time.Millisecond
	return h, nil
}

// headerText returns the value of a required HTTP header of at most limit bytes of printable ASCII.
func headerText(ctx *fasthttp.RequestCtx, field string, limit int) (string, *inputError) {
	v := string(ctx.Request.Header.Peek(field))
	if v == "" {
		return "", newInputError(field, "is missing")
	}
	return v, checkText(field, v, limit)
}

func checkText(field, v string, limit int) *inputError {
	if len(v) > limit {
		return newInputError(field, "is %d bytes long, at most %d are allowed", len(v), limit)
	}
	if strings.ContainsFunc(v, func(r rune) bool { return r < 0x21 || r > 0x7e }) {
		return newInputError(field, "contains a character other than printable ASCII")
	}
	return nil
}

// headerMillis returns the value of an HTTP header in milliseconds, or 0 if it is missing and not
// required.
func headerMillis(ctx *fasthttp.RequestCtx, field string, required bool) (int64, *inputError) {
	v := string(ctx.Request.Header.Peek(field))
	if v == "" && !required {
		return 0, nil
	}
	if v == "" {
		return 0, newInputError(field, "is missing")
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 1 || n > maxDeadlineMs {
		return 0, newInputError(field, "%.40q is not a number of milliseconds from 1 to %d", v, maxDeadlineMs)
	}
	return n, nil
}

func parseCompletion(ctx *fasthttp.RequestCtx, now time.Time) (*completion, *inputError) {
	h, err := parseHeader(ctx, now)
	if err != nil {
		return nil, err
	}
	c := &completion{header: h}
	if err := decodeBody(ctx.PostBody(), &c.completionBody); err != nil {
		return nil, err
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return c, nil
}

func (b *completionBody) validate() *inputError {
	switch {
	case b.Model == "":
		return newInputError("model", "is missing")
	case b.Prompt == "":
		return newInputError("prompt", "is missing")
	case b.MaxTokens < 1 || b.MaxTokens > maxOutputTokens:
		return newInputError("max_tokens", "%d is outside 1 to %d", b.MaxTokens, maxOutputTokens)
	case b.Priority < 0 || b.Priority > maxPriority:
		return newInputError("priority", "%d is outside 0 to %d", b.Priority, maxPriority)
	}
	if err := checkText("model", string(b.Model), maxIDBytes); err != nil {
		return err
	}
	return checkText("adapter", string(b.Adapter), maxIDBytes)
}

// decodeBody decodes a single JSON value. Unknown fields and trailing data are errors.
func decodeBody(data []byte, v any) *inputError {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return jsonError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return newInputError("body", "has data after the JSON object")
	}
	return nil
}

// unknownFieldPrefix is the start of the message of encoding/json for an unknown field. The package
// has no error type for it.
const unknownFieldPrefix = "json: unknown field "

// jsonError converts an error of encoding/json. It names the field that failed to decode if the error
// does, otherwise the body.
func jsonError(err error) *inputError {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return newInputError(typeErr.Field, "a JSON %s is not a %s", typeErr.Value, typeErr.Type)
	}
	if name, ok := strings.CutPrefix(err.Error(), unknownFieldPrefix); ok {
		return newInputError(strings.Trim(name, `"`), "is not a known field")
	}
	return newInputError("body", "is not a valid JSON object: %s", err)
}

const servicePrefix = "/v1/services/"

// reservedPaths are the paths of the protocol between control daemons and targets; callers must not
// reach them.
var reservedPaths = []string{"/v1/orders", "/v1/state", "/v1/report", "/v1/events", "/v1/cancel", "/v1/kv"}

func parseCall(ctx *fasthttp.RequestCtx, now time.Time) (*call, *inputError) {
	h, err := parseHeader(ctx, now)
	if err != nil {
		return nil, err
	}
	c := &call{
		header: h, Method: string(ctx.Method()),
		ContentType: string(ctx.Request.Header.ContentType()), Body: bytes.Clone(ctx.PostBody()),
		Key:      string(ctx.Request.Header.Peek("Idempotency-Key")),
		Affinity: string(ctx.Request.Header.Peek("X-Affinity-Key")),
	}
	if err := c.parsePath(ctx); err != nil {
		return nil, err
	}
	if err := checkText("Idempotency-Key", c.Key, maxKeyBytes); err != nil {
		return nil, err
	}
	if err := checkText("X-Affinity-Key", c.Affinity, maxKeyBytes); err != nil {
		return nil, err
	}
	c.Class = requestClass(c)
	return c, nil
}

// parsePath splits the path into the service and the path at the target. The latter is forwarded in
// the encoding of the caller.
func (c *call) parsePath(ctx *fasthttp.RequestCtx) *inputError {
	rest, ok := strings.CutPrefix(string(ctx.URI().PathOriginal()), servicePrefix)
	service, path, found := strings.Cut(rest, "/")
	if !ok || !found || service == "" {
		return newInputError("path", "expected %s{service}/{path}", servicePrefix)
	}
	if err := checkText("path", service, maxIDBytes); err != nil {
		return err
	}
	c.Service, c.Path = types.ServiceID(service), "/"+path
	normalized := c.normalizedPath()
	if string(ctx.Path()) != servicePrefix+service+normalized || isReserved(normalized) {
		return newInputError("path", "%.80q is not a path of the service", c.Path)
	}
	if q := ctx.QueryArgs().QueryString(); len(q) > 0 {
		c.Path += "?" + string(q)
	}
	return nil
}

// normalizedPath returns the path as the target interprets it: decoded, without dot segments.
func (c *call) normalizedPath() string {
	var u fasthttp.URI
	u.SetPath(c.Path)
	return string(u.Path())
}

func isReserved(path string) bool {
	for _, p := range reservedPaths {
		if path == p || strings.HasPrefix(path, p+"/") {
			return true
		}
	}
	return false
}

func requestClass(c *call) types.RequestClass {
	switch {
	case c.Key != "":
		return types.ClassKeyed
	case c.Method == fasthttp.MethodGet || c.Method == fasthttp.MethodHead:
		return types.ClassIdempotent
	}
	return types.ClassUnkeyed
}
