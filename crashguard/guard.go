// Package crashguard finds the prompt parts whose requests crash engines, and decides which
// requests are refused for them. It answers one fault: requests that share a part crash one
// engine after another, arrive at any daemon, and break the sound streams beside them.
//
// Daemons exchange their evidence in updates: which engines crashed under a request whose
// response had only begun, which parts have been answered since, and which parts are blocked. The
// package performs no I/O and takes all clock readings as arguments.
package crashguard

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/directory"
)

const (
	// maxSuspectEvents is the number of events up to which a response has only begun. An engine
	// that crashes on a prompt may send some events before the crash takes effect. Without a
	// bound, parts of long streams would be suspects of most crashes of engines that end together.
	maxSuspectEvents = 8
	// minCrashes is the number of crashes after which a part is blocked. Sound parts are in
	// progress at one or two crashes by chance.
	minCrashes = 3
	// minCrashesAnswered is the same for a part with a known answer. Engines that lose power
	// together end under the same parts, if these are in most prompts; parts that turn bad are
	// rarer.
	minCrashesAnswered = 5
	// answerMargin is how long before a crash an answer still proves that a part is sound.
	// Parts in common use are answered several times in it; a part that turns bad is found
	// that much later.
	answerMargin = 2 * time.Second
	// settleTime is how old a crash must be before it counts, so that the reports and answers
	// of other daemons have arrived. They are published by Evaluate, every EvaluateInterval.
	settleTime       = 500 * time.Millisecond
	EvaluateInterval = 200 * time.Millisecond
	// firstBlock is the length of the first block of a part. Each further one lasts twice as
	// long, up to maxBlock.
	firstBlock = time.Minute
	maxBlock   = time.Hour
	// memory is how long a crash counts.
	memory = 10 * time.Minute
	// maxCrashes bounds the remembered crashes, and maxBlocks the blocked parts. When they are
	// exceeded, the oldest is forgotten.
	maxCrashes = 256
	maxBlocks  = 256
)

// Suspect reports whether a request whose connection broke after a number of events may have
// caused a crash of its engine: an engine that crashes on a prompt does so when it begins to
// write the response. Sound responses at their beginning are suspects too, until an answer proves
// their parts.
func Suspect(events int) bool { return events <= maxSuspectEvents }

// Guard holds the evidence of one daemon. It is safe for concurrent use. Blocked and
// RecordAnswer take no lock.
type Guard struct {
	blocked atomic.Pointer[map[uint64]clock.Instant] // part to the end of its block
	// answered and published hold the times of the last answers to requests with a part: those
	// of this daemon, and those that any daemon has published. The keys are IDs of parts.
	answered, published directory.PrefixTable

	mu      sync.Mutex
	crashes map[directory.Lifetime]*crash
	blocks  map[uint64]*block
	outbox  outbox
	// decisions are those since the last call to Evaluate.
	decisions Decisions
}

// crash is the end of one lifetime of an engine under requests whose responses had only begun.
type crash struct {
	at    clock.Instant
	parts map[uint64]struct{}
}

// block is the state of a part that was blocked at least once.
type block struct {
	until clock.Instant
	// count is the number of blocks so far.
	count int
	// lastCrash is the latest crash that counted against the part.
	lastCrash clock.Instant
	// ended is set once the end of the current block was returned as a decision.
	ended bool
}

// New returns a Guard without evidence.
func New() *Guard {
	g := &Guard{crashes: map[directory.Lifetime]*crash{}, blocks: map[uint64]*block{}}
	g.blocked.Store(&map[uint64]clock.Instant{})
	return g
}

// Blocked returns how much longer requests with any of the parts are refused, 0 if they are
// not.
func (g *Guard) Blocked(parts []directory.Part, now clock.Instant) time.Duration {
	blocked := *g.blocked.Load()
	if len(blocked) == 0 {
		return 0
	}
	var longest time.Duration
	for _, p := range parts {
		if until, ok := blocked[p.ID]; ok {
			longest = max(longest, until.Sub(now))
		}
	}
	return longest
}

// BlockedParts returns the number of parts that are blocked at present.
func (g *Guard) BlockedParts(now clock.Instant) (n int) {
	for _, until := range *g.blocked.Load() {
		if until > now {
			n++
		}
	}
	return n
}

// RecordAnswer records that a request with these parts was answered in full.
func (g *Guard) RecordAnswer(parts []directory.Part, now clock.Instant) {
	for _, p := range parts {
		g.answered.Touch(p.ID, int64(now))
	}
}

