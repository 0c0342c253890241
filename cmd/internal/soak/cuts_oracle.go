package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// cutRule is a rule of the scenario.
type cutRule uint8

const (
	cutKept     cutRule = iota
	cutRecover          // RECOVER of the platform: nodes with a cut serve far less often than the others
	cutStrict           // from 1 s after the begin of the cut they, or the others during it, serve less than 0.97 as often
	cutOthers           // nodes without a cut serve less often than before the first cut
	cutHeal             // after a cut a node does not serve, or does not by itself
	cutSilence          // a silence of sound targets has an effect after its end
	cutTwice            // a request that may run once ran more often
	cutRanAfter         // a refused request has run
	cutWrong            // a response or an event is not that of the request
	cutVersions         // streams hold events of two versions
	cutKeys             // a key or another workspace at a target, or a key in a log
	cutBlamed           // a node without a cut takes a sound target for a broken one, or any a prompt
	cutRuleCount
)

func (r cutRule) String() string {
	return [...]string{"KEPT", "RECOVER", "STRICT", "OTHERS", "HEAL", "SILENCE", "TWICE", "REFUSED-RAN", "WRONG", "VERSIONS", "KEYS", "BLAMED"}[r]
}

// share counts first tries and those that were served.
type share struct{ served, sent int }

func (s *share) add(c *cutCall) {
	s.sent++
	if c.served() {
		s.served++
	}
}

func (s share) String() string { return fmt.Sprintf("%d/%d", s.served, s.sent) }

// below reports whether s is less than the fraction n/d of the share of the others.
func (s share) below(others share, n, d int) bool {
	return d*s.served*others.sent < n*others.served*s.sent
}

const (
	// toleratedFailures and toleratedDivisor are the first tries that may fail: 10 + 1 in 50 of all.
	toleratedFailures = 10
	toleratedDivisor  = 50
)

// breaksRecover applies rule RECOVER to the first tries at some nodes and at the others.
func breaksRecover(at, others share) bool {
	failed, all := at.sent-at.served, at.sent+others.sent
	return at.below(others, 2, 3) && failed*toleratedDivisor > toleratedFailures*toleratedDivisor+all
}

// cutFigures are the shares of one cut.
type cutFigures struct {
	cut *cutSpan
	// at and others count first tries from the stable window after the begin of the cut on, and
	// strictAt and strictOthers those from cutsStrictDelay on. Tries whose deadlines are later than
	// the end of the cut do not count, as they may be served after it.
	at, others, strictAt, strictOthers share
	// healed and healedOthers count first tries from cutsHealTime after the cut to the next one, and
	// byItself those of healed.served that the node itself sent to a target.
	healed, healedOthers share
	byItself             int
	// beside counts first tries at the others during the cut, without silences.
	beside share
}

// cutsFigures are the results of a run.
type cutsFigures struct {
	cuts                 []cutFigures
	before, afterSilence share
	statuses             map[string]int // of first tries
	broken               [cutRuleCount]int
	first                [cutRuleCount]string
	// passedOn counts served first tries that another node sent to a target, refusedRan the refused
	// requests that ran, by the kind of their route.
	passedOn                       int
	refusedRan                     map[string]int
	mixed, logLines, blamedByTheir int
}

func newCutsFigures() *cutsFigures {
	return &cutsFigures{statuses: map[string]int{}, refusedRan: map[string]int{}}
}

func (f *cutsFigures) add(r cutRule, format string, args ...any) {
	if f.broken[r]++; f.broken[r] == 1 {
		f.first[r] = fmt.Sprintf(format, args...)
	}
}

// cutAt returns the cut that a node has at a time or had up to after before it.
func (s *cutsRun) cutAt(n *cutNode, t time.Time, after time.Duration) *cutSpan {
	for _, c := range s.cuts {
		if c.has(n) && !t.Before(c.from) && t.Before(c.to.Add(after)) {
			return c
		}
	}
	return nil
}

// silentAt reports whether any target, or the given one, is silent at a time or was up to after before
// it.
func (s *cutsRun) silentAt(target string, t time.Time, after time.Duration) bool {
	return slices.ContainsFunc(s.silences, func(q silence) bool {
		return (target == "" || slices.Contains(q.targets, target)) && !t.Before(q.from) && t.Before(q.to.Add(after))
	})
}

