package versions

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/types"
)

// begunSlots bounds the streams that a daemon remembers, a power of two. 24 streams a second with an
// age of a minute fill 3 in 8 of it.
const begunSlots = 4096

// begunStreams holds the versions of streams that this daemon has begun. A stream replaces an earlier
// one in its slot. The zero value is empty; all methods are safe for concurrent use.
type begunStreams struct {
	slots [begunSlots]atomic.Pointer[begunStream]
}

// begunStream is immutable.
type begunStream struct {
	service types.ServiceID
	request types.RequestID
	version types.SoftwareVersion
	at      clock.Instant
}

func (b *begunStreams) slot(request types.RequestID) *atomic.Pointer[begunStream] {
	return &b.slots[xxhash.Sum64String(string(request))%begunSlots]
}

// find returns the version of a stream that began no longer than maxAge ago.
func (b *begunStreams) find(id types.ServiceID, request types.RequestID, now clock.Instant, maxAge time.Duration) (types.SoftwareVersion, bool) {
	if request == "" {
		return "", false // the first request is unknown
	}
	s := b.slot(request).Load()
	if s == nil || s.request != request || s.service != id || now.Sub(s.at) > maxAge {
		return "", false
	}
	return s.version, true
}

// RecordBegin records that a version has written the first event of the stream of a request. Resolve
// returns it as long as plans are retained, whatever the plans are: an ID names one request.
func (t *Table) RecordBegin(id types.ServiceID, request types.RequestID, v types.SoftwareVersion) {
	t.begun.slot(request).Store(&begunStream{id, request, v, t.settings.Now()})
}
