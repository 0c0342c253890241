package loadshare

import (
	"encoding/binary"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/crashguard"
	"github.com/lentilpick/lentilpick/directory"
)

// CrashEvidence is the evidence of this daemon about prompt parts whose requests crash engines.
// *crashguard.Guard implements it.
type CrashEvidence interface {
	// Outgoing returns the next update to publish, Pending whether there is one.
	Outgoing(full bool, now clock.Instant) crashguard.Update
	Pending() bool
	// Apply adds the evidence of another daemon.
	Apply(u *crashguard.Update, now clock.Instant)
}

// noCrashEvidence publishes nothing.
type noCrashEvidence struct{}

func (noCrashEvidence) Outgoing(bool, clock.Instant) (u crashguard.Update) { return u }
func (noCrashEvidence) Pending() bool                                      { return false }
func (noCrashEvidence) Apply(*crashguard.Update, clock.Instant)            {}

// ExchangeCrashes exchanges evidence about crashes with the other daemons. It must be called
// before Run.
func (e *Exchanger) ExchangeCrashes(c CrashEvidence) { e.crashes = c }

// NotifyCrashEvidence reports that there is new evidence to publish.
func (e *Exchanger) NotifyCrashEvidence() { e.notify() }

// appendCrashes encodes an update. Ages are rounded up to milliseconds.
func appendCrashes(b []byte, u *crashguard.Update) []byte {
	b = append(b, byte(len(u.Reports)))
	for _, r := range u.Reports {
		b = binary.BigEndian.AppendUint64(b, r.Target.Target)
		b = binary.BigEndian.AppendUint64(b, uint64(r.Target.StartedAt))
		b = appendMillis(b, r.Age)
		b = append(b, byte(len(r.Parts)))
		for _, p := range r.Parts {
			b = binary.BigEndian.AppendUint64(b, p)
		}
	}
	b = append(b, byte(len(u.Answers)))
	for _, a := range u.Answers {
		b = binary.BigEndian.AppendUint64(b, a.Part)
		b = appendMillis(b, a.Age)
	}
	b = append(b, byte(len(u.Blocks)))
	for _, k := range u.Blocks {
		b = binary.BigEndian.AppendUint64(b, k.Part)
		b = appendMillis(b, k.Remaining)
		b = appendMillis(b, k.LastCrash)
		b = binary.AppendUvarint(b, uint64(max(k.Count, 0)))
	}
	return b
}

func appendMillis(b []byte, d time.Duration) []byte {
	return binary.AppendUvarint(b, uint64(min((max(d, 0)+time.Millisecond-1)/time.Millisecond, maxDuration)))
}

func decodeCrashes(r *fieldReader) (u crashguard.Update) {
	for n := r.count(crashguard.MaxReports); n > 0 && !r.malformed; n-- {
		c := crashguard.Report{Target: directory.Lifetime{Target: r.uint64(), StartedAt: int64(r.uint64())}, Age: r.millis()}
		for k := r.count(crashguard.MaxReportParts); k > 0 && !r.malformed; k-- {
			c.Parts = append(c.Parts, r.uint64())
		}
		u.Reports = append(u.Reports, c)
	}
	for n := r.count(crashguard.MaxAnswers); n > 0 && !r.malformed; n-- {
		u.Answers = append(u.Answers, crashguard.Answer{Part: r.uint64(), Age: r.millis()})
	}
	for n := r.count(crashguard.MaxBlocks); n > 0 && !r.malformed; n-- {
		u.Blocks = append(u.Blocks, crashguard.Block{Part: r.uint64(), Remaining: r.millis(), LastCrash: r.millis(), Count: int(r.total())})
	}
	return u
}

// count reads the length of a list with at most limit entries.
func (r *fieldReader) count(limit int) int {
	n := int(r.byte())
	if n > limit {
		r.malformed = true
		return 0
	}
	return n
}

// maxDuration bounds an encoded duration.
const maxDuration = 24 * time.Hour / time.Millisecond

// millis reads a duration in milliseconds.
func (r *fieldReader) millis() time.Duration {
	n := r.uvarint()
	if n > uint64(maxDuration) {
		r.malformed = true
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
