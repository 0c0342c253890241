package proof

import (
	"time"

	"pgregory.net/rapid"

	"github.com/lentilpick/lentilpick/idempotency"
)

// keyOracle knows only which keys ran, which answer belongs to which attempt,
// and for which keys a record was lost. It knows nothing of the log.
type keyOracle struct {
	runs    map[idempotency.Key][]keyRun
	digests map[idempotency.Key]map[uint64]bool
	lost    map[idempotency.Key]bool
	problem string
}

type keyRun struct {
	attempt string
	digest  uint64
	at      time.Time
}

func newKeyOracle() keyOracle {
	return keyOracle{
		runs: map[idempotency.Key][]keyRun{}, digests: map[idempotency.Key]map[uint64]bool{}, lost: map[idempotency.Key]bool{},
	}
}

func (o *keyOracle) asked(k idempotency.Key, digest uint64) {
	if o.digests[k] == nil {
		o.digests[k] = map[uint64]bool{}
	}
	o.digests[k][digest] = true
}

// ran checks that a key does not run twice. An attempt runs at most
// keyDeadline after its intent, so that two runs of one key are at least the
// rest of the window apart.
func (o *keyOracle) ran(t *rapid.T, r *keyRequest, now time.Time) {
	for _, run := range o.runs[r.Key] {
		if now.Sub(run.at) <= keyWindow-keyDeadline {
			t.Fatalf("key %s ran as %s and %v later as %s", r.Key.Key, run.attempt, now.Sub(run.at), r.Attempt)
		}
	}
	o.runs[r.Key] = append(o.runs[r.Key], keyRun{r.Attempt, r.Digest, now})
}

// replayed checks that a recorded answer belongs to a run of the same request.
func (o *keyOracle) replayed(r *keyRequest, a *idempotency.Response) {
	for _, run := range o.runs[r.Key] {
		if a != nil && run.attempt == string(a.Body) && run.digest == r.Digest {
			return
		}
	}
	o.problem = "answer of another request for " + r.Attempt
}

func (o *keyOracle) conflicted(r *keyRequest) {
	if len(o.digests[r.Key]) < 2 {
		o.problem = "conflict without a different request for " + r.Attempt
	}
}

// lose notes the keys whose records did not reach the log.
func (o *keyOracle) lose(recs []idempotency.Record) {
	for i := range recs {
		o.lost[recs[i].Key] = true
	}
}

// ranWithin reports whether a key ran within the window.
func (o *keyOracle) ranWithin(k idempotency.Key, now time.Time) bool {
	for _, run := range o.runs[k] {
		if now.Sub(run.at) <= keyWindow {
			return true
		}
	}
	return false
}
