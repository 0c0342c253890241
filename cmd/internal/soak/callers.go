package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// outcome is the result of a request as its caller saw it.
type outcome struct {
	id, route, node string
	status          int
	body            string
	hasServerStamp  bool
	complete        bool
	err             error
	sentAt, endedAt time.Time
	cancelled       bool // sent with cancelEarly
}

// refused reports whether the response guarantees that the request has not run.
func (o *outcome) refused() bool {
	return o.complete && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests)
}

// callers send requests to the nodes over persistent connections and record the outcomes.
type callers struct {
	deployment *deployment
	mu         sync.Mutex
	outcomes   []outcome
}

const (
	callersPerNode = 4
	callInterval   = 20 * time.Millisecond
	// cancelPercent is the percentage of requests that their callers cancel early.
	cancelPercent = 5
)

func (c *callers) start(ctx context.Context, seed uint64, wg *sync.WaitGroup) {
	for i, n := range c.deployment.nodes {
		for k := range callersPerNode {
			wg.Go(func() {
				c.sendRequests(ctx, n, fmt.Sprintf("%d-%d", i, k), rand.New(rand.NewPCG(seed, uint64(i*100+k))))
			})
		}
	}
}

func (c *callers) sendRequests(ctx context.Context, n *node, name string, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		r := standin.Routes[rng.IntN(len(standin.Routes))]
		cancelEarly := rng.IntN(100) < cancelPercent
		o := send(client, n, fmt.Sprintf("r%s-%d", name, i), r, cancelEarly)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
		sleep(ctx, callInterval)
	}
}

// send sends one request. It times out after 3 s, later than the deadline of 2 s in the request's
// headers; with cancelEarly it is cancelled after 15 ms.
func send(client *http.Client, n *node, id string, r standin.Route, cancelEarly bool) outcome {
	limit := 3 * time.Second
	if cancelEarly {
		limit = 15 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	o := outcome{id: id, route: r.Name, node: n.name, sentAt: time.Now(), cancelled: cancelEarly}
	method, body := http.MethodPost, bytes.NewReader([]byte("body of "+id))
	if r.Kind == "safe" {
		method, body = http.MethodGet, bytes.NewReader(nil)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callerAddress+"/"+r.Name+"/x", body)
	if err != nil {
		o.err = err
		return o
	}
	req.Host = standin.Host
	for k, v := range standin.Headers(id, r.Prompted) {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o.status, o.body, o.hasServerStamp = resp.StatusCode, string(b), resp.Header.Get(standin.StampHeader) != ""
	}
	o.err, o.complete, o.endedAt = err, err == nil, time.Now()
	return o
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// expectedBody returns the body of the complete response to a request.
func expectedBody(o *outcome) string {
	if o.route == "once" || o.route == "read" {
		return standin.PlainResponse(o.id)
	}
	var b strings.Builder
	for i := 1; i <= standin.Events; i++ {
		b.WriteString(standin.Event(o.id, i))
	}
	return b.String()
}

// check compares the outcomes that callers saw with the requests that targets ran.
func (c *callers) check(targets []*standin.Target) error {
	runs := map[string]int{}
	bodies := map[string]string{}
	for _, t := range targets {
		for _, r := range t.Runs() {
			runs[r.Request]++
			bodies[r.Request] = r.Body
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var errs []error
	for i := range c.outcomes {
		if err := c.outcomes[i].check(runs[c.outcomes[i].id], bodies[c.outcomes[i].id]); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func (o *outcome) check(runs int, body string) error {
	nonIdempotent := o.route == "once" || o.route == "chat"
	violation := func(format string, args ...any) error {
		return fmt.Errorf("route %s, request %s at %s, sent %s: %s", o.route, o.id, o.node, o.sentAt.Format("15:04:05.000"), fmt.Sprintf(format, args...))
	}
	switch {
	case nonIdempotent && runs > 1:
		return violation("ran %d times, expected at most once", runs)
	case nonIdempotent && runs > 0 && o.refused():
		return violation("ran although it was refused with status %d", o.status)
	case runs > 0 && o.route != "read" && body != "body of "+o.id:
		return violation("ran with an unexpected body %.40q", body)
	case o.complete && o.status == http.StatusOK && (o.body != expectedBody(o) || !o.hasServerStamp):
		return violation("response is wrong or lacks the server stamp: %.60q", o.body)
	case !o.complete && !strings.HasPrefix(expectedBody(o), o.body):
		return violation("partial response is wrong: %.60q", o.body)
	}
	return nil
}

// interruptedByStop returns the requests whose response was incomplete although their node was
// only undergoing a planned stop. Requests that failed before a response began count only if the
// connection ended with an unexpected EOF.
func (c *callers) interruptedByStop(n *node, from, to time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, o := range c.outcomes {
		responseStarted := o.status != 0 || o.err != nil && errors.Is(o.err, io.ErrUnexpectedEOF)
		if o.node == n.name && !o.cancelled && !o.complete && responseStarted && o.sentAt.After(from) && o.endedAt.Before(to) {
			out = append(out, o.id)
		}
	}
	return out
}
