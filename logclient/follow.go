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
	// Next returns the offset of the next record to read.
	Next() types.Offset
	// HandleRecords consumes records in order. After an error the follower backs off
	// and reads again from Next.
	HandleRecords(b Batch) error
	// HandleExpired is called when the record at Next has expired; oldest is the
	// oldest offset that can still be read.
	HandleExpired(oldest types.Offset)
	// HandleFailure is called after a failed read or an error from HandleRecords.
	HandleFailure(err error)
}

// Limits of a follower.
const (
	followBatchRecords = 512
	// followReadWait and readTimeout together stay below the time within which a
	// configuration change has to be in force on all nodes (3 s).
	followReadWait   = time.Second
	followMinBackoff = 50 * time.Millisecond
	followMaxBackoff = time.Second
)

// Follow reads a stream until the context ends. After a failed read it backs off
// exponentially from 50 ms to 1 s. The first read does not wait for records, so
// the reader of an empty stream is notified at once that it is at the end.
func Follow(ctx context.Context, log Log, stream string, r Reader) {
	backoff, wait := followMinBackoff, time.Duration(0)
	for ctx.Err() == nil {
		if readOnce(ctx, log, stream, r, wait) {
			backoff, wait = followMinBackoff, followReadWait
			continue
		}
		if !sleep(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, followMaxBackoff)
	}
}

func readOnce(ctx context.Context, log Log, stream string, r Reader, wait time.Duration) bool {
	b, err := log.Read(ctx, stream, r.Next(), followBatchRecords, wait)
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

// sleep waits for d and reports whether it elapsed before the context ended.
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