// lastAnswer returns the time of the last known answer to a request with the part.
func (g *Guard) lastAnswer(part uint64) clock.Instant {
	return clock.Instant(max(g.answered.LastUse(part), g.published.LastUse(part)))
}

// proves reports whether an answer at the given time, or none if it is 0, shows that its parts
// did not cause a crash.
func proves(answer, crash clock.Instant) bool {
	return answer != 0 && answer >= crash.Add(-answerMargin)
}

// RecordCrash records that an engine has crashed under a suspect with these parts. It reports
// whether there is something new to publish.
func (g *Guard) RecordCrash(t directory.Lifetime, parts []directory.Part, now clock.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := Report{Target: t, Parts: g.suspects(parts, now)}
	if !g.merge(r, now) {
		return false
	}
	g.outbox.addReport(r, now)
	return true
}

// suspects returns the parts that may have caused a crash, those without an answer or with the
// oldest one first.
func (g *Guard) suspects(parts []directory.Part, crash clock.Instant) (out []uint64) {
	for _, p := range parts {
		if !proves(g.lastAnswer(p.ID), crash) {
			out = append(out, p.ID)
		}
	}
	slices.SortStableFunc(out, func(a, b uint64) int { return cmp.Compare(g.lastAnswer(a), g.lastAnswer(b)) })
	return out[:min(len(out), MaxReportParts)]
}

// KnownCrash reports whether the crash of a lifetime of an engine is known.
func (g *Guard) KnownCrash(t directory.Lifetime) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes[t] != nil
}

// merge adds a report to the evidence and reports whether it contains a part that is new and
// not proved to be sound.
func (g *Guard) merge(r Report, now clock.Instant) (added bool) {
	c := g.crashes[r.Target]
	if c == nil {
		c = &crash{at: now.Add(-r.Age), parts: map[uint64]struct{}{}}
	}
	for _, p := range r.Parts {
		_, known := c.parts[p]
		if !known && len(c.parts) < maxCrashParts && !proves(g.lastAnswer(p), c.at) {
			c.parts[p] = struct{}{}
			added = true
		}
	}
	if added && g.crashes[r.Target] == nil {
		g.forgetCrashes(now)
		g.crashes[r.Target] = c
	}
	return added
}

// maxCrashParts bounds the parts of one crash: those of all suspects of it.
const maxCrashParts = 128

// forgetCrashes forgets the crashes that no longer count, and the oldest one if there are too
// many.
func (g *Guard) forgetCrashes(now clock.Instant) {
	var oldest directory.Lifetime
	first := now
	for t, c := range g.crashes {
		if now.Sub(c.at) > memory {
			delete(g.crashes, t)
		} else if c.at <= first {
			oldest, first = t, c.at
		}
	}
	if len(g.crashes) >= maxCrashes {
		delete(g.crashes, oldest)
	}
}

// Blocking describes a block.
type Blocking struct {
	Part uint64
	// Crashes is the number of crashes that led to the block, 0 if they are not known.
	Crashes int
	// Count is the number of blocks of the part so far.
	Count int
	For   time.Duration
	// Restored is set for a block that was restored.
	Restored bool
}

// Decisions are what a Guard has decided.
type Decisions struct {
	// Blocked are the blocks by the evidence of this daemon, Learned those taken over.
	Blocked, Learned []Blocking
	// Ended are the parts whose blocks have ended or were lifted.
	Ended []uint64
}

// Evaluate blocks the parts against which there is enough evidence, lifts the blocks of parts
// that were answered after their last crash, and returns all decisions since the last call. It
// has to be called each EvaluateInterval.
func (g *Guard) Evaluate(now clock.Instant) Decisions {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clearAnswered(now)
	changed := g.liftAnswered()
	for {
		part, crashes := g.mostLikely(now)
		if crashes == 0 {
			break
		}
		b := g.block(part, now)
		g.outbox.newBlocks = append(g.outbox.newBlocks, part)
		g.decisions.Blocked = append(g.decisions.Blocked, Blocking{Part: part, Crashes: crashes, Count: b.count, For: b.until.Sub(now)})
		changed = true
	}
	for p, b := range g.blocks {
		if b.until <= now && !b.ended {
			b.ended = true
			g.decisions.Ended = append(g.decisions.Ended, p)
		}
	}
	if changed {
		g.publishBlocks(now)
	}
	d := g.decisions
	g.decisions = Decisions{}
	return d
}

