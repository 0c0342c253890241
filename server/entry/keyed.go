package entry

import (
	"context"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/server/localview"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// maxRecordedBodyBytes bounds the response body that is recorded with a key.
	maxRecordedBodyBytes = 4 << 10
	// finishTimeout bounds the time to record the end of an attempt. It equals the default time after
	// which the control daemons treat an attempt without an end as unknown; a later end has no effect.
	finishTimeout = time.Minute
	// finishRetryInterval is the wait between two attempts to record an end.
	finishRetryInterval = time.Second
)

// keyedCall is one attempt to run a call with an idempotency key.
type keyedCall struct {
	*call
	key     idempotency.Key
	attempt string
}

func (d *Daemon) newKeyedCall(c *call) *keyedCall {
	return &keyedCall{
		call:    c,
		key:     idempotency.Key{Service: c.Service, Workspace: c.Workspace, Key: c.Key},
		attempt: d.settings.VM + "/" + strconv.FormatUint(d.attemptCount.Add(1), 36) + "/" + d.incarnation,
	}
}

// serveKeyed runs a call at most once for its key.
func (d *Daemon) serveKeyed(c *call, v *localview.View, a *types.Attempt) (*engine.Reply, types.Outcome) {
	k := d.newKeyedCall(c)
	verdict, recorded, err := d.claim(k)
	if err != nil {
		// The claim may still reach the log; the release makes the key available again.
		d.finishKey(k, idempotency.KindReleased, nil)
		if d.requests.Err() != nil {
			return nil, a.Refuse(types.RefusedStopping)
		}
		return nil, a.Refuse(types.RefusedKeyUnavailable)
	}
	switch verdict {
	case idempotency.VerdictRun:
		return d.runKeyed(k, v, a)
	case idempotency.VerdictLogDown:
		if v.Config.Services[c.Service].Value.RunWithoutLog {
			return d.runKeyed(k, v, a)
		}
		d.finishKey(k, idempotency.KindReleased, nil)
		return nil, a.Refuse(types.RefusedKeyUnavailable)
	case idempotency.VerdictCompleted:
		return replay(recorded, a)
	}
	// A claim of this attempt, or a duplicate of it, may reach the log late. Without this release it
	// would block the key after the other attempt has been released.
	d.finishKey(k, idempotency.KindReleased, nil)
	switch verdict {
	case idempotency.VerdictConflict:
		return nil, a.Refuse(types.RefusedKeyConflict)
	case idempotency.VerdictInProgress:
		return nil, a.RefuseAsUnknown(types.RefusedKeyInProgress)
	}
	return nil, a.RefuseAsUnknown(types.RefusedKeyUnknown)
}

// runKeyed dispatches a call for whose key this attempt may run, and records the end of the attempt.
func (d *Daemon) runKeyed(k *keyedCall, v *localview.View, a *types.Attempt) (*engine.Reply, types.Outcome) {
	reply, o := d.dispatchCall(k.call, v, a)
	end, recorded := attemptEnd(reply, o)
	d.finishKey(k, end, recorded)
	return reply, o
}

// claim claims the key for this attempt, within the caller's deadline and before the end of a stop.
// Repeated claims of one attempt are harmless.
func (d *Daemon) claim(k *keyedCall) (idempotency.Verdict, *idempotency.Response, error) {
	ctx, cancel := context.WithDeadline(d.requests, k.Deadline)
	defer cancel()
	return d.keys.Claim(ctx, k.key, k.attempt, contentDigest(k.call))
}

// contentDigest hashes the method, path and body of a call. It is used to detect the use of one key
// for different requests.
func contentDigest(c *call) uint64 {
	h := xxhash.New()
	var size [8]byte
	for _, s := range [][]byte{[]byte(c.Method), []byte(c.Path), c.Body} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(s)
	}
	return h.Sum64()
}

// replay returns the recorded response of an earlier attempt. If its body was too large to record, the
// refusal asks the caller to check with the service.
func replay(recorded *idempotency.Response, a *types.Attempt) (*engine.Reply, types.Outcome) {
	if recorded == nil || recorded.BodyDropped {
		return nil, a.RefuseAsUnknown(types.RefusedKeyUnknown)
	}
	return &engine.Reply{Status: recorded.Status, ContentType: recorded.ContentType, Body: recorded.Body}, types.Answered{}
}

// finishKey records the end of an attempt in the background, so that the caller does not wait for the
// log. A control daemon responds once the end is in the log; if it fails before that, another one is
// called. If all fail, the key stays in progress and is later treated as unknown, which is safe.
func (d *Daemon) finishKey(k *keyedCall, end idempotency.Kind, response *idempotency.Response) {
	d.pendingFinishes.Go(func() {
		ctx, cancel := context.WithTimeout(d.recordingCtx, finishTimeout)
		defer cancel()
		for {
			err := d.keys.Finish(ctx, k.key, k.attempt, end, response)
			if err == nil {
				return
			}
			if !daemon.Sleep(ctx, finishRetryInterval) {
				d.log.WithError(err).WithField(daemon.FieldRequest, k.ID).Warn("failed to record the end of a keyed request")
				return
			}
		}
	})
}

// attemptEnd converts an outcome to the end to record and, for an answered call, the response.
func attemptEnd(reply *engine.Reply, o types.Outcome) (idempotency.Kind, *idempotency.Response) {
	switch o.(type) {
	case types.Answered:
		a := &idempotency.Response{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
		if len(a.Body) > maxRecordedBodyBytes {
			a.Body, a.BodyDropped = nil, true
		}
		return idempotency.KindCompleted, a
	case types.NotRun:
		return idempotency.KindReleased, nil
	}
	return idempotency.KindUnknown, nil
}
