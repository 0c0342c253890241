package logclient

import (
	"context"
	"errors"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Reader is the consumer of a followed stream. Its methods are called from the
// goroutine that runs Follow.
type Reader interface {
	// Next returns the offset from which to read.
	Next() types.Offset
	// HandleRecords consumes records in order. An error stops nothing; the follower
	// reads again from Next after a pause.
	HandleRecords(b Batch) error
	// HandleExpired is called when records from Next on have expired.
	HandleExpired(oldest types.Offset)
	// HandleFailure is called after a failed read.
	HandleFailure(err error)
}

// Limits of a follower.
const (
	followBatch = 512
	// followWait and readTimeout add up to less than the time in which a change has
	// to be in force everywhere.
	followWait     = time.Second
	followMinPause = 50 * time.Millisecond
	followMaxPause = time.Second
)

// Follow reads a stream until the context ends. After a failed read it pauses
// with exponential back-off between 50 ms and 1 s. The first read does not wait
// for records, so that a reader of an empty stream learns at once that it is at
// the end.
func Follow(ctx context.Context, log Log, stream string, r Reader) {
	pause, wait := followMinPause, time.Duration(0)
	for ctx.Err() == nil {
		if followOnce(ctx, log, stream, r, wait) {
			pause, wait = followMinPause, followWait
			continue
		}
		if !sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, followMaxPause)
	}
}

func followOnce(ctx context.Context, log Log, stream string, r Reader, wait time.Duration) bool {
	b, err := log.Read(ctx, stream, r.Next(), followBatch, wait)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		r.HandleExpired(expired.Oldest)
		return true
	}
	if err == nil {
		err = r.HandleRecords(b)
	}
	if err != nil {
		r.HandleFailure(err)
		return false
	}
	return true
}

// sleep waits for d and reports whether the context is still live.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
