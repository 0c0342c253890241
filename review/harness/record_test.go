package harness

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what was sent, answered and run, for the verdict and for record.txt.
type record struct {
	mu      sync.Mutex
	start   time.Time
	lines   []string
	runs    map[string][]runEntry
	arrived map[string][]time.Duration // at any server, by request
	crashes []time.Duration
	sent    []*sentRequest
}

type runEntry struct {
	server string
	at     time.Duration
	body   string
}

// sentRequest is one attempt of a requester and how it ended.
type sentRequest struct {
	id, node, kind string
	poisoned       bool
	at             time.Duration
	ended          time.Duration
	status         int    // 0 if no head of an answer came
	complete       bool   // a complete answer came
	stamp          string // the server's signature
	body           string
	reason         string // X-Refusal-Reason
	err            error
}

func newRecord() *record {
	return &record{start: time.Now(), runs: map[string][]runEntry{}, arrived: map[string][]time.Duration{}}
}

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) line(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%9.3f s  ", r.now().Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) arrival(s *server, req serverRequest) {
	if req.id() == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived[req.id()] = append(r.arrived[req.id()], r.now())
}

func (r *record) refusal(s *server, req serverRequest) {
	r.note("server %s refuses %s as not run: it is full", s.id, req.id())
}

func (r *record) run(s *server, req serverRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[req.id()] = append(r.runs[req.id()], runEntry{s.id, r.now(), string(req.body)})
	r.line("server %s runs %s", s.id, req.id())
}

func (r *record) ended(s *server, req serverRequest) {
	r.note("server %s has run %s to its end", s.id, req.id())
}

func (r *record) crash(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, r.now())
	r.line("server %s crashes", id)
}

func (r *record) send(id, node, kind string, poisoned bool) *sentRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := &sentRequest{id: id, node: node, kind: kind, poisoned: poisoned, at: r.now()}
	r.sent = append(r.sent, q)
	r.line("requester sends %s (%s) to %s", id, kind, node)
	return q
}

func (r *record) answer(q *sentRequest, done sentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.ended, q.status, q.complete, q.stamp, q.body, q.reason, q.err = r.now(), done.status, done.complete, done.stamp, done.body, done.reason, done.err
	r.line("requester gets for %s: status %d, complete %t, signature %q, reason %q, error %v", q.id, q.status, q.complete, q.stamp, q.reason, q.err)
}

func (r *record) write(path string, verdict []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	w := bufio.NewWriter(f)
	for _, l := range verdict {
		fmt.Fprintln(w, l)
	}
	fmt.Fprintln(w)
	for _, l := range r.lines {
		fmt.Fprintln(w, l)
	}
	return w.Flush()
}
