// Package logservice is a stand-in for the platform's append-only log service,
// for tests and the demo. It retains records in memory for a limited time, limits
// the append rate and injects faults.
//
// It does not model replication, durability across restarts, authentication,
// outages of single streams, or readers that see a record later than others.
package logservice

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Errors of the service.
var (
	// ErrOutage reports that the service is unavailable.
	ErrOutage = errors.New("log service is unavailable")
	// ErrRateLimited reports that an append exceeds the rate limit.
	ErrRateLimited = errors.New("append rate limit is exceeded")
	// ErrExpired reports that the requested records have expired.
	ErrExpired = errors.New("records have expired")
)

// Record is one record of a stream.
type Record struct {
	Offset int64
	At     time.Time
	Data   []byte
}

// Settings configures a Service.
type Settings struct {
	// AppendsPerSecond limits the appends to all streams together; 0 means no limit.
	AppendsPerSecond int
	// Retention is how long a record can be read; 0 means without limit.
	Retention time.Duration
}

// Faults are the faults that the service injects.
type Faults struct {
	// Outage makes every call fail.
	Outage bool `json:"outage"`
	// LoseResponses drops the response to every n-th append after the append took
	// effect; 0 drops none.
	LoseResponses int `json:"lose_answers"`
	// DuplicateAppends stores every n-th append twice; 0 duplicates none.
	DuplicateAppends int `json:"duplicate_appends"`
	// DelayMs delays calls before they take effect, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// DelayEvery restricts the delay to every n-th call; 0 and 1 delay all calls.
	DelayEvery int `json:"delay_every"`
}

type stream struct {
	first    int64 // offset of records[0]
	records  []Record
	appended chan struct{} // closed at the next append
}

// Service is an append-only log with several streams. It is safe for concurrent use.
type Service struct {
	settings Settings
	now      func() time.Time

	mu              sync.Mutex
	streams         map[string]*stream
	faults          Faults
	rateSecond      int64
	appendsInSecond int
	appends         int64
	calls           int64
}

// New returns an empty log with the clock now.
func New(s Settings, now func() time.Time) *Service {
	return &Service{settings: s, now: now, streams: map[string]*stream{}}
}

// SetFaults replaces the faults. Waiting reads apply them at once.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, st := range s.streams {
		st.notify()
	}
}

// Delay counts a call and returns how long it has to wait before it takes effect.
func (s *Service) Delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.faults.DelayEvery > 1 && s.calls%int64(s.faults.DelayEvery) != 0 {
		return 0
	}
	return time.Duration(s.faults.DelayMs) * time.Millisecond
}

func (st *stream) notify() {
	close(st.appended)
	st.appended = make(chan struct{})
}

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Appends returns the number of accepted appends.
func (s *Service) Appends() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Append stores the data as consecutive records and returns the offset of the
// first. If lost is true, the caller must drop the response although the append
// took effect. Errors: ErrOutage, ErrRateLimited.
func (s *Service) Append(name string, data [][]byte) (first int64, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return 0, false, ErrOutage
	}
	if !s.allowAppend() {
		return 0, false, ErrRateLimited
	}
	s.appends++
	st := s.stream(name)
	first = st.first + int64(len(st.records))
	s.store(st, data)
	if isEveryNth(s.faults.DuplicateAppends, s.appends) {
		s.store(st, data)
	}
	st.notify()
	return first, isEveryNth(s.faults.LoseResponses, s.appends), nil
}

func isEveryNth(n int, count int64) bool { return n > 0 && count%int64(n) == 0 }

func (s *Service) store(st *stream, data [][]byte) {
	now := s.now()
	for _, d := range data {
		o := st.first + int64(len(st.records))
		st.records = append(st.records, Record{Offset: o, At: now, Data: d})
	}
}

func (s *Service) allowAppend() bool {
	if s.settings.AppendsPerSecond == 0 {
		return true
	}
	if sec := s.now().Unix(); sec != s.rateSecond {
		s.rateSecond, s.appendsInSecond = sec, 0
	}
	s.appendsInSecond++
	return s.appendsInSecond <= s.settings.AppendsPerSecond
}

func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Service) expire(st *stream) {
	if s.settings.Retention == 0 {
		return
	}
	limit := s.now().Add(-s.settings.Retention)
	n := 0
	for n < len(st.records) && st.records[n].At.Before(limit) {
		n++
	}
	st.records = st.records[n:]
	st.first += int64(n)
}

// Page is the result of a read.
type Page struct {
	Oldest, Next int64
	Records      []Record
}

// Read returns up to limit records from the given offset. It waits for the first
// one for at most the duration wait. With ErrExpired the page has only the offsets.
// Errors: ErrOutage, ErrExpired.
func (s *Service) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := s.read(name, from, limit)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			wait = 0
		}
	}
}

func (s *Service) read(name string, from int64, limit int) (Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return Page{}, nil, ErrOutage
	}
	st := s.stream(name)
	s.expire(st)
	p := Page{Oldest: st.first, Next: st.first + int64(len(st.records))}
	if from < st.first {
		return p, nil, ErrExpired
	}
	if from < p.Next {
		end := min(from+int64(limit), p.Next)
		p.Records = append(p.Records, st.records[from-st.first:end-st.first]...)
	}
	return p, st.appended, nil
}
