package node

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/loadshare"
	"github.com/lentilpick/lentilpick/platform"
)

// Guards against reads of the store by all nodes, and against changes that reach a data centre too
// late because its reader has stopped.
func TestReadPacer(t *testing.T) {
	s := loadshare.New("vm", nil, directory.New(), &demand.Table{}, clock.Now)
	rank := 0
	p := &readPacer{progress: s.Feed(0), interval: 600 * time.Millisecond, takeoverAge: 1200 * time.Millisecond, rank: func() int { return rank }}
	now := clock.Now()
	s.Feed(0).RecordRead(feed.ReadResult{AsOf: now, Next: 1}, false)
	pause, _ := p.due(now.Add(100 * time.Millisecond))
	assert.Equal(t, pause, 500*time.Millisecond, "the reader reads at its interval")
	rank = 2
	pause, _ = p.due(now.Add(600 * time.Millisecond))
	assert.Equal(t, pause, 800*time.Millisecond, "other nodes wait until the latest read is too old")
	pause, _ = p.due(now.Add(1400 * time.Millisecond))
	assert.Assert(t, pause <= 0)
	rank = 1000
	pause, _ = p.due(now)
	assert.Equal(t, pause, 1700*time.Millisecond, "the takeover delay is limited")
}

// Guards against a reader that stops reading after a clock step, because its last read lies in the
// future, but still reports recent reads (mtc-lentil, clock steps, seed 2: a configuration 5 s late
// on all nodes). The type of the clock rules out wall-clock times.
func TestReadPacerUsesBootClock(t *testing.T) {
	s := loadshare.New("vm", nil, directory.New(), &demand.Table{}, clock.Now)
	p := newReadPacer(s, 0, 600*time.Millisecond, 0, func() int { return 0 }, clock.Now)
	now := clock.Now()
	s.Feed(0).RecordRead(feed.ReadResult{AsOf: now, Next: 1}, false)
	assert.Assert(t, p.now().Sub(now) < time.Hour, "the pacer uses the clock of the read results")
	pause, _ := p.due(now.Add(time.Second))
	assert.Assert(t, pause <= 0)
}

// Guards against a reader whose claim becomes too old before its next read ends: a read that
// returned changes is current only as of its start.
func TestReadAfterChangesWaitsLess(t *testing.T) {
	s := loadshare.New("vm", nil, directory.New(), &demand.Table{}, clock.Now)
	p := &readPacer{progress: s.Feed(0), wait: 500 * time.Millisecond, rank: func() int { return 0 }}
	now := clock.Now()
	s.Feed(0).RecordRead(feed.ReadResult{AsOf: now, Next: 2, Changed: 2}, true)
	for age, remaining := range map[time.Duration]time.Duration{0: p.wait, 400 * time.Millisecond: 100 * time.Millisecond, time.Second: 0} {
		pause, wait := p.due(now.Add(age))
		assert.Assert(t, pause <= 0)
		assert.Equal(t, wait, remaining)
	}
}

// Guards against a reader that fills its link with large records that change quickly, and against a
// pause after which the others consider its claim stale.
func TestReaderRestsAfterLargeReads(t *testing.T) {
	s := loadshare.New("vm", nil, directory.New(), &demand.Table{}, clock.Now)
	p := &readPacer{progress: s.Feed(0), wait: 500 * time.Millisecond, rank: func() int { return 0 }, announce: func() {}}
	now := clock.Now()
	for duration, want := range map[time.Duration]time.Duration{
		100 * time.Millisecond: 100 * time.Millisecond,
		200 * time.Millisecond: 200 * time.Millisecond,
		400 * time.Millisecond: 100 * time.Millisecond,
		2 * time.Second:        0,
	} {
		p.recordRead(feed.ReadResult{AsOf: now, Next: 2, Changed: 2, Duration: duration})
		pause, _ := p.due(now.Add(duration))
		assert.Equal(t, max(pause, 0), want)
		pause, wait := p.due(now.Add(duration + want))
		assert.Assert(t, pause <= 0)
		assert.Assert(t, duration >= p.wait || duration+want+wait <= p.wait, "the next read ends as early as without a pause")
	}
	p.recordRead(feed.ReadResult{AsOf: now, Next: 2})
	pause, _ := p.due(now)
	assert.Assert(t, pause <= 0, "a read without records is followed by the next one")
}

// Guards against a data centre whose feeds are read by its VM with the slowest link because of its
// name (issue 41: 0.134 of a core and 10 Mbit/s, while others had 0.8 and 200 Mbit/s).
func TestReaderHasMostCores(t *testing.T) {
	members := []Member{{VM: "a", DataCentre: "dc", Cores: 0.134}, {VM: "b", DataCentre: "dc", Cores: 0.8}, {VM: "c", DataCentre: "dc", Cores: 0.8}, {VM: "d", DataCentre: "dc"}, {VM: "e", DataCentre: "other", Cores: 2}}
	for vm, want := range map[int]int{0: 2, 1: 0, 2: 1, 3: 3, 4: 0} {
		self := members[vm]
		n := &Node{machine: &platform.Settings{VM: self.VM, DataCentre: self.DataCentre, Cores: self.Cores}}
		assert.Equal(t, n.rankInDataCentre(), maxTakeoverSteps, "the members are not known yet")
		others := slices.Delete(slices.Clone(members), vm, vm+1)
		n.peers.Store(&others)
		assert.Equal(t, n.rankInDataCentre(), want, "%s", self.VM)
		assert.Equal(t, n.rank(), vm, "the planning of roles does not depend on the cores")
	}
}

