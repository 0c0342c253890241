package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/records"
)

// Guards against key records that never reach the log after an outage of it, because a batch or an
// append is larger than what the slowest link of a site carries within its timeout, and is sent again
// as it is.
func TestKeyAppendsFitTheirTimeouts(t *testing.T) {
	const slowestLinkBitsPerSecond = 10e6
	transfer := func(bytes int) time.Duration {
		return time.Duration(float64(bytes) * 8 / slowestLinkBitsPerSecond * float64(time.Second))
	}
	k := &keyLog{queue: make(chan queuedRecord, maxKeyQueue)}
	w := &keyWriter{queue: make(chan *keyAppend, maxQueuedAppends)}
	for i := range maxKeyQueue {
		k.queue <- queuedRecord{Record: idempotency.Record{
			Kind: idempotency.KindCompleted, Key: idempotency.Key{Service: "s", Workspace: "w", Key: fmt.Sprint(i)}, Attempt: "a",
			Response: &idempotency.Response{Status: 200, Body: make([]byte, 4<<10)}, // the largest that is recorded
		}}
	}
	taken := 0
	for len(k.queue) > 0 {
		batch := k.takeBatch(<-k.queue)
		taken += len(batch)
		recs := make([]idempotency.Record, len(batch))
		for i, q := range batch {
			recs[i] = q.Record
		}
		data, err := records.EncodeKeys(recs)
		assert.NilError(t, err)
		assert.Assert(t, transfer(len(data)*4/3) < remoteAppendTimeout, "batch of %d records and %d bytes", len(recs), len(data))
		w.queue <- &keyAppend{batches: [][]byte{data}}
	}
	assert.Equal(t, taken, maxKeyQueue)
	for len(w.queue) > 0 {
		bytes := 0
		for _, j := range w.takeJobs(nil) {
			for _, b := range j.batches {
				bytes += len(b)
			}
		}
		assert.Assert(t, transfer(bytes*4/3) < appendTimeout, "append of %d bytes", bytes)
	}
}
