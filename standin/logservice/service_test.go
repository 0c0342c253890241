package logservice

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func newTestLog(s Settings) (*Service, *clock) {
	c := &clock{time.Unix(1_000_000, 0)}
	return New(s, c.read), c
}

func appendOne(t *testing.T, s *Service, data string) int64 {
	t.Helper()
	o, _, err := s.Append("s", [][]byte{[]byte(data)})
	assert.NilError(t, err)
	return o
}

func readAll(s *Service, from int64) (Page, error) {
	return s.Read(context.Background(), "s", from, 100, 0)
}

// Guards against a log that renumbers offsets when records expire: a reader could
// then take a gap for the beginning of the stream.
func TestExpiryKeepsOffsets(t *testing.T) {
	s, c := newTestLog(Settings{Retention: time.Minute})
	for range 3 {
		appendOne(t, s, "old")
	}
	c.now = c.now.Add(time.Minute + time.Second)
	assert.Equal(t, appendOne(t, s, "new"), int64(3))
	page, err := readAll(s, 1)
	assert.Assert(t, errors.Is(err, ErrExpired))
	assert.Equal(t, page.Oldest, int64(3))
	assert.Equal(t, len(page.Records), 0)
	page, err = readAll(s, 3)
	assert.NilError(t, err)
	assert.Equal(t, page.Records[0].Offset, int64(3))
}

// Guards against a stream that restarts at offset 0 after all its records have
// expired.
func TestExpiryOfAllRecords(t *testing.T) {
	s, c := newTestLog(Settings{Retention: time.Minute})
	appendOne(t, s, "old")
	c.now = c.now.Add(2 * time.Minute)
	page, err := readAll(s, 1)
	assert.NilError(t, err)
	assert.Equal(t, page.Next, int64(1))
	assert.Equal(t, appendOne(t, s, "new"), int64(1))
}

// Guards against faults that change the stored records: an append whose response is
// lost must store its record, and an append during an outage must not.
func TestFaultsOnAppend(t *testing.T) {
	s, _ := newTestLog(Settings{})
	s.SetFaults(Faults{LoseResponses: 1})
	_, lost, err := s.Append("s", [][]byte{[]byte("a")})
	assert.NilError(t, err)
	assert.Assert(t, lost)
	s.SetFaults(Faults{DuplicateAppends: 1})
	appendOne(t, s, "b")
	s.SetFaults(Faults{Outage: true})
	_, _, err = s.Append("s", [][]byte{[]byte("c")})
	assert.Assert(t, errors.Is(err, ErrOutage))
	s.SetFaults(Faults{})
	page, err := readAll(s, 0)
	assert.NilError(t, err)
	var got string
	for _, r := range page.Records {
		got += string(r.Data)
	}
	assert.Equal(t, got, "abb")
}

// Guards against an outage that does not end the reads that are waiting when it
// begins.
func TestOutageEndsWaitingRead(t *testing.T) {
	s, _ := newTestLog(Settings{})
	appendOne(t, s, "a")
	done := make(chan error, 1)
	go func() {
		_, err := s.Read(context.Background(), "s", 1, 1, time.Hour)
		done <- err
	}()
	s.SetFaults(Faults{Outage: true})
	assert.Assert(t, errors.Is(<-done, ErrOutage))
}

// Guards against delaying calls other than the configured ones.
func TestDelayOfEveryNthCall(t *testing.T) {
	s, _ := newTestLog(Settings{})
	s.SetFaults(Faults{DelayMs: 500, DelayEvery: 2})
	assert.Equal(t, s.Delay(), time.Duration(0))
	assert.Equal(t, s.Delay(), 500*time.Millisecond)
	s.SetFaults(Faults{DelayMs: 500})
	assert.Equal(t, s.Delay(), 500*time.Millisecond)
}

// Guards against a log that accepts appends over the rate limit.
func TestAppendRateLimit(t *testing.T) {
	s, c := newTestLog(Settings{AppendsPerSecond: 2})
	appendOne(t, s, "a")
	appendOne(t, s, "b")
	_, _, err := s.Append("s", [][]byte{[]byte("c")})
	assert.Assert(t, errors.Is(err, ErrRateLimited))
	c.now = c.now.Add(time.Second)
	appendOne(t, s, "c")
}
