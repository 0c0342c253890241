package proof

import (
	"time"

	"pgregory.net/rapid"

	"github.com/lentilpick/lentilpick/idempotency"
)

// keyOracle records which keys ran, which attempt and request each run belongs to, and
// for which keys a record was lost. It does not depend on the log.
type keyOracle struct {
	runs        map[idempotency.Key][]keyRun
	digests     map[idempotency.Key]map[uint64]bool
	lostRecords map[idempotency.Key]bool
	failure     string
}

type keyRun struct {
	attempt string
	digest  uint64
	at      time.Time
}

func newKeyOracle() keyOracle {
	return keyOracle{
		runs: map[idempotency.Key][]keyRun{}, digests: map[idempotency.Key]map[uint64]bool{}, lostRecords: map[idempotency.Key]bool{},
	}
}

func (o *keyOracle) recordClaim(k idempotency.Key, digest uint64) {
	if o.digests[k] == nil {
		o.digests[k] = map[uint64]bool{}
	}
	o.digests[k][digest] = true
}

// recordRun records a run and checks that the key does not run twice. An attempt runs at
// most keyDeadline after its intent, so that permitted runs of one key are more than
// keyWindow-keyDeadline apart.
func (o *keyOracle) recordRun(t *rapid.T, r *keyRequest, now time.Time) {
	for _, run := range o.runs[r.Key] {
		if now.Sub(run.at) <= keyWindow-keyDeadline {
			t.Fatalf("key %s ran in %s and again %v later in %s", r.Key.Key, run.attempt, now.Sub(run.at), r.Attempt)
		}
	}
	o.runs[r.Key] = append(o.runs[r.Key], keyRun{r.Attempt, r.Digest, now})
}

// checkReplay checks that a recorded response belongs to a run of the same request.
func (o *keyOracle) checkReplay(r *keyRequest, resp *idempotency.Response) {
	for _, run := range o.runs[r.Key] {
		if resp != nil && run.attempt == string(resp.Body) && run.digest == r.Digest {
			return
		}
	}
	o.failure = "response of another request replayed for " + r.Attempt
}

func (o *keyOracle) checkConflict(r *keyRequest) {
	if len(o.digests[r.Key]) < 2 {
		o.failure = "conflict reported without a different request, for " + r.Attempt
	}
}

// recordLost records the keys whose records did not reach the log.
func (o *keyOracle) recordLost(recs []idempotency.Record) {
	for i := range recs {
		o.lostRecords[recs[i].Key] = true
	}
}

// ranInWindow reports whether a key ran within the window before now.
func (o *keyOracle) ranInWindow(k idempotency.Key, now time.Time) bool {
	for _, run := range o.runs[k] {
		if now.Sub(run.at) <= keyWindow {
			return true
		}
	}
	return false
}
