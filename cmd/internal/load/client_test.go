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

// answer returns the events of an answer to id with n tokens and a valid end.
func answer(id types.RequestID, n int) (events []string, end string) {
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

// Guards against a load client that takes a cut, altered or foreign answer for
// a whole one: the demo would then report no fault whatever happens.
func TestOnlyWholeAnswersCount(t *testing.T) {
	own, end := answer("a", 3)
	other, otherEnd := answer("b", 3)
	short, shortEnd := answer("a", 2)
	all := strings.Join(own, "\n\n")
	cases := []struct {
		name   string
		status int
		body   string
		want   Result
	}{
		{"whole", 200, ": wait\n\n" + all + "\n\n" + end + "\n\n", Answered},
		{"no end marker", 200, all + "\n\n", Cut},
		{"token lost", 200, own[0] + "\n\n" + own[2] + "\n\n" + end + "\n\n", MixedUp},
		{"last token lost", 200, own[0] + "\n\n" + own[1] + "\n\n" + end + "\n\n", Cut},
		{"too few tokens", 200, strings.Join(short, "\n\n") + "\n\n" + shortEnd + "\n\n", Cut},
		{"wrong checksum", 200, all + "\n\n" + strings.Replace(end, `checksum":"`, `checksum":"f`, 1) + "\n\n", Cut},
		{"other request", 200, strings.Join(other, "\n\n") + "\n\n" + otherEnd + "\n\n", MixedUp},
		{"text of another request", 200, strings.ReplaceAll(strings.Join(other, "\n\n"), `"b"`, `"a"`) + "\n\n" + end + "\n\n", MixedUp},
		{"not run", 503, `{"error":{"outcome":"not_run","reason":"deadline"}}`, Refused},
		{"unknown", 504, `{"error":{"outcome":"unknown","reason":"target_failed"}}`, Cut},
		{"error without outcome", 500, `oops`, Cut},
		{"error after the first token", 200, own[0] + "\n\n" + `data: {"request_id":"a","error":{"outcome":"unknown","reason":"target_failed"}}` + "\n\n", Cut},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := complete(t, c.status, c.body)
			assert.Equal(t, s.Result, c.want, "reason %q", s.Reason)
		})
	}
}

// Guards against an answer to another call that counts as answered, and
// against a 404 of the system that counts as an answer of the service.
func TestCallAnswerBelongsToCall(t *testing.T) {
	cases := []struct {
		name, id, body string
		status         int
		want           Result
	}{
		{"own", "a", "{}", 201, Answered},
		{"other", "b", "{}", 201, MixedUp},
		{"no identifier", "", "{}", 200, MixedUp},
		{"service does not find", "a", `{"error":"no such order"}`, 404, Answered},
		{"system does not find", "", `{"error":{"outcome":"not_run","reason":"unknown_service"}}`, 404, Refused},
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

// Guards against a retry on the VM that refused, and against a retry of a
// request that may have run.
func TestBalancerRetriesOnlyNotRun(t *testing.T) {
	g := NewGenerator(Spec{Entries: []string{"a", "b", "c"}})
	send := func(s Sample) []string {
		var asked []string
		g.balance(func(vm string) Sample {
			asked = append(asked, vm)
			return s
		})
		return asked
	}
	asked := send(Sample{Result: Refused, Reason: "stopping"})
	assert.Equal(t, len(asked), tries)
	assert.Assert(t, asked[0] != asked[1] && asked[1] != asked[2] && asked[0] != asked[2], "%v", asked)
	assert.Equal(t, len(send(Sample{Result: Refused, Reason: "connection_refused"})), tries)
	assert.Equal(t, len(send(Sample{Result: Refused, Reason: "deadline"})), 1)
	assert.Equal(t, len(send(Sample{Result: Cut, Reason: "stopping"})), 1)
}
