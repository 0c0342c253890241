package proof

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilpick/lentilpick/standin/logservice"
	"github.com/lentilpick/lentilpick/standin/modelengine"
	"github.com/lentilpick/lentilpick/types"
)

// pass lets time pass. An order that a process has checked is written after
// the longest pause at the latest.
func (w *authorityWorld) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, p := range w.procs {
		for _, id := range slices.Sorted(maps.Keys(p.ops)) {
			if op := p.ops[id]; op.stage == stageWrite && w.now.Sub(op.checkedAt) > quarantine-2*time.Second {
				p.proceed(id, stageNone)
			}
		}
	}
}

// run lets time pass while the daemons that are not paused work.
func (w *authorityWorld) run(seconds int) {
	for range seconds {
		w.pass(time.Second)
		for _, p := range w.procs {
			if !p.paused {
				p.cycle(stageNone)
			}
		}
	}
}

// pick draws a daemon, every other time the one that may order.
func (w *authorityWorld) pick(t *rapid.T) *process {
	if rapid.Bool().Draw(t, "holder") {
		for _, p := range w.procs {
			if p.holder == w.allowed {
				return p
			}
		}
	}
	return w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(t, "daemon")]
}

func (w *authorityWorld) pickTarget(t *rapid.T) types.TargetID {
	return rapid.SampledFrom(slices.Sorted(maps.Keys(w.targets))).Draw(t, "target")
}

func (p *process) wake() {
	p.paused = false
	for _, id := range slices.Sorted(maps.Keys(p.ops)) {
		p.proceed(id, stageNone)
	}
}

func (w *authorityWorld) replace(old *process, vm types.VMID) {
	w.procs[slices.Index(w.procs, old)] = w.newProcess(vm)
}

func (w *authorityWorld) want(t *rapid.T) {
	id := w.pickTarget(t)
	n := w.wanted[id]
	n.Role = rapid.SampledFrom([]types.Role{types.RoleMixed, types.RolePrefill, types.RoleDecode}).Draw(t, "role")
	n.Version = rapid.SampledFrom([]string{"0", "1"}).Draw(t, "version")
	n.Drain = rapid.Bool().Draw(t, "drain")
	w.wanted[id] = n
}

// normal actions are part of every sequence.
func (w *authorityWorld) normal() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run":  func(t *rapid.T) { w.run(rapid.IntRange(1, 12).Draw(t, "seconds")) },
		"want": w.want,
		"request": func(t *rapid.T) {
			w.jobs++
			j := &modelengine.Job{ID: types.RequestID(fmt.Sprint(w.jobs)), PromptTokens: 1, MaxTokens: 1}
			_ = w.targets[w.pickTarget(t)].Submit(j, "m", "", w.now) // a refusal is an outcome, too
		},
		"complete": func(t *rapid.T) { w.targets[w.pickTarget(t)].Step(w.now) },
	}
}

// faults returns the actions of each kind of fault.
func (w *authorityWorld) faults() map[string]map[string]func(*rapid.T) {
	type actions = map[string]func(*rapid.T)
	toggle := func(b *bool) func(*rapid.T) { return func(*rapid.T) { *b = !*b } }
	return map[string]actions{
		"pause": {
			"stall": func(t *rapid.T) {
				p := w.pick(t)
				if p.paused {
					t.Skip()
				}
				before := maps.Clone(w.wanted)
				w.want(t) // so that there is something to order
				p.paused = rapid.Bool().Draw(t, "paused")
				p.cycle(stage(rapid.IntRange(int(stageRead), int(stageNone)).Draw(t, "stage")))
				if rapid.Bool().Draw(t, "revert") {
					w.wanted = before
				}
				w.run(rapid.IntRange(0, 15).Draw(t, "seconds"))
			},
			"wake": func(t *rapid.T) { w.pick(t).wake() },
		},
		"kill": {
			"kill": func(t *rapid.T) { p := w.pick(t); w.replace(p, p.holder.VM) },
			"stop": func(t *rapid.T) { w.stop(w.pick(t)); w.run(2) },
			"replace VM": func(t *rapid.T) {
				p := w.pick(t)
				w.gone[p.holder.VM] = true
				w.replace(p, types.VMID(fmt.Sprintf("vm%d", w.runs)))
			},
		},
		"partition": {
			"partition": func(t *rapid.T) {
				p := w.pick(t)
				for _, cut := range []*bool{&p.cutRead, &p.cutAppend, &p.cutRequest, &p.cutAnswer} {
					*cut = rapid.Bool().Draw(t, "cut")
				}
			},
		},
		"outage": {"outage": func(*rapid.T) {
			f := w.log.Faults()
			f.Outage = !f.Outage
			w.log.SetFaults(f)
		}},
		"duplicates": {"duplicates": func(*rapid.T) {
			f := w.log.Faults()
			f.DuplicateAppends = 1 - f.DuplicateAppends
			w.log.SetFaults(f)
		}},
		"lost answers": {"lost answers": toggle(&w.lossy)},
		"slow log": {
			"slow": toggle(&w.slow),
			"land": func(t *rapid.T) {
				if len(w.pending) == 0 {
					t.Skip()
				}
				w.land(rapid.IntRange(0, len(w.pending)-1).Draw(t, "append"))
			},
		},
		"crash": {"crash": func(t *rapid.T) {
			tg := w.targets[w.pickTarget(t)]
			tg.InterruptAll()
			tg.AbortChange()
			if rapid.Bool().Draw(t, "restart") {
				w.restart(tg)
			}
		}},
		"expiry": {"nobody runs": func(t *rapid.T) {
			w.pass(time.Duration(rapid.IntRange(5, 60).Draw(t, "seconds")) * time.Second)
		}},
	}
}

// stop is a graceful shutdown: the orders under way end, then the lease is
// released if the result of each is known.
func (w *authorityWorld) stop(p *process) {
	p.wake()
	if r := p.lease.Release(p.local()); r != nil && p.orders.ResultsKnown() {
		p.append(r)
	}
	p.stopped = true
}

// heal ends all faults; the daemons must then bring every target to what is
// wanted of it within the lease, the quarantine and a few changes.
func (w *authorityWorld) heal() {
	w.slow, w.lossy = false, false
	w.log.SetFaults(logservice.Faults{})
	for len(w.pending) > 0 {
		w.land(0)
	}
	for _, p := range w.procs {
		p.cutRead, p.cutAppend, p.cutRequest, p.cutAnswer = false, false, false, false
		p.wake()
		if p.stopped {
			w.replace(p, p.holder.VM)
		}
	}
	for range 100 {
		for _, tg := range w.targets {
			tg.Step(w.now)
		}
		w.run(1)
		if w.settled() {
			return
		}
	}
	w.t.Fatalf("targets are not as wanted 100 s after the last fault")
}

func (w *authorityWorld) settled() bool {
	for id, tg := range w.targets {
		changing := tg.Changing(w.now) // before Description: it ends a change that is due
		d, want := tg.Description(), w.wanted[id]
		if changing || d.Role != want.Role || d.Version != want.Version || tg.Leaving() != want.Drain {
			return false
		}
	}
	return true
}

// Guards against two daemons with authority, orders without authority, orders
// that a target carries out out of turn, requests cut by a planned change, and
// daemons that stay stuck after the faults have ended.
func TestStatefulAuthority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newAuthorityWorld(t)
		actions := withFaults(t, w.normal(), w.faults())
		actions[""] = w.check
		t.Repeat(actions)
		w.heal()
	})
}
