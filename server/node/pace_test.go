package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/loadshare"
	"github.com/lentilpick/lentilpick/platform"
)

// Guards against nodes that all read the store, and against a data centre that
// learns of changes too late because its reader has gone.
func TestPace(t *testing.T) {
	s := loadshare.New("vm", nil, directory.New(), clock.Now)
	place := 0
	p := &readPacer{progress: s.Feed(0), interval: 600 * time.Millisecond, takeoverAge: 1200 * time.Millisecond, rank: func() int { return place }}
	now := clock.Now()
	s.Feed(0).RecordRead(feed.ReadResult{AsOf: now, Next: 1}, false)
	pause, _ := p.due(now.Add(100 * time.Millisecond))
	assert.Equal(t, pause, 500*time.Millisecond, "the reader reads at its interval")
	place = 2
	pause, _ = p.due(now.Add(600 * time.Millisecond))
	assert.Equal(t, pause, 800*time.Millisecond, "others wait until the news is stale")
	pause, _ = p.due(now.Add(1400 * time.Millisecond))
	assert.Assert(t, pause <= 0)
	place = 1000
	pause, _ = p.due(now)
	assert.Equal(t, pause, 1700*time.Millisecond, "the last in line is in time as well")
}

// Guards against a reader that pauses, and tells of fresh reads meanwhile, because
// its own last read lies in the future after a clock step (mtc-lentil, clock
// steps, seed 2: a configuration 5 s late on all nodes). Ages that count the time
// of day cannot be passed here.
func TestPausesRestOnTheBootClock(t *testing.T) {
	s := loadshare.New("vm", nil, directory.New(), clock.Now)
	p := newReadPacer(s, 0, 600*time.Millisecond, 0, func() int { return 0 }, clock.Now)
	now := clock.Now()
	s.Feed(0).RecordRead(feed.ReadResult{AsOf: now, Next: 1}, false)
	assert.Assert(t, p.now().Sub(now) < time.Hour, "the pace has the clock of the readings")
	pause, _ := p.due(now.Add(time.Second))
	assert.Assert(t, pause <= 0)
}

// Guards against a reader whose claim is stale for the others before its next
// read ends, because the last one had changes and is true as of its start only.
func TestReadAfterChangesWaitsForLess(t *testing.T) {
	s := loadshare.New("vm", nil, directory.New(), clock.Now)
	p := &readPacer{progress: s.Feed(0), wait: 500 * time.Millisecond, rank: func() int { return 0 }}
	now := clock.Now()
	s.Feed(0).RecordRead(feed.ReadResult{AsOf: now, Next: 2, Changed: 2}, true)
	for age, left := range map[time.Duration]time.Duration{0: p.wait, 400 * time.Millisecond: 100 * time.Millisecond, time.Second: 0} {
		pause, wait := p.due(now.Add(age))
		assert.Assert(t, pause <= 0)
		assert.Equal(t, wait, left)
	}
}

// Guards against nodes that the store turns away and that ask it again and again,
// though others tell them what they need (trouble-1 of mtc-lentil-grown: 50 calls
// a second for 9 s), and against rare tries while nobody reads.
func TestPauseOfInformedNodes(t *testing.T) {
	s := loadshare.New("vm", nil, directory.New(), clock.Now)
	now := clock.Now()
	p := &readPacer{progress: s.Feed(0), takeoverAge: 2 * time.Second, now: func() clock.Instant { return now }}
	assert.Equal(t, p.maxBackoff(maxReadBackoff), maxReadBackoff)
	s.Feed(0).RecordRead(feed.ReadResult{AsOf: now, Next: 1}, false)
	assert.Equal(t, p.maxBackoff(maxReadBackoff), maxInformedBackoff)
	assert.Equal(t, p.maxBackoff(memberReadInterval), memberReadInterval)
}

// Guards against all nodes of a data centre that read the store because the one
// that took over tells them of its read with its next beat only.
func TestTakeOverIsAnnounced(t *testing.T) {
	s := loadshare.New("vm", nil, directory.New(), clock.Now)
	place, announced := 1, 0
	p := &readPacer{
		progress: s.Feed(0), interval: time.Second, takeoverAge: 2 * time.Second,
		rank: func() int { return place }, announce: func() { announced++ },
	}
	now := clock.Now()
	p.due(now)
	p.recordRead(feed.ReadResult{AsOf: now, Next: 10, Changed: 5})
	assert.Equal(t, announced, 1)
	p.due(now.Add(time.Second))
	p.recordRead(feed.ReadResult{AsOf: now, Next: 20, Changed: 15}) // woken by news, not in its turn
	assert.Equal(t, announced, 1)
	place = 0
	p.due(now.Add(3 * time.Second))
	p.recordRead(feed.ReadResult{AsOf: now.Add(3 * time.Second), Next: 30})
	assert.Equal(t, announced, 1, "the first in line is not late")
}

// Guards against a node that runs with settings with which it cannot keep the
// platform's bounds.
func TestBounds(t *testing.T) {
	m := &platform.Settings{DrainTime: 2 * time.Second, ConfigTime: 2 * time.Second}
	assert.NilError(t, checkBounds(DefaultSettings(), m))
	s := DefaultSettings()
	s.RegistrationInterval = time.Second
	assert.ErrorContains(t, checkBounds(s, m), "registration_interval")
	s = DefaultSettings()
	s.ConfigurationWait = 2 * time.Second
	assert.ErrorContains(t, checkBounds(s, m), "configuration_wait")
}
