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
// reason for a request that needs a valid credential and has none.
func (x *exchange) identify() (reason types.RefusalReason, ok bool) {
	if x.table.Workspaces == nil {
		x.caller = Caller{ForwardCredential: true}
		return 0, true
	}
	if x.route.Public {
		return 0, true
	}
	switch x.r.Credential.Form() {
	case workspaces.FormMissing:
		return types.RefusedCredentialMissing, false
	case workspaces.FormMalformed:
		return types.RefusedCredentialMalformed, false
	case workspaces.FormRepeated:
		return types.RefusedCredentialRepeated, false
	}
	w := x.table.Workspaces.Find(x.r.Credential)
	if w == nil {
		return types.RefusedCredentialUnknown, false
	}
	x.caller = Caller{Workspace: w.Name()}
	if p, ok := w.Priority(); ok {
		x.route = x.route.WithPriority(p)
	}
	return 0, true
}
