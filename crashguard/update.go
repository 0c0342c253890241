package crashguard

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/directory"
)

// Bounds of an Update. A daemon that has more to publish publishes the rest with its next
// update.
const (
	MaxReports = 2
	MaxAnswers = 8
	MaxBlocks  = 4
	// MaxReportParts bounds the parts of one report.
	MaxReportParts = 8
)

// Update is evidence that a daemon publishes to the others. Times are ages at the time of
// sending, because the clocks of two daemons cannot be compared.
type Update struct {
	Reports []Report
	Answers []Answer
	Blocks  []Block
}

// Empty reports whether the update contains nothing.
func (u *Update) Empty() bool { return len(u.Reports)+len(u.Answers)+len(u.Blocks) == 0 }

// Report is a crash of an engine under a suspect.
type Report struct {
	Target directory.Lifetime
	// Parts are the IDs of the parts of the request that were not proved to be sound.
	Parts []uint64
	Age   time.Duration
}

// Answer is the last answer to a request with a part.
type Answer struct {
	Part uint64
	Age  time.Duration
}

// Block is a part whose requests are refused.
type Block struct {
	Part uint64
	// Remaining is the time until the block ends.
	Remaining time.Duration
	// LastCrash is the age of the latest crash that counts against the part.
	LastCrash time.Duration
	// Count is the number of blocks of this part so far.
	Count int
}

// repeatTime is how long new evidence is repeated in full updates, so that a lost message does
// not lose it.
const repeatTime = 3 * time.Second

// outbox holds the evidence that has to be published.
type outbox struct {
	reports []pendingReport
	answers []pendingAnswer
	// newBlocks are the parts blocked since the last update. nextBlock is the position in the
	// list of blocked parts from which the next full update repeats some.
	newBlocks []uint64
	nextBlock int
}

// pendingReport and pendingAnswer count how often they were published.
type pendingReport struct {
	Report
	at        clock.Instant
	published int
}

type pendingAnswer struct {
	part      uint64
	at        clock.Instant // when it became pending
	published int
}

// addReport adds a report, to that of another request on the same engine if this was not
// published yet.
func (o *outbox) addReport(r Report, now clock.Instant) {
	for i := range o.reports {
		old := &o.reports[i]
		if old.Target == r.Target && old.published == 0 && len(old.Parts)+len(r.Parts) <= MaxReportParts {
			old.Parts = append(old.Parts, r.Parts...)
			return
		}
	}
	if len(o.reports) >= maxCrashes {
		o.reports = slices.Delete(o.reports, 0, 1)
	}
	o.reports = append(o.reports, pendingReport{Report: r, at: now})
}

func (o *outbox) addAnswer(part uint64, now clock.Instant) {
	if slices.ContainsFunc(o.answers, func(a pendingAnswer) bool { return a.part == part }) {
		return
	}
	if len(o.answers) < maxCrashes {
		o.answers = append(o.answers, pendingAnswer{part: part, at: now})
	}
}

// forgetRepeated forgets what was published and is old enough.
func (o *outbox) forgetRepeated(now clock.Instant) {
	o.reports = slices.DeleteFunc(o.reports, func(r pendingReport) bool { return r.published > 0 && now.Sub(r.at) > repeatTime })
	o.answers = slices.DeleteFunc(o.answers, func(a pendingAnswer) bool { return a.published > 0 && now.Sub(a.at) > repeatTime })
}

