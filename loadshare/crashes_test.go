package loadshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/crashguard"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/feed"
)

// fillUpdate returns an update of the maximum size.
func fillUpdate() (u crashguard.Update) {
	for i := range crashguard.MaxReports {
		r := crashguard.Report{Target: directory.Lifetime{Target: uint64(i + 1), StartedAt: 1_790_000_000_000}, Age: time.Duration(i) * time.Second}
		for k := range crashguard.MaxReportParts {
			r.Parts = append(r.Parts, uint64(k+1)<<60)
		}
		u.Reports = append(u.Reports, r)
	}
	for i := range crashguard.MaxAnswers {
		u.Answers = append(u.Answers, crashguard.Answer{Part: uint64(i + 1), Age: time.Hour})
	}
	for i := range crashguard.MaxBlocks {
		u.Blocks = append(u.Blocks, crashguard.Block{Part: uint64(i + 1), Remaining: time.Hour, LastCrash: time.Minute, Count: i + 1})
	}
	return u
}

// Guards against evidence that changes on its way to another daemon.
func TestCrashEvidenceIsEncoded(t *testing.T) {
	want := fillUpdate()
	m, err := decode((&message{crashes: want}).appendHeader(nil))
	assert.NilError(t, err)
	assert.DeepEqual(t, m.crashes, want)
}

// Guards against evidence that is lost with one message, that is left out beside an update of
// a feed, or that makes a message too long for a datagram.
func TestCrashEvidenceReachesOthers(t *testing.T) {
	s, _ := newExchanger(t, "one")
	r, _ := newExchanger(t, "two")
	guard, other := crashguard.New(), crashguard.New()
	s.ExchangeCrashes(guard)
	r.ExchangeCrashes(other)
	for i := range 3 {
		for part := range uint64(30) {
			guard.RecordCrash(directory.Lifetime{Target: 100*part + uint64(i)}, []directory.Part{{ID: part + 1}}, instant(now))
		}
	}
	s.PublishUpdate(1, feed.Update{Since: 0, Next: 1, Records: []feed.Record{{Key: "k", Value: make([]byte, 900), Next: 1}}})
	for _, b := range s.messages(false) { // lost
		assert.Assert(t, len(b) <= maxMessageBytes)
	}
	assert.Assert(t, !guard.Pending())
	for range 60 {
		deliver(t, s, r, true, now)
	}
	later := now.Add(time.Second)
	assert.Equal(t, len(other.Evaluate(instant(later)).Blocked), 30, "a lost report")
	assert.Assert(t, other.Blocked([]directory.Part{{ID: 7}}, instant(later)) > 0)
}
