// Package wire converts between the messages of the peer protocol and the types of the decision
// modules.
package wire

import (
	"time"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"
	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/types"
)

// FromReport converts the report that was received from a target at time now. Negative counts become
// 0.
func FromReport(r engine.Report, now time.Time) types.LoadReport {
	return types.LoadReport{
		At: now.Add(-time.Duration(r.AgeMs) * time.Millisecond), Sequence: r.Sequence,
		Role: r.Role, Model: r.Model, Version: r.Version, Adapters: r.Adapters,
		QueuedPrefillTokens: max(r.QueuedPrefillTokens, 0), DecodeStreams: max(r.DecodeStreams, 0),
		Running: max(r.Running, 0), KVFreeTokens: max(r.KVFreeTokens, 0),
		Leaving: r.Leaving, Changing: r.Changing,
	}
}

// ToKey converts an idempotency key to its message.
func ToKey(k idempotency.Key) *peerv1.KeyID {
	return &peerv1.KeyID{Service: string(k.Service), Workspace: string(k.Workspace), Key: k.Key}
}

// FromKey converts the message of an idempotency key.
func FromKey(k *peerv1.KeyID) idempotency.Key {
	return idempotency.Key{
		Service: types.ServiceID(k.GetService()), Workspace: types.WorkspaceID(k.GetWorkspace()), Key: k.GetKey(),
	}
}

// ToResponse converts a recorded response to its message. It returns nil for nil.
func ToResponse(r *idempotency.Response) *peerv1.KeyAnswer {
	if r == nil {
		return nil
	}
	return &peerv1.KeyAnswer{Status: int32(r.Status), ContentType: r.ContentType, Body: r.Body, BodyDropped: r.BodyDropped}
}

// FromResponse converts the message of a recorded response. It returns nil for nil.
func FromResponse(a *peerv1.KeyAnswer) *idempotency.Response {
	if a == nil {
		return nil
	}
	return &idempotency.Response{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody(), BodyDropped: a.GetBodyDropped()}
}
