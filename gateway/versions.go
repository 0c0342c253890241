package gateway

import (
	"time"

	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

// VersionPolicy decides at which software version a stream begins and goes on. Its methods must
// not block.
type VersionPolicy interface {
	// Assign returns the version at which a stream of the service with the given request ID
	// begins, and false if none is known.
	Assign(service types.ServiceID, id types.RequestID) (types.SoftwareVersion, bool)
	// Resolve returns the version that began the stream whose first event came with the request
	// of the given ID, which may be empty if the caller does not name it. A stream begins at most
	// maxAge before it is resumed. It returns false if more than one version may have begun it.
	Resolve(service types.ServiceID, first types.RequestID, maxAge time.Duration) (types.SoftwareVersion, bool)
	// RecordBegin records that the version wrote the first event of the stream of a request.
	RecordBegin(service types.ServiceID, id types.RequestID, version types.SoftwareVersion)
}

// versionBinding restricts a request to the targets of one software version. The zero value
// restricts nothing.
type versionBinding struct {
	version types.SoftwareVersion
	bound   bool
}

// restrict returns the filter, restricted to the version.
func (b versionBinding) restrict(f placement.Filter) placement.Filter {
	if b.bound {
		return placement.OfVersion{Version: b.version, Filter: f}
	}
	return f
}

// targets returns the targets of a service that the request may use.
func (b versionBinding) targets(s *directory.Snapshot, id types.ServiceID) []*directory.Target {
	if b.bound {
		return s.OfVersion(id, b.version)
	}
	return s.Service(id)
}

// resumes reports whether the request resumes a stream that an earlier request began.
func (r *Request) resumes() bool { return r.ResumeAfter != "" || r.ResumeOf != "" }

// serviceHash returns the hash by which the service of the request is chosen. A stream is resumed
// at the service that began it.
func (r *Request) serviceHash() uint64 {
	if r.ResumeOf != "" {
		return r.ResumeHash
	}
	return r.Hash
}

// bindVersion restricts the request to the software version at which its stream has to run. What
// two versions write does not fit together, so that a request whose version cannot be determined
// is refused before anything is sent.
func (s *stream) bindVersion() types.Outcome {
	if s.r.Forwarded != nil {
		return nil // bound by the daemon that received the request
	}
	policy := s.g.settings.Versions
	switch {
	case s.r.resumes():
		v, ok := s.resolveVersion(policy)
		if !ok {
			return s.refuse(types.RefusedStreamVersion, minRetryAfter)
		}
		s.binding = versionBinding{v, true}
	case s.route.Resumable && policy != nil:
		v, ok := policy.Assign(s.serviceID, s.r.ID)
		if !ok {
			return s.refuse(types.RefusedVersionUnknown, minRetryAfter)
		}
		s.binding = versionBinding{v, true}
	}
	return nil
}

// recordBegin is called before events are passed to the caller. A stream that another daemon carries
// is bound to its version before.
func (s *stream) recordBegin() {
	policy := s.g.settings.Versions
	if policy != nil && s.route.Resumable && s.binding.bound && s.events == 0 && !s.r.resumes() {
		policy.RecordBegin(s.serviceID, s.r.ID, s.binding.version)
	}
}

func (s *stream) resolveVersion(policy VersionPolicy) (types.SoftwareVersion, bool) {
	if policy == nil {
		versions := s.g.directory.Load().Versions(s.serviceID)
		if len(versions) == 1 {
			return versions[0].Version, true
		}
		return "", len(versions) == 0 // without targets the request is refused for that reason
	}
	first := s.r.ResumeOf
	if !s.route.Resumable {
		first = "" // the stream did not begin at the version that its ID is assigned to
	}
	maxAge := s.route.Timeout
	if !s.r.Deadline.IsZero() {
		maxAge = max(maxAge, s.r.Deadline.Sub(s.now()))
	}
	return policy.Resolve(s.serviceID, first, maxAge)
}

// requiresLifetime reports whether a call may reach only the registered lifetime of its target: to
// begin or go on with a stream that may be resumed. The first target of a service that returns with
// another version gives no sign of it before its registration does. After a failure of the target,
// which may have crashed and returned so, the same holds for all streams of engines, which exchange
// KV cache.
func (x *exchange) requiresLifetime(t *directory.Target) bool {
	if x.route.Kind != routes.KindStream {
		return false
	}
	engine := x.service != nil && x.service.Engine != nil
	return x.route.Resumable || x.events > 0 || x.r.resumes() || engine && t.Load.Failing()
}