func (s *cutsRun) judge() *cutsFigures {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs, receipts := map[string][]standin.Run{}, map[string][]standin.Receipt{}
	f := newCutsFigures()
	for _, t := range s.deployment.targets {
		for _, r := range t.Runs() {
			runs[r.Request] = append(runs[r.Request], r)
		}
		for _, r := range t.Receipts() {
			if r.Request != "" {
				receipts[r.Request] = append(receipts[r.Request], r)
			} else if len(r.Keys) > 0 {
				f.add(cutKeys, "%s received a key with %s", t.ID, r.Path)
			}
		}
	}
	for i := range s.cuts {
		f.cuts = append(f.cuts, cutFigures{cut: s.cuts[i]})
	}
	for i := range s.calls {
		c := &s.calls[i]
		f.judgeCall(c, runs[c.id], receipts[c.id])
		if c.first && !c.cancelled && c.node.inTouch(c.sent, c.ended) {
			s.countFirst(f, c, runs[c.id])
		}
	}
	for i := range s.streams {
		if inAnswer, overTries := s.streams[i].mixing(); inAnswer || overTries {
			f.mixed++
		}
	}
	f.judgeShares()
	return f
}

// judgeCall judges what a request did at targets and what its caller received.
func (f *cutsFigures) judgeCall(c *cutCall, runs []standin.Run, receipts []standin.Receipt) {
	at := fmt.Sprintf("request %s, route %s, sent to %s at %s, status %d %s", c.id, c.route.Name, c.node.name, c.sent.Format("15:04:05.000"), c.status, c.reason)
	once := c.route.Kind == "unsafe" || c.isStream() && !c.route.Resumable
	if once && len(runs) > 1 {
		f.add(cutTwice, "%s: ran %d times", at, len(runs))
	}
	if c.refused() && len(runs) > 0 {
		f.refusedRan[c.route.Name]++
		f.add(cutRanAfter, "%s: ran", at)
	}
	switch {
	case c.stream.wrong != "":
		f.add(cutWrong, "%s: %s", at, c.stream.wrong)
	case c.complete && c.status == http.StatusOK && !c.served():
		f.add(cutWrong, "%s: %.60q", at, c.body)
	}
	k := keyedCall{route: c.route, use: keyHeld, key: c.key}
	for _, r := range receipts {
		if v := classifyReceipt(&k, &r); v != keyKept {
			f.add(cutKeys, "%s: %s, the target received %q", at, v, r.Headers)
		}
	}
}

// countFirst counts a first try at a node in touch.
func (s *cutsRun) countFirst(f *cutsFigures, c *cutCall, runs []standin.Run) {
	f.statuses[strings.TrimSuffix(fmt.Sprintf("%d-%s", c.status, c.reason), "-")]++
	own := slices.ContainsFunc(runs, func(r standin.Run) bool { return r.Receipt.Remote == c.node.ip })
	if c.served() && len(runs) > 0 && !own {
		f.passedOn++
	}
	if len(s.cuts) == 0 || c.sent.Before(s.cuts[0].from.Add(-beforeCut)) {
		f.before.add(c)
	}
	if s.silentAt("", c.sent.Add(-time.Second), time.Second) && !s.silentAt("", c.sent, time.Second) && s.cutAt(c.node, c.sent.Add(beforeCut), beforeCut+cutsHealTime) == nil {
		f.afterSilence.add(c)
	}
	for i := range f.cuts {
		next := time.Time{}
		if i+1 < len(f.cuts) {
			next = f.cuts[i+1].cut.from
		}
		s.countInCut(&f.cuts[i], next, c, own)
	}
}

// countInCut counts a first try if it was sent during a cut or between its end and the next cut.
func (s *cutsRun) countInCut(g *cutFigures, next time.Time, c *cutCall, own bool) {
	k := g.cut
	at := k.has(c.node)
	count := func(cut, others *share) {
		if at {
			cut.add(c)
		} else {
			others.add(c)
		}
	}
	switch since := c.sent.Sub(k.from); {
	case since < 0:
	case c.sent.Before(k.to):
		late := c.sent.Add(cutsDeadline).After(k.to)
		if since >= cutsStableWindow && !late {
			count(&g.at, &g.others)
		}
		if since >= cutsStrictDelay && !late {
			count(&g.strictAt, &g.strictOthers)
		}
		if !at && !s.silentAt("", c.sent, time.Second) {
			g.beside.add(c)
		}
	case !c.sent.Before(k.to.Add(cutsHealTime)) && (next.IsZero() || c.sent.Before(next.Add(-beforeCut))):
		count(&g.healed, &g.healedOthers)
		if at && own && c.served() {
			g.byItself++
		}
	}
}

