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
	// maxRecordedBody bounds the answer body that is kept with a key.
	maxRecordedBody = 4 << 10
	// finishTimeout bounds the time to record the end of an attempt. It is the
	// control daemons' default time after which an attempt without an end counts as
	// unknown, so that a later end changes nothing.
	finishTimeout = time.Minute
	// finishPause is the time between two tries to record an end.
	finishPause = time.Second
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
		attempt: d.settings.VM + "/" + strconv.FormatUint(d.attempts.Add(1), 36) + "/" + d.incarnation,
	}
}

// serveKeyed runs a call at most once for its key.
func (d *Daemon) serveKeyed(c *call, v *localview.View, a *types.Attempt) (*engine.Reply, types.Outcome) {
	k := d.newKeyedCall(c)
	verdict, answer, err := d.claim(k)
	if err != nil {
		// The claim may still reach the log; the release lets the key run later.
		d.finishKey(k, idempotency.KindReleased, nil)
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
		return replay(answer, a)
	}
	// An intent of this attempt that lands later, or a copy of it, must not hold
	// the key after the other attempt has been released.
	d.finishKey(k, idempotency.KindReleased, nil)
	switch verdict {
	case idempotency.VerdictConflict:
		return nil, a.Refuse(types.RefusedKeyConflict)
	case idempotency.VerdictInProgress:
		return nil, a.RefuseAsUnknown(types.RefusedKeyInProgress)
	}
	return nil, a.RefuseAsUnknown(types.RefusedKeyUnknown)
}

// runKeyed dispatches the call, whose key belongs to this attempt, and records
// the end.
func (d *Daemon) runKeyed(k *keyedCall, v *localview.View, a *types.Attempt) (*engine.Reply, types.Outcome) {
	reply, o := d.dispatchCall(k.call, v, a)
	end, recorded := keyEnd(reply, o)
	d.finishKey(k, end, recorded)
	return reply, o
}

// claim asks for the key until the caller's deadline. Repeating the question
// for one attempt is harmless.
func (d *Daemon) claim(k *keyedCall) (idempotency.Verdict, *idempotency.Response, error) {
	ctx, cancel := context.WithDeadline(context.Background(), k.Deadline)
	defer cancel()
	return d.keys.Claim(ctx, k.key, k.attempt, digest(k.call))
}

// digest identifies the content of a call, so that a key that is used for
// another request is detected.
func digest(c *call) uint64 {
	h := xxhash.New()
	var size [8]byte
	for _, s := range [][]byte{[]byte(c.Method), []byte(c.Path), c.Body} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(s)
	}
	return h.Sum64()
}

// replay returns the recorded answer. An answer whose body was too large to
// record cannot be given whole, so that the caller is told to check.
func replay(answer *idempotency.Response, a *types.Attempt) (*engine.Reply, types.Outcome) {
	if answer == nil || answer.BodyDropped {
		return nil, a.RefuseAsUnknown(types.RefusedKeyUnknown)
	}
	return &engine.Reply{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}, types.Answered{}
}

// finishKey records the end of an attempt in the background, so that the caller
// does not wait for the log. A control daemon answers once the end is in the
// log; if it fails before, another one is asked. If all fail the key stays in
// progress and later counts as unknown, which is safe.
func (d *Daemon) finishKey(k *keyedCall, end idempotency.Kind, answer *idempotency.Response) {
	d.finishing.Go(func() {
		ctx, cancel := context.WithTimeout(d.recording, finishTimeout)
		defer cancel()
		for {
			err := d.keys.Finish(ctx, k.key, k.attempt, end, answer)
			if err == nil {
				return
			}
			if !daemon.Sleep(ctx, finishPause) {
				d.log.WithError(err).WithField(daemon.FieldRequest, k.ID).Warn("the end of a keyed request was not recorded")
				return
			}
		}
	})
}

func keyEnd(reply *engine.Reply, o types.Outcome) (idempotency.Kind, *idempotency.Response) {
	switch o.(type) {
	case types.Answered:
		a := &idempotency.Response{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
		if len(a.Body) > maxRecordedBody {
			a.Body, a.BodyDropped = nil, true
		}
		return idempotency.KindCompleted, a
	case types.NotRun:
		return idempotency.KindReleased, nil
	}
	return idempotency.KindUnknown, nil
}
