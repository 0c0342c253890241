package gateway

import (
	"github.com/lentilpick/lentilpick/types"
	"github.com/lentilpick/lentilpick/workspaces"
)

// Caller is what a target learns about the caller of a request. The zero value is a caller without
// a workspace, whose credential is not shown to targets.
type Caller struct {
	// Workspace is the name of the caller's workspace, or empty.
	Workspace string
	// ForwardCredential means that the configuration has no workspaces: the system does not check
	// credentials, which are headers like others.
	ForwardCredential bool
}

// identify determines the caller of a request from its credential and the configuration in force at
// its arrival, and gives the route the priority of the caller's workspace. It returns false and a
// reason for a request that needs a valid credential and has none. A public route needs none, but a
// caller with a valid one is known there as well.
func (x *exchange) identify() (reason types.RefusalReason, ok bool) {
	if x.table.Workspaces == nil {
		x.caller = Caller{ForwardCredential: true}
		return 0, true
	}
	w := x.table.Workspaces.Find(x.r.Credential)
	if w == nil {
		return credentialRefusal(x.r.Credential.Form()), x.route.Public
	}
	x.caller = Caller{Workspace: w.Name()}
	if p, ok := w.Priority(); ok {
		x.route = x.route.WithPriority(p)
	}
	return 0, true
}

// credentialRefusal returns the reason for which a credential of the given form, which belongs to no
// workspace, is refused.
func credentialRefusal(f workspaces.Form) types.RefusalReason {
	switch f {
	case workspaces.FormMissing:
		return types.RefusedCredentialMissing
	case workspaces.FormMalformed:
		return types.RefusedCredentialMalformed
	case workspaces.FormRepeated:
		return types.RefusedCredentialRepeated
	}
	return types.RefusedCredentialUnknown
}

// currentCaller returns the caller for a call that begins now. A request that arrived before the
// configuration had workspaces shows targets no credential once there are some.
func (x *exchange) currentCaller() Caller {
	if t := x.g.table.Load(); x.caller.ForwardCredential && t.Workspaces != nil {
		return Caller{}
	}
	return x.caller
}
