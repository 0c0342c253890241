package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// cutCall is one request of a caller as the caller saw it.
type cutCall struct {
	id    string
	route standin.Route
	node  *cutNode
	key   *issuedKey
	// first reports the first try of a caller, at its own node. Others follow at other nodes.
	first     bool
	cancelled bool
	status    int
	reason    string // of a refusal
	body      string // of a response that is not a stream
	stream    streamTry
	// complete reports that the response was read to its end.
	complete    bool
	sent, ended time.Time
}

func (c *cutCall) isStream() bool { return c.route.Kind == "streaming" }

// served reports whether the caller got the complete response.
func (c *cutCall) served() bool {
	if !c.complete || c.status != http.StatusOK {
		return false
	}
	if c.isStream() {
		return c.stream.wrong == "" && c.stream.resumeAfter+len(c.stream.events) == versionsEvents
	}
	return c.body == standin.PlainResponse(c.id)
}

// refused reports whether the response promises that the request has not run.
func (c *cutCall) refused() bool {
	return c.complete && (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests)
}

// mayRetry reports whether a caller sends the request again.
func (c *cutCall) mayRetry() bool {
	switch {
	case c.cancelled || c.served():
		return false
	case c.route.Kind == "safe" || c.route.Resumable:
		return true
	}
	return c.refused()
}

// sendCalls sends requests at intervals that do not depend on the responses, as a hanging node would
// receive few of them otherwise.
func (s *cutsRun) sendCalls(ctx context.Context, home *cutNode, caller int, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxCutsInFlight, DisableKeepAlives: caller%2 == 1}}
	defer client.CloseIdleConnections()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	free := make(chan struct{}, maxCutsInFlight)
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, time.Duration(rng.Int64N(int64(s.Think))))
		workspace := cutsWorkspace(rng.IntN(cutsWorkspaces))
		c := cutCall{
			route: keysRoutes[rng.IntN(len(keysRoutes))], node: home, first: true,
			key: &issuedKey{key: workspace.Keys[0], workspace: workspace.Name}, cancelled: rng.IntN(100) < cutsCancelPercent,
		}
		plan := standin.StreamPlan{}
		if c.route.Resumable && rng.IntN(100) < cutsBreakPercent {
			plan.BreakAfter = 1 + rng.IntN(versionsEvents-1)
		}
		tries := rand.New(rand.NewPCG(s.seed, rng.Uint64()))
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
			return
		}
		inFlight.Go(func() {
			s.sendTries(ctx, client, c, plan, fmt.Sprintf("c%d-%d", caller, i), tries)
			<-free
		})
	}
}

// sendTries sends a request and, if the caller may, sends it again or takes its stream up at other
// nodes.
func (s *cutsRun) sendTries(ctx context.Context, client *http.Client, c cutCall, plan standin.StreamPlan, name string, rng *rand.Rand) {
	var stream versionedStream
	received := 0
	for try := 0; ctx.Err() == nil; try++ {
		c.id, c.first = fmt.Sprintf("%s-%d", name, try), try == 0
		c.status, c.reason, c.body, c.complete = 0, "", "", false
		resumes := ""
		if b := stream.begun(); b >= 0 {
			resumes = stream.tries[b].id
		}
		c.stream = streamTry{id: c.id, resumeAfter: received}
		c.send(client, plan, resumes)
		s.mu.Lock()
		s.calls = append(s.calls, c)
		s.mu.Unlock()
		if c.isStream() {
			stream.tries = append(stream.tries, c.stream)
			received += len(c.stream.events)
		}
		if try == maxCutsRetries || !c.mayRetry() || c.stream.wrong != "" || received >= versionsEvents {
			break
		}
		sleep(ctx, time.Duration(rng.Int64N(int64(maxCutsRetryDelay))))
		other := (c.node.index + 1 + rng.IntN(len(s.nodes)-1)) % len(s.nodes)
		c.node = s.nodes[other]
	}
	if len(stream.tries) > 0 {
		s.mu.Lock()
		s.streams = append(s.streams, stream)
		s.mu.Unlock()
	}
}

// send sends the request and reads the response.
func (c *cutCall) send(client *http.Client, plan standin.StreamPlan, resumes string) {
	limit := cutsTimeout + time.Second
	if c.cancelled {
		limit = cutsCancelDelay
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	c.sent = time.Now()
	defer func() { c.ended = time.Now() }()
	method, body := http.MethodPost, "body of "+c.id
	if c.route.Kind == "safe" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.callerAddress+"/"+c.route.Name+"/x", strings.NewReader(body))
	if err != nil {
		return
	}
	r.Host = standin.Host
	for k, v := range standin.Headers(c.id, c.route.Prompted) {
		r.Header.Set(k, v)
	}
	r.Header.Set(standin.KeyHeader, standin.KeyValue(c.key.key))
	if plan != (standin.StreamPlan{}) {
		r.Header.Set(plan.Header())
	}
	if resumes != "" {
		r.Header.Set(standin.ResumesHeader, resumes)
		r.Header.Set(standin.ResumeAfterHeader, strconv.Itoa(c.stream.resumeAfter))
	}
	resp, err := client.Do(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	c.status, c.reason = resp.StatusCode, resp.Header.Get("X-Refusal-Reason")
	if c.isStream() && c.status == http.StatusOK {
		c.stream.status = c.status
		c.stream.readEvents(bufio.NewReader(resp.Body))
		c.complete = errors.Is(c.stream.err, io.EOF) && !errors.Is(c.stream.err, io.ErrUnexpectedEOF)
		return
	}
	b, err := io.ReadAll(resp.Body)
	c.body, c.complete = string(b), err == nil
}