// judgeShares applies the rules on shares.
func (f *cutsFigures) judgeShares() {
	for _, g := range f.cuts {
		if !g.cut.partial {
			if breaksRecover(g.at, g.others) {
				f.add(cutRecover, "%s: %s first tries served from %v on, %s at the others", g.cut, g.at, cutsStableWindow, g.others)
			}
			if g.strictAt.below(g.strictOthers, 97, 100) {
				f.add(cutStrict, "%s: %s first tries served from %v on, %s at the others", g.cut, g.strictAt, cutsStrictDelay, g.strictOthers)
			}
		}
		if g.beside.below(f.before, 97, 100) {
			f.add(cutStrict, "%s: %s first tries served at the others, %s before", g.cut, g.beside, f.before)
		}
		if breaksRecover(g.beside, f.before) {
			f.add(cutOthers, "%s: %s first tries served at the others, %s before", g.cut, g.beside, f.before)
		}
		switch all := (share{g.healed.served, g.healed.sent}); {
		case breaksRecover(all, g.healedOthers):
			f.add(cutHeal, "%s: %s first tries served later than %v after its end, %s at the others", g.cut, all, cutsHealTime, g.healedOthers)
		case breaksRecover(share{g.byItself, all.served}, share{1, 1}):
			f.add(cutHeal, "%s: %d of %d served later than %v after its end by the node itself", g.cut, g.byItself, all.served, cutsHealTime)
		}
	}
	if breaksRecover(f.afterSilence, f.before) {
		f.add(cutSilence, "%s first tries served from 1 s to 2 s after silences, %s before", f.afterSilence, f.before)
	}
	if f.mixed > maxMixedStreams {
		f.add(cutVersions, "%d streams hold events of two versions", f.mixed)
	}
}

// blamingMessages are the log messages with which a node takes a target for broken, and blockMessages
// those about prompts under which engines crash. No engine crashes in this scenario.
var (
	blamingMessages = []string{"target is silent", "target crashed at the beginning of a response"}
	blockMessages   = []string{"prompt part blocked: engines crash under its requests", "prompt part blocked by another node"}
)

// logLine is the part of a node's log line that the oracle reads.
type logLine struct {
	Time   time.Time `json:"time"`
	Msg    string    `json:"msg"`
	Target string    `json:"target"`
}

// judgeLine judges a line of a node's log.
func (s *cutsRun) judgeLine(f *cutsFigures, n *cutNode, line string) {
	f.logLines++
	if strings.Contains(line, keyMark) {
		f.add(cutKeys, "%s logs a key: %.200s", n.name, line)
	}
	var l logLine
	switch {
	case slices.ContainsFunc(blockMessages, func(m string) bool { return strings.Contains(line, m) }):
		f.add(cutBlamed, "%s: %s", n.name, strings.TrimSpace(line))
		return
	case !slices.ContainsFunc(blamingMessages, func(m string) bool { return strings.Contains(line, m) }):
		return
	case json.Unmarshal([]byte(line), &l) != nil || s.silentAt(l.Target, l.Time, cutsStableWindow):
		return
	}
	if s.cutAt(n, l.Time, cutsStableWindow) != nil {
		f.blamedByTheir++
		return
	}
	if slices.ContainsFunc(s.cuts, func(c *cutSpan) bool { return !l.Time.Before(c.from) && l.Time.Before(c.to.Add(cutsStableWindow)) }) {
		f.add(cutBlamed, "%s: %s", n.name, strings.TrimSpace(line))
	}
}

// check returns the rules that the run broke. The strict one counts if strict is set.
func (f *cutsFigures) check(strict bool) error {
	var errs []error
	for r := cutKept + 1; r < cutRuleCount; r++ {
		if f.broken[r] > 0 && (strict || r != cutStrict) {
			errs = append(errs, fmt.Errorf("%s: %d cases, the first: %s", r, f.broken[r], f.first[r]))
		}
	}
	return errors.Join(errs...)
}

func (s *cutsRun) summary(f *cutsFigures) string {
	var b strings.Builder
	fmt.Fprintf(&b, "timer-delay=%s cuts=%d kills=%d stops=%d changes=%d outages=%d silences=%d requests=%d streams=%d",
		s.delay.max().Round(time.Millisecond), len(s.cuts), s.kills, s.stops, s.changes, s.outages, len(s.silences), len(s.calls), len(s.streams))
	fmt.Fprintf(&b, " before=%s after-silence=%s passed-on=%d mixed=%d refused-ran=%v blamed-at-cut=%d log-lines=%d", f.before, f.afterSilence, f.passedOn, f.mixed, f.refusedRan, f.blamedByTheir, f.logLines)
	for _, name := range slices.Sorted(maps.Keys(f.statuses)) {
		fmt.Fprintf(&b, " %s=%d", name, f.statuses[name])
	}
	for r := cutKept + 1; r < cutRuleCount; r++ {
		fmt.Fprintf(&b, " %s=%d", r, f.broken[r])
	}
	for _, g := range f.cuts {
		kind := ""
		if g.cut.partial {
			kind = "-partial:" + strings.Join(g.cut.lost, ",")
		}
		fmt.Fprintf(&b, " [%s-%s%s nodes=%d at=%s others=%s strict=%s others=%s beside=%s healed=%s others=%s by-itself=%d]",
			g.cut.who, g.cut.how, kind, len(g.cut.nodes), g.at, g.others, g.strictAt, g.strictOthers, g.beside, g.healed, g.healedOthers, g.byItself)
	}
	return b.String()
}
