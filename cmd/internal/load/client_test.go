package load

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/standin/modelengine"
	"github.com/lentilpick/lentilpick/types"
)

// streamEvents returns the token events of a response to id with n tokens, and
// the matching end marker.
func streamEvents(id types.RequestID, n int) (events []string, end string) {
	var text strings.Builder
	for i := range n {
		token := modelengine.TokenText(id, i)
		text.WriteString(token)
		events = append(events, fmt.Sprintf(`data: {"request_id":%q,"index":%d,"text":%q}`, id, i, token))
	}
	end = fmt.Sprintf(`data: {"request_id":%q,"index":%d,"done":true,"tokens":%d,"checksum":"%016x"}`,
		id, n, n, xxhash.Sum64String(text.String()))
	return events, end
}

func complete(t *testing.T, status int, body string) Sample {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer s.Close()
	return NewClient().Complete(s.Listener.Addr().String(), &Completion{ID: "a", MaxTokens: 3, Deadline: time.Minute})
}

// Guards against a load client that accepts a truncated, altered or foreign
// response as complete: the demo would then never report a fault.
func TestOnlyCompleteResponsesCountAsAnswered(t *testing.T) {
	tokens, end := streamEvents("a", 3)
	other, otherEnd := streamEvents("b", 3)
	short, shortEnd := streamEvents("a", 2)
	all := strings.Join(tokens, "\n\n")
	cases := []struct {
		name   string
		status int
		body   string
		want   Result
	}{
		{"complete", 200, ": wait\n\n" + all + "\n\n" + end + "\n\n", Answered},
		{"no end marker", 200, all + "\n\n", Incomplete},
		{"token missing", 200, tokens[0] + "\n\n" + tokens[2] + "\n\n" + end + "\n\n", MixedUp},
		{"last token missing", 200, tokens[0] + "\n\n" + tokens[1] + "\n\n" + end + "\n\n", Incomplete},
		{"too few tokens", 200, strings.Join(short, "\n\n") + "\n\n" + shortEnd + "\n\n", Incomplete},
		{"wrong checksum", 200, all + "\n\n" + strings.Replace(end, `checksum":"`, `checksum":"f`, 1) + "\n\n", Incomplete},
		{"other request", 200, strings.Join(other, "\n\n") + "\n\n" + otherEnd + "\n\n", MixedUp},
		{"text of another request", 200, strings.ReplaceAll(strings.Join(other, "\n\n"), `"b"`, `"a"`) + "\n\n" + end + "\n\n", MixedUp},
		{"not run", 503, `{"error":{"outcome":"not_run","reason":"deadline"}}`, Refused},
		{"unknown", 504, `{"error":{"outcome":"unknown","reason":"target_failed"}}`, Incomplete},
		{"error without outcome", 500, `oops`, Incomplete},
		{"error after the first token", 200, tokens[0] + "\n\n" + `data: {"request_id":"a","error":{"outcome":"unknown","reason":"target_failed"}}` + "\n\n", Incomplete},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := complete(t, c.status, c.body)
			assert.Equal(t, s.Result, c.want, "reason %q", s.Reason)
		})
	}
}

// Guards against counting a response to another call as answered, and against
// counting a 404 of lentilpick as a response of the service.
func TestCallServiceChecksRequestID(t *testing.T) {
	cases := []struct {
		name, id, body string
		status         int
		want           Result
	}{
		{"same request", "a", "{}", 201, Answered},
		{"other request", "b", "{}", 201, MixedUp},
		{"no request ID", "", "{}", 200, MixedUp},
		{"404 of the service", "a", `{"error":"no such order"}`, 404, Answered},
		{"404 of lentilpick", "", `{"error":{"outcome":"not_run","reason":"unknown_service"}}`, 404, Refused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.id != "" {
					w.Header().Set("X-Request-Id", c.id)
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer s.Close()
			got, _, _ := NewClient().CallService(s.Listener.Addr().String(), &Call{ID: "a", Method: "GET", Path: "/x", Deadline: time.Minute})
			assert.Equal(t, got.Result, c.want, "reason %q", got.Reason)
		})
	}
}

// Guards against a retry on the VM that refused the request, and against a retry
// of a request that may have run.
func TestRetryOnlyRefusedRequestsOnOtherVM(t *testing.T) {
	g := NewGenerator(Spec{EntryAddresses: []string{"a", "b", "c"}})
	send := func(s Sample) []string {
		var vms []string
		g.sendBalanced(func(vm string) Sample {
			vms = append(vms, vm)
			return s
		})
		return vms
	}
	vms := send(Sample{Result: Refused, Reason: "stopping"})
	assert.Equal(t, len(vms), maxAttempts)
	assert.Assert(t, vms[0] != vms[1] && vms[1] != vms[2] && vms[0] != vms[2], "%v", vms)
	assert.Equal(t, len(send(Sample{Result: Refused, Reason: "connection_refused"})), maxAttempts)
	assert.Equal(t, len(send(Sample{Result: Refused, Reason: "deadline"})), 1)
	assert.Equal(t, len(send(Sample{Result: Incomplete, Reason: "stopping"})), 1)
}
