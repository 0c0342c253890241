package ctl

import (
	"google.golang.org/protobuf/proto"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
)

// Kinds of object as they are written on the command line.
const (
	kindService   = "service"
	kindTarget    = "target"
	kindWorkspace = "workspace"
)

type object struct{ kind, id string }

// entry is an object in force and the revision of its last change.
type entry struct {
	object
	revision uint64
	message  proto.Message
}

func entries(c *adminv1.GetConfigurationResponse) []entry {
	var out []entry
	for _, e := range c.GetServices() {
		out = append(out, entry{objectOf(e.GetService()), e.GetRevision(), e.GetService()})
	}
	for _, e := range c.GetTargets() {
		out = append(out, entry{objectOf(e.GetTarget()), e.GetRevision(), e.GetTarget()})
	}
	for _, e := range c.GetWorkspaces() {
		out = append(out, entry{objectOf(e.GetWorkspace()), e.GetRevision(), e.GetWorkspace()})
	}
	return out
}

func entriesByObject(c *adminv1.GetConfigurationResponse) map[object]entry {
	out := map[object]entry{}
	for _, e := range entries(c) {
		out[e.object] = e
	}
	return out
}

func objectOf(m proto.Message) object {
	switch m := m.(type) {
	case *adminv1.Service:
		return object{kindService, m.GetId()}
	case *adminv1.Target:
		return object{kindTarget, m.GetId()}
	case *adminv1.Workspace:
		return object{kindWorkspace, m.GetId()}
	}
	return object{}
}

// putRequest returns the change that creates or changes an object.
func putRequest(m proto.Message, base uint64) *adminv1.ApplyRequest {
	r := &adminv1.ApplyRequest{BaseRevision: base}
	switch m := m.(type) {
	case *adminv1.Service:
		r.Object = &adminv1.ApplyRequest_Service{Service: m}
	case *adminv1.Target:
		r.Object = &adminv1.ApplyRequest_Target{Target: m}
	case *adminv1.Workspace:
		r.Object = &adminv1.ApplyRequest_Workspace{Workspace: m}
	}
	return r
}

func deleteRequest(e entry) *adminv1.ApplyRequest {
	r := &adminv1.ApplyRequest{BaseRevision: e.revision}
	switch e.kind {
	case kindService:
		r.Object = &adminv1.ApplyRequest_DeleteService{DeleteService: e.id}
	case kindTarget:
		r.Object = &adminv1.ApplyRequest_DeleteTarget{DeleteTarget: e.id}
	case kindWorkspace:
		r.Object = &adminv1.ApplyRequest_DeleteWorkspace{DeleteWorkspace: e.id}
	}
	return r
}

// changedObject returns the kind and identifier of the object that a change concerns.
func changedObject(r *adminv1.ApplyRequest) (kind, id string) {
	switch o := r.GetObject().(type) {
	case *adminv1.ApplyRequest_Service:
		return kindService, o.Service.GetId()
	case *adminv1.ApplyRequest_Target:
		return kindTarget, o.Target.GetId()
	case *adminv1.ApplyRequest_Workspace:
		return kindWorkspace, o.Workspace.GetId()
	case *adminv1.ApplyRequest_DeleteService:
		return kindService, o.DeleteService
	case *adminv1.ApplyRequest_DeleteTarget:
		return kindTarget, o.DeleteTarget
	case *adminv1.ApplyRequest_DeleteWorkspace:
		return kindWorkspace, o.DeleteWorkspace
	}
	return "", ""
}

func notFound(o object) error {
	return failf(ErrRefused, "no %s %q is configured; list %s prints the configured identifiers", o.kind, o.id, o.kind)
}