// clearAnswered removes the parts from the crashes that an answer proves to be sound, and
// publishes answers of this daemon that the others need to know: those that prove a part, and
// those that are much newer than what was published, by which mostLikely ranks.
func (g *Guard) clearAnswered(now clock.Instant) {
	for _, c := range g.crashes {
		for p := range c.parts {
			own, published := clock.Instant(g.answered.LastUse(p)), clock.Instant(g.published.LastUse(p))
			newProof := proves(own, c.at) && !proves(published, c.at)
			if own > published && (newProof || published == 0 || own.Sub(published) > answerMargin) {
				g.published.Touch(p, int64(own))
				g.outbox.addAnswer(p, now)
			}
			if proves(max(own, published), c.at) {
				delete(c.parts, p)
			}
		}
	}
}

// mostLikely returns the part that explains most crashes that are not explained yet, and
// their number, or 0 if none explains enough. Among equal ones it is the part whose last
// answer is oldest: parts that prompts share with the bad one are in the same crashes, and are
// answered more often.
func (g *Guard) mostLikely(now clock.Instant) (part uint64, crashes int) {
	counts := map[uint64]int{}
	for _, c := range g.crashes {
		if now.Sub(c.at) < settleTime || now.Sub(c.at) > memory || g.explained(c) {
			continue
		}
		for p := range c.parts {
			counts[p]++
		}
	}
	for p, n := range counts {
		if b := g.blocks[p]; n < g.threshold(p) || n < crashes || b != nil && b.until > now {
			continue
		}
		last, best := g.lastAnswer(p), g.lastAnswer(part)
		if n > crashes || last < best || last == best && p < part {
			part, crashes = p, n
		}
	}
	return part, crashes
}

// threshold returns the number of crashes after which a part is blocked: one for a part that
// was blocked before.
func (g *Guard) threshold(part uint64) int {
	switch {
	case g.blocks[part] != nil:
		return 1
	case g.lastAnswer(part) != 0:
		return minCrashesAnswered
	}
	return minCrashes
}

// explained reports whether a crash was caused by a part that was blocked at that time or
// because of it.
func (g *Guard) explained(c *crash) bool {
	for p := range c.parts {
		if b := g.blocks[p]; b != nil && c.at <= b.until {
			return true
		}
	}
	return false
}

func (g *Guard) block(part uint64, now clock.Instant) *block {
	b := g.blocks[part]
	if b == nil {
		g.forgetBlocks()
		b = &block{}
		g.blocks[part] = b
	}
	b.until = now.Add(blockTime(b.count))
	b.count++
	b.ended = false
	for _, c := range g.crashes {
		if _, ok := c.parts[part]; ok {
			b.lastCrash = max(b.lastCrash, c.at)
		}
	}
	return b
}

// blockTime returns the length of a block after the given number of earlier ones.
func blockTime(earlier int) time.Duration { return min(firstBlock<<min(earlier, 8), maxBlock) }

// forgetBlocks makes room for a block.
func (g *Guard) forgetBlocks() {
	if len(g.blocks) < maxBlocks {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(g.blocks)), func(a, b uint64) int {
		return cmp.Compare(g.blocks[a].until, g.blocks[b].until)
	})
	delete(g.blocks, oldest)
}

// liftAnswered forgets the blocks of parts that were answered after the last crash under them,
// and reports whether there are any. Such an answer is to a request that was sent before the
// block, or by a daemon that does not know of it.
func (g *Guard) liftAnswered() (changed bool) {
	for p, b := range g.blocks {
		if g.lastAnswer(p) > b.lastCrash {
			delete(g.blocks, p)
			g.decisions.Ended = append(g.decisions.Ended, p)
			changed = true
		}
	}
	return changed
}

// publishBlocks publishes the blocks to the path of requests.
func (g *Guard) publishBlocks(now clock.Instant) {
	m := map[uint64]clock.Instant{}
	for p, b := range g.blocks {
		if b.until > now {
			m[p] = b.until
		}
	}
	g.blocked.Store(&m)
}

// sortedBlocks returns the parts that are blocked at present, in a fixed order.
func (g *Guard) sortedBlocks(now clock.Instant) []uint64 {
	var out []uint64
	for _, p := range slices.Sorted(maps.Keys(g.blocks)) {
		if g.blocks[p].until > now {
			out = append(out, p)
		}
	}
	return out
}
