// Package vmlist is a stand-in for the platform's list of VMs. Changes become
// visible after a lag. It models neither failed reads nor readers that see
// different versions of the list.
package vmlist

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/standin/web"
)

// VM is one entry of the list. Leaving indicates that the VM is about to be
// withdrawn.
type VM struct {
	Name       string `json:"name" toml:"name"`
	Address    string `json:"address" toml:"address"`
	DataCentre string `json:"data_centre" toml:"data_centre"`
	Leaving    bool   `json:"leaving" toml:"leaving"`
}

type version struct {
	visibleAt time.Time
	vms       []VM
}

// List is a list of VMs whose changes become visible after a lag. It is safe for concurrent use.
type List struct {
	lag time.Duration
	now func() time.Time

	mu       sync.Mutex
	versions []version
}

// New returns a list of vms whose changes become visible after lag by the clock now.
func New(vms []VM, lag time.Duration, now func() time.Time) *List {
	return &List{lag: lag, now: now, versions: []version{{vms: vms}}}
}

// Set replaces the list; the change becomes visible after the lag.
func (l *List) Set(vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{visibleAt: l.now().Add(l.lag), vms: vms})
}

// Visible returns the list as a client sees it now.
func (l *List) Visible() []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for len(l.versions) > 1 && !l.versions[1].visibleAt.After(now) {
		l.versions = l.versions[1:]
	}
	return l.versions[0].vms
}

// Handle serves GET and PUT of /v1/vms. It reports whether it handled the request.
func (l *List) Handle(ctx *fasthttp.RequestCtx) bool {
	if string(ctx.Path()) != "/v1/vms" {
		return false
	}
	if ctx.IsPut() {
		var vms []VM
		if err := json.Unmarshal(ctx.PostBody(), &vms); err != nil {
			web.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
			return true
		}
		l.Set(vms)
	}
	web.Reply(ctx, inDataCentre(l.Visible(), string(ctx.QueryArgs().Peek("data_centre"))))
	return true
}

// inDataCentre returns the VMs of a data centre, or all VMs if dc is empty.
func inDataCentre(vms []VM, dc string) []VM {
	if dc == "" {
		return vms
	}
	out := []VM{}
	for _, v := range vms {
		if v.DataCentre == dc {
			out = append(out, v)
		}
	}
	return out
}
