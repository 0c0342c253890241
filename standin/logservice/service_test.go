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

// Guards against a log that forgets offsets when records expire: a reader
// could then take a gap for the beginning of the stream.
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

// Guards against a stream that is empty after expiry and starts at 0 again.
func TestExpiryOfAllRecords(t *testing.T) {
	s, c := newTestLog(Settings{Retention: time.Minute})
	appendOne(t, s, "old")
	c.now = c.now.Add(2 * time.Minute)
	page, err := readAll(s, 1)
	assert.NilError(t, err)
	assert.Equal(t, page.Next, int64(1))
	assert.Equal(t, appendOne(t, s, "new"), int64(1))
}

// Guards against faults that also change what the log stores: a lost answer
// must leave the record, an outage must not store one.
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

// Guards against an outage that spares reads which were waiting when it began.
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

// Guards against a delay that hits other calls than asked for.
func TestDelayOfEveryNthCall(t *testing.T) {
	s, _ := newTestLog(Settings{})
	s.SetFaults(Faults{DelayMs: 500, DelayEvery: 2})
	assert.Equal(t, s.Delay(), time.Duration(0))
	assert.Equal(t, s.Delay(), 500*time.Millisecond)
	s.SetFaults(Faults{DelayMs: 500})
	assert.Equal(t, s.Delay(), 500*time.Millisecond)
}

// Guards against a log that takes more appends than the platform's.
func TestAppendRate(t *testing.T) {
	s, c := newTestLog(Settings{AppendsPerSecond: 2})
	appendOne(t, s, "a")
	appendOne(t, s, "b")
	_, _, err := s.Append("s", [][]byte{[]byte("c")})
	assert.Assert(t, errors.Is(err, ErrRateLimited))
	c.now = c.now.Add(time.Second)
	appendOne(t, s, "c")
}
