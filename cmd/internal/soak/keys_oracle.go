package soak

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// keyVerdict is a rule that a request broke, or keyKept.
type keyVerdict uint8

const (
	keyKept        keyVerdict = iota
	keyShown                  // a target received a key
	workspaceWrong            // a target received another workspace than that of the key
	unknownRan                // ran without a key that a configuration held
	droppedRan                // ran with a key that was dropped longer ago than the bound
	knownRefused              // 401 for a key in all configurations since the bound
	keyInLog                  // a log line of a node contains a key
	keyRuleCount
	keyRuleFirst = keyShown
)

func (v keyVerdict) String() string {
	return [...]string{"KEPT", "KEY-SHOWN", "WORKSPACE-WRONG", "UNKNOWN-RAN", "DROPPED-RAN", "KNOWN-REFUSED", "KEY-IN-LOG"}[v]
}

// keysFigures are the results of a run.
type keysFigures struct {
	outcomes map[string]int // requests by kind of key and status
	broken   [keyRuleCount]int
	first    [keyRuleCount]string // a description of the first case
	logLines int
	// held and heldServed are the requests with a key that was held, and those answered with 200.
	held, heldServed int
	// prefills, retries and resumptions are requests that targets received for requests of callers.
	prefills, retries, resumptions int
}

// count counts the way in which a request reached a target.
func (f *keysFigures) count(r *standin.Receipt, again bool) {
	switch {
	case r.Prefill:
		f.prefills++
	case r.HasHeader(standin.ResumeAfterHeader):
		f.resumptions++
	case again:
		f.retries++
	}
}

func (f *keysFigures) add(v keyVerdict, description string) {
	if v == keyKept {
		return
	}
	if f.broken[v] == 0 {
		f.first[v] = description
	}
	f.broken[v]++
}

// classifyReceipt judges what a target received of a request.
func classifyReceipt(c *keyedCall, r *standin.Receipt) keyVerdict {
	if len(r.Keys) > 0 || slices.ContainsFunc(r.Headers, func(h string) bool { return strings.Contains(h, keyMark) }) {
		return keyShown
	}
	var allowed []string
	if c.use == keyHeld || c.use == keyDropped || c.use == keyRepeated {
		allowed = append(allowed, c.key.workspace)
	}
	if c.use == keyRepeated {
		allowed = append(allowed, c.second.workspace)
	}
	switch {
	case c.route.Public && len(r.Workspaces) == 0:
		return keyKept
	case len(allowed) == 0 && !c.route.Public:
		return keyKept // judged as unknownRan
	case len(r.Workspaces) == 1 && slices.Contains(allowed, r.Workspaces[0]):
		return keyKept
	}
	return workspaceWrong
}

// classifyCall judges whether a request may have reached a target, and its status. disturbed is
// the time since the begin of the node's faults when the request was sent, 0 if it has none and had
// none within stableWindow.
func classifyCall(c *keyedCall, ran bool, disturbed time.Duration) keyVerdict {
	bound := configBound + keysMargin
	if c.route.Public {
		if c.status == http.StatusUnauthorized {
			return knownRefused
		}
		return keyKept
	}
	switch c.use {
	case keyUnknown, keyMissing, keyMalformed:
		if ran {
			return unknownRan
		}
	case keyDropped:
		if ran && disturbed == 0 && c.sent.Sub(c.key.dropped) > bound {
			return droppedRan
		}
	case keyHeld:
		age := c.sent.Sub(c.key.added)
		// A node with faults has what was in force before them.
		known := age > bound && disturbed == 0 || age > deniedAge+keysMargin && age-disturbed > bound
		if c.status == http.StatusUnauthorized && known && (c.key.dropping.IsZero() || c.key.dropping.After(c.ended)) {
			return knownRefused
		}
	}
	return keyKept
}

func (s *keysRun) judge() *keysFigures {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &keysFigures{outcomes: map[string]int{}}
	received := map[string][]standin.Receipt{}
	for _, t := range s.deployment.targets {
		for _, r := range t.Receipts() {
			if r.Request != "" {
				received[r.Request] = append(received[r.Request], r)
			} else if len(r.Keys) > 0 {
				f.add(keyShown, fmt.Sprintf("%s received a key with %s", t.ID, r.Path))
			}
		}
	}
	for i := range s.calls {
		c := &s.calls[i]
		if c.status != 0 {
			f.outcomes[fmt.Sprintf("%s-%d", c.use, c.status)]++
			if c.use == keyHeld {
				f.held++
				if c.status == http.StatusOK {
					f.heldServed++
				}
			}
		}
		at := fmt.Sprintf("request %s, route %s, %s key, sent to %s at %s, status %d", c.id, c.route.Name, c.use, c.node.name, c.sent.Format("15:04:05.000"), c.status)
		for i, r := range received[c.id] {
			f.count(&r, i > 0 && c.route.Kind != "streaming")
			f.add(classifyReceipt(c, &r), fmt.Sprintf("%s: the target received %q", at, r.Headers))
		}
		f.add(classifyCall(c, len(received[c.id]) > 0, c.node.disturbedFor(c.sent)), at)
	}
	return f
}

// check returns the rules that the run broke.
func (f *keysFigures) check() error {
	var errs []error
	if 2*f.heldServed < f.held {
		errs = append(errs, fmt.Errorf("%d of %d requests with a key that was held were served", f.heldServed, f.held))
	}
	for v := keyRuleFirst; v < keyRuleCount; v++ {
		if f.broken[v] > 0 {
			errs = append(errs, fmt.Errorf("%s: %d cases, the first: %s", v, f.broken[v], f.first[v]))
		}
	}
	return errors.Join(errs...)
}
