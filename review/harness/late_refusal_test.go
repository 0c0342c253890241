package harness

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case late-refusal.
const (
	lateDuration = 25 * time.Second
	// lateFrom and lateFor give the span of the trouble, whose length is that of the site.
	lateFrom    = 5 * time.Second
	lateFor     = 5 * time.Second
	lateClients = 12
	latePause   = 40 * time.Millisecond
	// lateShare is the share of its answers after which a faulty server sends additional bytes, the
	// dose of the site's trouble "garble" with how = "extra late".
	lateShare = 0.03
)

// refusalExample is the platform's example of a server that sheds a request, with the length that
// keeps the channel open.
const refusalExample = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// lateRefusal plays a booking desk of which half of the servers are faulty. After some of their complete
// answers these send additional bytes, late: at the point where the next answer is expected.
func lateRefusal(d *deployment, trouble bool) (*result, error) {
	var faulty atomic.Bool
	for i := range 4 {
		s := serverSettings{id: fmt.Sprintf("i-desk%d", i+1), service: "wuno96b", zone: zones[i%len(zones)], slots: 6, queue: 24, work: 15 * time.Millisecond}
		if trouble && i < 2 {
			s.lateBytes = func() []byte {
				if !faulty.Load() || rand.Float64() >= lateShare {
					return nil
				}
				return []byte(refusalExample)
			}
		}
		if err := d.addServer(s); err != nil {
			return nil, err
		}
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	end := time.Now().Add(lateDuration)
	var all sync.WaitGroup
	for i := range lateClients {
		all.Go(func() {
			c := &requester{record: d.record, node: d.nodes[i%len(d.nodes)]}
			defer c.closeChannel()
			for time.Now().Before(end) {
				c.do(request{id: newID("b"), kind: "booking", method: http.MethodPost, path: bookingPath + "2f", deadline: time.Second, body: "one watch, one deposit"})
				time.Sleep(latePause/2 + rand.N(latePause))
			}
		})
	}
	time.Sleep(lateFrom)
	d.record.note("the trouble begins")
	faulty.Store(true)
	time.Sleep(lateFor)
	faulty.Store(false)
	d.record.note("the trouble ends")
	all.Wait()
	time.Sleep(time.Second)
	return judgeOnce(d.record), nil
}

// judgeOnce applies TWICE and REFUSED to requests that are not idempotent.
func judgeOnce(r *record) *result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &result{}
	status := map[int]int{}
	twice, refused := 0, 0
	for _, q := range r.sent {
		status[q.status]++
		runs := r.runs[q.id]
		if len(runs) > 1 {
			twice++
			if twice <= 3 {
				res.add("TWICE: %s ran at %s (%.3f s) and at %s (%.3f s)", q.id, runs[0].server, runs[0].at.Seconds(), runs[1].server, runs[1].at.Seconds())
			}
		}
		if len(runs) > 0 && q.complete && (q.status == 503 || q.status == 429 || q.status == 408 || q.status == 421) {
			refused++
			if refused <= 3 {
				res.add("REFUSED: %s ran at %s (%.3f s) and was answered %d", q.id, runs[0].server, runs[0].at.Seconds(), q.status)
			}
		}
	}
	res.add("%d requests, by status %v; %d ran twice or more, %d were answered as not run and had run", len(r.sent), status, twice, refused)
	res.broken = twice+refused > 0
	return res
}
