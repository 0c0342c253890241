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

// outcome is what a caller saw of one request.
type outcome struct {
	id, route, node string
	status          int
	body            string
	stamped         bool
	whole           bool
	err             error
	sent, ended     time.Time
	left            bool // the caller left early
}

// refused reports whether the answer promises that the request has not run.
func (o *outcome) refused() bool {
	return o.whole && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests)
}

// callers send requests to the nodes over kept connections.
type callers struct {
	world *world
	mu    sync.Mutex
	all   []outcome
}

const (
	callersPerNode = 4
	callPause      = 20 * time.Millisecond
	// leaveShare is the share of the requests whose callers leave early, in 1/100.
	leaveShare = 5
)

func (c *callers) run(ctx context.Context, seed uint64, wg *sync.WaitGroup) {
	for i, n := range c.world.nodes {
		for k := range callersPerNode {
			wg.Go(func() { c.call(ctx, n, fmt.Sprintf("%d-%d", i, k), rand.New(rand.NewPCG(seed, uint64(i*100+k)))) })
		}
	}
}

func (c *callers) call(ctx context.Context, n *node, name string, rnd *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		r := standin.Routes[rnd.IntN(len(standin.Routes))]
		leave := rnd.IntN(100) < leaveShare
		o := send(client, n, fmt.Sprintf("r%s-%d", name, i), r, leave)
		c.mu.Lock()
		c.all = append(c.all, o)
		c.mu.Unlock()
		pause(ctx, callPause)
	}
}

// send sends one request. It is given up after the deadline that it names and
// some more.
func send(client *http.Client, n *node, id string, r standin.Route, leave bool) outcome {
	limit := 3 * time.Second
	if leave {
		limit = 15 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	o := outcome{id: id, route: r.Name, node: n.name, sent: time.Now(), left: leave}
	method, body := http.MethodPost, bytes.NewReader([]byte("body of "+id))
	if r.Kind == "safe" {
		method, body = http.MethodGet, bytes.NewReader(nil)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+"/"+r.Name+"/x", body)
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
		o.status, o.body, o.stamped = resp.StatusCode, string(b), resp.Header.Get(standin.StampHeader) != ""
	}
	o.err, o.whole, o.ended = err, err == nil, time.Now()
	return o
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// expected returns the whole answer to a request.
func expected(o *outcome) string {
	if o.route == "once" || o.route == "read" {
		return standin.PlainResponse(o.id)
	}
	var b strings.Builder
	for i := 1; i <= standin.Events; i++ {
		b.WriteString(standin.Event(o.id, i))
	}
	return b.String()
}

// check compares what callers saw with what targets ran.
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
	for i := range c.all {
		if err := c.all[i].check(runs[c.all[i].id], bodies[c.all[i].id]); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func (o *outcome) check(runs int, body string) error {
	once := o.route == "once" || o.route == "chat"
	broken := func(format string, args ...any) error {
		return fmt.Errorf("%s %s at %s, sent %s: %s", o.route, o.id, o.node, o.sent.Format("15:04:05.000"), fmt.Sprintf(format, args...))
	}
	switch {
	case once && runs > 1:
		return broken("ran %d times", runs)
	case once && runs > 0 && o.refused():
		return broken("was refused with %d and ran", o.status)
	case runs > 0 && o.route != "read" && body != "body of "+o.id:
		return broken("ran with the body %.40q", body)
	case o.whole && o.status == http.StatusOK && (o.body != expected(o) || !o.stamped):
		return broken("was answered with %.60q", o.body)
	case !o.whole && !strings.HasPrefix(expected(o), o.body):
		return broken("was answered with a part that is wrong: %.60q", o.body)
	}
	return nil
}

// cutByPlan returns the requests that ended without an answer although their
// node was only stopped as planned.
func (c *callers) cutByPlan(n *node, from, to time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, o := range c.all {
		read := o.status != 0 || o.err != nil && errors.Is(o.err, io.ErrUnexpectedEOF)
		if o.node == n.name && !o.left && !o.whole && read && o.sent.After(from) && o.ended.Before(to) {
			out = append(out, o.id)
		}
	}
	return out
}