// Guards against frequent retries by nodes that cannot read the store although other nodes send them
// the changes (trouble-1 of mtc-lentil-grown: 50 calls per second for 9 s), and against long delays
// between retries while no node can read it.
func TestBackoffWhilePeersReportReads(t *testing.T) {
	s := loadshare.New("vm", nil, directory.New(), &demand.Table{}, clock.Now)
	now := clock.Now()
	rank := outageReaders
	p := &readPacer{progress: s.Feed(0), takeoverAge: 2 * time.Second, rank: func() int { return rank }, now: func() clock.Instant { return now }}
	assert.Equal(t, p.maxBackoff(maxReadBackoff), maxInformedBackoff, "all nodes retry often during an outage")
	rank--
	assert.Equal(t, p.maxBackoff(maxReadBackoff), maxReadBackoff)
	s.Feed(0).RecordRead(feed.ReadResult{AsOf: now, Next: 1}, false)
	assert.Equal(t, p.maxBackoff(maxReadBackoff), maxInformedBackoff)
	assert.Equal(t, p.maxBackoff(memberReadInterval), memberReadInterval)
}

// Guards against reads of the store by all nodes of a data centre because the reader, or the node
// that took over, reports its read only with its next heartbeat, and against announcements of reads
// that were not made on behalf of others.
func TestReadsForPeersAreAnnounced(t *testing.T) {
	s := loadshare.New("vm", nil, directory.New(), &demand.Table{}, clock.Now)
	rank, announced := 1, 0
	p := &readPacer{
		progress: s.Feed(0), interval: time.Second, takeoverAge: 2 * time.Second,
		rank: func() int { return rank }, announce: func() { announced++ },
	}
	now := clock.Now()
	p.due(now)
	p.recordRead(feed.ReadResult{AsOf: now, Next: 10, Changed: 5})
	assert.Equal(t, announced, 1)
	p.due(now.Add(time.Second))
	p.recordRead(feed.ReadResult{AsOf: now, Next: 20, Changed: 15}) // caused by a peer update, not due
	assert.Equal(t, announced, 1)
	rank = 0
	p.due(now.Add(3 * time.Second))
	p.recordRead(feed.ReadResult{AsOf: now.Add(3 * time.Second), Next: 30})
	assert.Equal(t, announced, 2, "only full states carry claims")
}

// Guards against requests of a restarted node that the others refuse until they know its new key (soak
// cuts, seed 4: for 2 s after a restart without links to the targets).
func TestOwnChangeIsPublished(t *testing.T) {
	s := loadshare.New("vm", nil, directory.New(), &demand.Table{}, clock.Now)
	announced := 0
	p := &readPacer{progress: s.Feed(0), rank: func() int { return 3 }, announce: func() { announced++ }}
	store := announcingStore{acceptingStore{}, p.publishChange}
	assert.NilError(t, store.Put(t.Context(), membersTopic, "vm", nil))
	<-p.progress.Wake()
	for i, r := range []feed.ReadResult{{Next: 1}, {Next: 2, Changed: 2}, {Next: 3, Changed: 3}} {
		p.readsForPeers = false
		r.AsOf = clock.Now()
		p.recordRead(r)
		assert.Equal(t, announced, min(i, 1), "read %d", i)
	}
}

// acceptingStore is a memberStore that accepts all records.
type acceptingStore struct{}

func (acceptingStore) Put(context.Context, string, string, []byte) error { return nil }

// Guards against a delay of reads after notifications that the bounds on propagation, which
// checkBounds derives from propagationTime and storeCallMargin, do not contain.
func TestWakeDelayWithinPropagationTime(t *testing.T) {
	const heartbeat = 500 * time.Millisecond
	assert.Assert(t, heartbeat+loadshare.MaxWakeDelay <= propagationTime)
	assert.Assert(t, loadshare.MaxWakeDelay <= storeCallMargin)
}

// Guards against a node that starts with settings that do not meet the platform's bounds.
func TestSettingsWithinPlatformBounds(t *testing.T) {
	m := &platform.Settings{MaxDrainDelay: 2 * time.Second, MaxConfigDelay: 2 * time.Second}
	assert.NilError(t, checkBounds(DefaultSettings(), m))
	s := DefaultSettings()
	s.RegistrationInterval = time.Second
	assert.ErrorContains(t, checkBounds(s, m), "registration_interval")
	s = DefaultSettings()
	s.ConfigurationWait = 2 * time.Second
	assert.ErrorContains(t, checkBounds(s, m), "configuration_wait")
}
