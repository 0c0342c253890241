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

// advanceTime advances the clock. An order that has passed the gate is written at
// the latest when the longest assumed pause ends.
func (w *authorityWorld) advanceTime(d time.Duration) {
	w.now = w.now.Add(d)
	for _, p := range w.processes {
		for _, id := range slices.Sorted(maps.Keys(p.operations)) {
			if op := p.operations[id]; op.stage == stageWrite && w.now.Sub(op.checkedAt) > quarantine-2*time.Second {
				p.runUntil(id, stageNone)
			}
		}
	}
}

// runFor advances the clock second by second and runs the processes that are not
// paused.
func (w *authorityWorld) runFor(seconds int) {
	for range seconds {
		w.advanceTime(time.Second)
		for _, p := range w.processes {
			if !p.paused {
				p.runCycle(stageNone)
			}
		}
	}
}

// drawProcess draws a process, with probability 1/2 the one that may send orders.
func (w *authorityWorld) drawProcess(t *rapid.T) *process {
	if rapid.Bool().Draw(t, "holder") {
		for _, p := range w.processes {
			if p.holder == w.allowedHolder {
				return p
			}
		}
	}
	return w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "daemon")]
}

func (w *authorityWorld) drawTarget(t *rapid.T) types.TargetID {
	return rapid.SampledFrom(slices.Sorted(maps.Keys(w.targets))).Draw(t, "target")
}

func (p *process) resume() {
	p.paused = false
	for _, id := range slices.Sorted(maps.Keys(p.operations)) {
		p.runUntil(id, stageNone)
	}
}

func (w *authorityWorld) replaceProcess(old *process, vm types.VMID) {
	w.processes[slices.Index(w.processes, old)] = w.newProcess(vm)
}

func (w *authorityWorld) changeDesired(t *rapid.T) {
	id := w.drawTarget(t)
	desired := w.desired[id]
	desired.Role = rapid.SampledFrom([]types.Role{types.RoleMixed, types.RolePrefill, types.RoleDecode}).Draw(t, "role")
	desired.Version = rapid.SampledFrom([]string{"0", "1"}).Draw(t, "version")
	desired.Drain = rapid.Bool().Draw(t, "drain")
	w.desired[id] = desired
}

// normalActions returns the actions that are part of every sequence.
func (w *authorityWorld) normalActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run":  func(t *rapid.T) { w.runFor(rapid.IntRange(1, 12).Draw(t, "seconds")) },
		"want": w.changeDesired,
		"request": func(t *rapid.T) {
			w.requestCount++
			j := &modelengine.Job{ID: types.RequestID(fmt.Sprint(w.requestCount)), PromptTokens: 1, MaxTokens: 1}
			_ = w.targets[w.drawTarget(t)].Submit(j, "m", "", w.now) // a refusal is an accepted outcome
		},
		"complete": func(t *rapid.T) { w.targets[w.drawTarget(t)].Step(w.now) },
	}
}

// faultActions returns the actions of each kind of fault.
func (w *authorityWorld) faultActions() map[string]map[string]func(*rapid.T) {
	type actions = map[string]func(*rapid.T)
	toggle := func(b *bool) func(*rapid.T) { return func(*rapid.T) { *b = !*b } }
	return map[string]actions{
		"pause": {
			"stall": func(t *rapid.T) {
				p := w.drawProcess(t)
				if p.paused {
					t.Skip()
				}
				before := maps.Clone(w.desired)
				w.changeDesired(t) // so that there is an order to send
				p.paused = rapid.Bool().Draw(t, "paused")
				p.runCycle(stage(rapid.IntRange(int(stageRead), int(stageNone)).Draw(t, "stage")))
				if rapid.Bool().Draw(t, "revert") {
					w.desired = before
				}
				w.runFor(rapid.IntRange(0, 15).Draw(t, "seconds"))
			},
			"wake": func(t *rapid.T) { w.drawProcess(t).resume() },
		},
		"kill": {
			"kill": func(t *rapid.T) { p := w.drawProcess(t); w.replaceProcess(p, p.holder.VM) },
			"stop": func(t *rapid.T) { w.shutDown(w.drawProcess(t)); w.runFor(2) },
			"replace VM": func(t *rapid.T) {
				p := w.drawProcess(t)
				w.removedVMs[p.holder.VM] = true
				w.replaceProcess(p, types.VMID(fmt.Sprintf("vm%d", w.incarnations)))
			},
		},
		"partition": {
			"partition": func(t *rapid.T) {
				p := w.drawProcess(t)
				for _, blocked := range []*bool{&p.blockReads, &p.blockAppends, &p.blockRequests, &p.blockResponses} {
					*blocked = rapid.Bool().Draw(t, "cut")
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
		"lost answers": {"lost answers": toggle(&w.loseOrderResponses)},
		"slow log": {
			"slow": toggle(&w.delayAppends),
			"land": func(t *rapid.T) {
				if len(w.pendingAppends) == 0 {
					t.Skip()
				}
				w.deliverAppend(rapid.IntRange(0, len(w.pendingAppends)-1).Draw(t, "append"))
			},
		},
		"crash": {"crash": func(t *rapid.T) {
			tg := w.targets[w.drawTarget(t)]
			tg.InterruptAll()
			tg.AbortChange()
			if rapid.Bool().Draw(t, "restart") {
				w.restartTarget(tg)
			}
		}},
		"expiry": {"nobody runs": func(t *rapid.T) {
			w.advanceTime(time.Duration(rapid.IntRange(5, 60).Draw(t, "seconds")) * time.Second)
		}},
	}
}

// shutDown shuts a process down gracefully: orders in progress end, then the lease is
// released if the result of every order is known.
func (w *authorityWorld) shutDown(p *process) {
	p.resume()
	if r := p.lease.Release(p.localTime()); r != nil && p.orders.ResultsKnown() {
		p.appendRecord(r)
	}
	p.stopped = true
}

// checkRecovery ends all faults and checks that the daemons then bring every target to
// its desired state within 100 s: the lease, the quarantine and a few changes.
func (w *authorityWorld) checkRecovery() {
	w.delayAppends, w.loseOrderResponses = false, false
	w.log.SetFaults(logservice.Faults{})
	for len(w.pendingAppends) > 0 {
		w.deliverAppend(0)
	}
	for _, p := range w.processes {
		p.blockReads, p.blockAppends, p.blockRequests, p.blockResponses = false, false, false, false
		p.resume()
		if p.stopped {
			w.replaceProcess(p, p.holder.VM)
		}
	}
	for range 100 {
		for _, tg := range w.targets {
			tg.Step(w.now)
		}
		w.runFor(1)
		if w.converged() {
			return
		}
	}
	w.t.Fatalf("targets have not reached their desired state 100 s after the last fault")
}

func (w *authorityWorld) converged() bool {
	for id, tg := range w.targets {
		changing := tg.Changing(w.now) // before Description, since it completes a change that is due
		d, desired := tg.Description(), w.desired[id]
		if changing || d.Role != desired.Role || d.Version != desired.Version || tg.Leaving() != desired.Drain {
			return false
		}
	}
	return true
}

// Guards against two simultaneous lease holders, orders sent without the lease, orders
// that a target applies in the wrong order, requests interrupted by a planned change,
// and daemons that do not recover after the faults have ended.
func TestStatefulAuthority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newAuthorityWorld(t)
		actions := withFaults(t, w.normalActions(), w.faultActions())
		actions[""] = w.checkLeaseHolders
		t.Repeat(actions)
		w.checkRecovery()
	})
}
