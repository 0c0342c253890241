// Package wire converts between the messages of the peer protocol and the
// types of the decision modules.
package wire

import (
	"time"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"
	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/types"
)

// MaxLoads bounds the load digests in one message.
const MaxLoads = 4096

// FromReport returns the report of a target that was read at now.
func FromReport(r engine.Report, now time.Time) types.LoadReport {
	return types.LoadReport{
		At: now.Add(-time.Duration(r.AgeMs) * time.Millisecond), Sequence: r.Sequence,
		Role: r.Role, Model: r.Model, Version: r.Version, Adapters: r.Adapters,
		QueuedPrefillTokens: max(r.QueuedPrefillTokens, 0), DecodeStreams: max(r.DecodeStreams, 0),
		Running: max(r.Running, 0), KVFreeTokens: max(r.KVFreeTokens, 0),
		Leaving: r.Leaving, Changing: r.Changing,
	}
}

// ToLoad returns the digest of a report at now.
func ToLoad(id types.TargetID, r *types.LoadReport, now time.Time) *peerv1.TargetLoad {
	l := &peerv1.TargetLoad{
		Target: string(id), Sequence: r.Sequence, AgeMs: uint32(max(now.Sub(r.At).Milliseconds(), 0)),
		Role: uint32(r.Role), QueuedPrefillTokens: uint32(r.QueuedPrefillTokens),
		DecodeStreams: uint32(r.DecodeStreams), Running: uint32(r.Running),
		KvFreeTokens: uint32(r.KVFreeTokens), Leaving: r.Leaving, Changing: r.Changing,
		Model: string(r.Model), Version: r.Version,
	}
	for _, a := range r.Adapters {
		l.Adapters = append(l.Adapters, string(a))
	}
	return l
}

// FromLoad returns the report that a digest describes. ok is false for a
// digest with an unknown role or no target.
func FromLoad(l *peerv1.TargetLoad, now time.Time) (id types.TargetID, r types.LoadReport, ok bool) {
	if l.GetTarget() == "" || l.GetRole() >= uint32(types.RoleCount) {
		return "", types.LoadReport{}, false
	}
	r = types.LoadReport{
		At: now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond), Sequence: l.GetSequence(),
		Role: types.Role(l.GetRole()), Model: types.ModelID(l.GetModel()), Version: l.GetVersion(),
		QueuedPrefillTokens: int(l.GetQueuedPrefillTokens()), DecodeStreams: int(l.GetDecodeStreams()),
		Running: int(l.GetRunning()), KVFreeTokens: int(l.GetKvFreeTokens()),
		Leaving: l.GetLeaving(), Changing: l.GetChanging(),
	}
	for _, a := range l.GetAdapters() {
		r.Adapters = append(r.Adapters, types.AdapterID(a))
	}
	return types.TargetID(l.GetTarget()), r, true
}

// ToKey converts a key.
func ToKey(k idempotency.Key) *peerv1.KeyID {
	return &peerv1.KeyID{Service: string(k.Service), Workspace: string(k.Workspace), Key: k.Key}
}

// FromKey converts a key.
func FromKey(k *peerv1.KeyID) idempotency.Key {
	return idempotency.Key{
		Service: types.ServiceID(k.GetService()), Workspace: types.WorkspaceID(k.GetWorkspace()), Key: k.GetKey(),
	}
}

// ToAnswer converts a recorded answer; nil stays nil.
func ToAnswer(a *idempotency.Answer) *peerv1.KeyAnswer {
	if a == nil {
		return nil
	}
	return &peerv1.KeyAnswer{Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body, BodyDropped: a.BodyDropped}
}

// FromAnswer converts a recorded answer; nil stays nil.
func FromAnswer(a *peerv1.KeyAnswer) *idempotency.Answer {
	if a == nil {
		return nil
	}
	return &idempotency.Answer{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody(), BodyDropped: a.GetBodyDropped()}
}