// Outgoing returns the next update to publish. A full update repeats recent evidence, least
// published first, and, in turn, the blocked parts, so that daemons that start learn of them.
func (g *Guard) Outgoing(full bool, now clock.Instant) (u Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := &g.outbox
	o.forgetRepeated(now)
	slices.SortStableFunc(o.reports, func(a, b pendingReport) int { return cmp.Compare(a.published, b.published) })
	for i := range o.reports[:min(len(o.reports), MaxReports)] {
		if r := &o.reports[i]; full || r.published == 0 {
			r.published++
			u.Reports = append(u.Reports, Report{r.Target, r.Parts, now.Sub(r.at)})
		}
	}
	slices.SortStableFunc(o.answers, func(a, b pendingAnswer) int { return cmp.Compare(a.published, b.published) })
	for i := range o.answers[:min(len(o.answers), MaxAnswers)] {
		if a := &o.answers[i]; full || a.published == 0 {
			a.published++
			u.Answers = append(u.Answers, Answer{a.part, now.Sub(g.lastAnswer(a.part))})
		}
	}
	for len(o.newBlocks) > 0 && len(u.Blocks) < MaxBlocks {
		u.Blocks = g.appendBlock(u.Blocks, o.newBlocks[0], now)
		o.newBlocks = o.newBlocks[1:]
	}
	if full {
		u.Blocks = g.repeatBlocks(u.Blocks, now)
	}
	return u
}

// repeatBlocks adds blocked parts up to MaxBlocks, in turn.
func (g *Guard) repeatBlocks(out []Block, now clock.Instant) []Block {
	all := g.sortedBlocks(now)
	for range min(len(all), MaxBlocks-len(out)) {
		g.outbox.nextBlock++
		out = g.appendBlock(out, all[g.outbox.nextBlock%len(all)], now)
	}
	return out
}

func (g *Guard) appendBlock(out []Block, part uint64, now clock.Instant) []Block {
	b := g.blocks[part]
	if b == nil || b.until <= now {
		return out
	}
	return append(out, Block{part, b.until.Sub(now), now.Sub(b.lastCrash), b.count})
}

// Pending reports whether there is evidence that was not published yet.
func (g *Guard) Pending() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := &g.outbox
	return len(o.newBlocks) > 0 ||
		slices.ContainsFunc(o.reports, func(r pendingReport) bool { return r.published == 0 }) ||
		slices.ContainsFunc(o.answers, func(a pendingAnswer) bool { return a.published == 0 })
}

// Apply adds the evidence of another daemon.
func (g *Guard) Apply(u *Update, now clock.Instant) {
	if u.Empty() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range u.Answers {
		if at := now.Add(-a.Age); int64(at) > g.published.LastUse(a.Part) {
			g.published.Touch(a.Part, int64(at))
		}
	}
	for _, r := range u.Reports {
		g.merge(r, now)
	}
	changed := g.liftAnswered()
	for _, b := range u.Blocks {
		changed = g.applyBlock(b, now) || changed
	}
	if changed {
		g.publishBlocks(now)
	}
}

// Restore blocks a part that was blocked before this daemon started, for as long as its last
// block lasted. count is the number of blocks by then. The time that has passed since is not
// known: no clock is common to the daemons of two times.
func (g *Guard) Restore(part uint64, count int, now clock.Instant) {
	if count < 1 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.applyBlock(Block{Part: part, Remaining: blockTime(count - 1), Count: count}, now) {
		g.decisions.Learned[len(g.decisions.Learned)-1].Restored = true
		g.publishBlocks(now)
	}
}

// applyBlock takes over a block and reports whether it was not known. A known one keeps its
// end: its end as told by another daemon is later by the time on the way, so that daemons that
// take the later one would extend it forever.
func (g *Guard) applyBlock(b Block, now clock.Instant) bool {
	lastCrash := now.Add(-b.LastCrash)
	if old := g.blocks[b.Part]; old != nil && old.count >= b.Count {
		return false
	}
	if g.lastAnswer(b.Part) > lastCrash {
		return false
	}
	g.forgetBlocks()
	g.blocks[b.Part] = &block{until: now.Add(b.Remaining), count: b.Count, lastCrash: lastCrash}
	g.decisions.Learned = append(g.decisions.Learned, Blocking{Part: b.Part, Count: b.Count, For: b.Remaining})
	return true
}
