package proof

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/server/control"
	"github.com/lentilpick/lentilpick/standin/logservice"
	"github.com/lentilpick/lentilpick/types"
)

const configRetention = 90 * time.Second

// expectedObject is the oracle's state of one object: the revision of its last change
// and its value, 0 after a deletion.
type expectedObject struct {
	revision types.Revision
	value    int
}

// expectedConfig is the oracle's configuration before one offset of the log.
type expectedConfig struct {
	revision types.Revision
	objects  map[string]expectedObject
}

// configDaemon is the configuration log of one control daemon.
type configDaemon struct {
	*control.ConfigLog
	partitioned     bool
	highestRevision types.Revision // the highest revision that was in force
}

// configWorld models the log, the control daemons and the oracle, which evaluates the
// changes in the order of the log and retains all results.
type configWorld struct {
	t              *rapid.T
	now            time.Time
	log            *logservice.Service
	daemons        []*configDaemon
	sentChanges    []*configuration.Change
	pendingAppends [][]byte
	delayAppends   bool

	expected []expectedConfig          // by offset
	results  map[string]types.Revision // revision by change ID, 0 for a refused change
}

func newConfigWorld(t *rapid.T) *configWorld {
	w := &configWorld{
		t: t, now: time.Unix(1_000_000_000, 0), results: map[string]types.Revision{},
		expected: []expectedConfig{{objects: map[string]expectedObject{}}},
	}
	w.log = logservice.New(logservice.Settings{Retention: configRetention}, func() time.Time { return w.now })
	for range 3 {
		w.daemons = append(w.daemons, newConfigDaemon())
	}
	return w
}

func newConfigDaemon() *configDaemon {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return &configDaemon{ConfigLog: control.NewConfigLog(nil, logrus.NewEntry(l))}
}

// appendRecord appends a record to the log and applies to the oracle what the log has
// stored, which may be a duplicate.
func (w *configWorld) appendRecord(data []byte) {
	if _, _, err := w.log.Append(logclient.StreamConfig, [][]byte{data}); err != nil {
		return
	}
	page, err := w.log.Read(context.Background(), logclient.StreamConfig, int64(len(w.expected)-1), 64, 0)
	if err != nil {
		w.t.Fatalf("oracle failed to read the configuration stream: %v", err)
	}
	for _, r := range page.Records {
		rec, _ := records.DecodeConfiguration(r.Data)
		w.expected = append(w.expected, w.evaluate(w.expected[len(w.expected)-1], rec.Change))
	}
}

func (w *configWorld) evaluate(config expectedConfig, change *configuration.Change) expectedConfig {
	if change == nil {
		return config
	}
	if _, repeated := w.results[change.ID]; repeated {
		return config
	}
	old := config.objects[change.ObjectID]
	w.results[change.ID] = 0
	if change.Base != old.revision || (change.Delete && old.value == 0) {
		return config
	}
	config.revision++
	w.results[change.ID] = config.revision
	config.objects = maps.Clone(config.objects)
	config.objects[change.ObjectID] = expectedObject{revision: config.revision}
	if !change.Delete {
		config.objects[change.ObjectID] = expectedObject{config.revision, change.Service.MinPerRole}
	}
	return config
}

// readLog reads up to limit records, as logclient.Follow does.
func (w *configWorld) readLog(d *configDaemon, limit int) {
	for ; !d.partitioned && limit > 0; limit-- {
		page, err := w.log.Read(context.Background(), logclient.StreamConfig, int64(d.Next()), 1, 0)
		if errors.Is(err, logservice.ErrExpired) {
			d.HandleExpired(types.Offset(page.Oldest))
			continue
		}
		if err != nil || len(page.Records) == 0 {
			break
		}
		if err := d.HandleRecords(newBatch(page.Records[0])); err != nil {
			w.t.Fatalf("failed to apply the record at offset %d: %v", page.Records[0].Offset, err)
		}
	}
}

func newBatch(r logservice.Record) logclient.Batch {
	return logclient.Batch{Records: []logclient.Record{{Offset: types.Offset(r.Offset), At: r.At, Data: r.Data}}}
}

// checkDaemons compares the configuration in force on each daemon with the oracle's at
// the daemon's offset.
func (w *configWorld) checkDaemons(t *rapid.T) {
	for _, d := range w.daemons {
		s := d.Snapshot()
		if int(s.Next) >= len(w.expected) || s.Config.Revision < d.highestRevision {
			t.Fatalf("daemon is at offset %d, the log ends at %d; revision %d follows %d", s.Next, len(w.expected)-1, s.Config.Revision, d.highestRevision)
		}
		d.highestRevision = s.Config.Revision
		config := w.expected[s.Next]
		want := maps.Clone(config.objects)
		maps.DeleteFunc(want, func(_ string, o expectedObject) bool { return o.value == 0 })
		got := map[string]expectedObject{}
		for id, e := range s.Config.Services {
			got[string(id)] = expectedObject{e.Revision, e.Value.MinPerRole}
		}
		if s.Config.Revision != config.revision || !maps.Equal(got, want) {
			t.Fatalf("before offset %d: got revision %d with %v, want revision %d with %v", s.Next, s.Config.Revision, got, config.revision, want)
		}
		for _, v := range s.Recent {
			if rev, ok := w.results[v.ChangeID]; !ok || rev != v.Revision {
				t.Fatalf("result of %s: got revision %d, want %d", v.ChangeID, v.Revision, rev)
			}
		}
	}
}

func (w *configWorld) encodeSnapshot(s *configuration.Snapshot) []byte {
	b, err := records.EncodeSnapshot(s)
	if err != nil {
		w.t.Fatalf("failed to encode a snapshot: %v", err)
	}
	return b
}

// runFor advances the clock second by second while the daemons read the log and append
// snapshots.
func (w *configWorld) runFor(seconds int) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		for _, d := range w.daemons {
			w.readLog(d, 1000)
			if !d.partitioned && d.SnapshotDue(w.now, configRetention/3) {
				w.appendRecord(w.encodeSnapshot(d.Snapshot()))
			}
		}
	}
}

func (w *configWorld) drawDaemon(t *rapid.T) *configDaemon {
	return w.daemons[rapid.IntRange(0, len(w.daemons)-1).Draw(t, "daemon")]
}

// loadFromPeer loads a peer's snapshot, as a daemon does when it starts or cannot
// continue from the log.
func (w *configWorld) loadFromPeer(d, peer *configDaemon) {
	rec, err := records.DecodeConfiguration(w.encodeSnapshot(peer.Snapshot()))
	if err != nil {
		w.t.Fatalf("failed to decode a snapshot: %v", err)
	}
	d.LoadSnapshot(rec.Snapshot)
}

// sendNewChange sends a change whose base revision comes from a daemon, which may be
// behind the log. For an absent object the base may be the revision of its deletion.
func (w *configWorld) sendNewChange(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "object")
	s := w.drawDaemon(t).Snapshot()
	n := len(w.sentChanges) + 1
	ch := &configuration.Change{
		ID: fmt.Sprintf("c%d", n), Kind: configuration.ObjectService, ObjectID: id,
		Base: s.Config.Services[types.ServiceID(id)].Revision, Delete: rapid.Bool().Draw(t, "delete"),
	}
	if !ch.Delete {
		ch.Service = &configuration.Service{ID: types.ServiceID(id), MinPerRole: n}
	}
	for _, v := range s.Recent {
		if ch.Base == 0 && v.Deleted && v.ObjectID == id && rapid.Bool().Draw(t, "after deletion") {
			ch.Base = v.Revision
		}
	}
	w.sentChanges = append(w.sentChanges, ch)
	w.sendChange(ch)
}

func (w *configWorld) sendChange(ch *configuration.Change) {
	data, err := records.EncodeChange(ch)
	if err != nil {
		w.t.Fatalf("failed to encode a change: %v", err)
	}
	w.pendingAppends = append(w.pendingAppends, data)
	if !w.delayAppends {
		w.deliverAppend(len(w.pendingAppends) - 1)
	}
}

func (w *configWorld) deliverAppend(i int) {
	data := w.pendingAppends[i]
	w.pendingAppends = slices.Delete(w.pendingAppends, i, i+1)
	w.appendRecord(data)
}

func (w *configWorld) faultActions() map[string]map[string]func(*rapid.T) {
	type actions = map[string]func(*rapid.T)
	return map[string]actions{
		"lost answers": {"send again": func(t *rapid.T) {
			if len(w.sentChanges) == 0 {
				t.Skip()
			}
			w.sendChange(rapid.SampledFrom(w.sentChanges).Draw(t, "change"))
		}},
		"slow log": {
			"slow": func(*rapid.T) { w.delayAppends = !w.delayAppends },
			"land": func(t *rapid.T) {
				if len(w.pendingAppends) == 0 {
					t.Skip()
				}
				w.deliverAppend(rapid.IntRange(0, len(w.pendingAppends)-1).Draw(t, "append"))
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
		"partition": {"partition": func(t *rapid.T) { d := w.drawDaemon(t); d.partitioned = !d.partitioned }},
		"restart": {"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(w.daemons)-1).Draw(t, "daemon")
			w.daemons[i] = newConfigDaemon()
			if peer := w.drawDaemon(t); rapid.Bool().Draw(t, "from peer") {
				w.loadFromPeer(w.daemons[i], peer)
			}
		}},
		"lag": {
			"read some": func(t *rapid.T) { w.readLog(w.drawDaemon(t), rapid.IntRange(1, 5).Draw(t, "records")) },
			"miss one": func(t *rapid.T) {
				d := w.drawDaemon(t)
				page, err := w.log.Read(context.Background(), logclient.StreamConfig, int64(d.Next()+1), 1, 0)
				if err == nil && len(page.Records) > 0 {
					_ = d.HandleRecords(newBatch(page.Records[0])) // refused, or skipped while looking for a snapshot
				}
			},
			"ask peer": func(t *rapid.T) { w.loadFromPeer(w.drawDaemon(t), w.drawDaemon(t)) },
			"snapshot": func(t *rapid.T) { w.appendRecord(w.encodeSnapshot(w.drawDaemon(t).Snapshot())) },
		},
		"garbage": {
			"garbage": func(*rapid.T) { w.appendRecord([]byte("{")) },
			"snapshot of the future": func(*rapid.T) {
				s := &configuration.Snapshot{Next: types.Offset(len(w.expected) + 2), Config: configuration.New()}
				s.Config.Revision = types.Revision(len(w.expected))
				w.appendRecord(w.encodeSnapshot(s))
			},
		},
		"expiry": {"nobody runs": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(10, 120).Draw(t, "seconds")) * time.Second)
		}},
	}
}

// checkRecovery ends all faults. If at least one daemon has not lost its position in the
// log, all daemons must reach the accepted configuration, and a daemon that starts later
// must get it from the log alone, regardless of the age of the last change.
func (w *configWorld) checkRecovery() {
	w.log.SetFaults(logservice.Faults{})
	for len(w.pendingAppends) > 0 {
		w.deliverAppend(0)
	}
	for _, d := range w.daemons {
		d.partitioned = false
		w.readLog(d, 1000)
	}
	i := slices.IndexFunc(w.daemons, func(d *configDaemon) bool { return !d.Scanning() })
	if i < 0 {
		return // records expired while no daemon ran; the configuration is lost
	}
	source := w.daemons[i]
	for i := range w.daemons { // replace all VMs, as happens over a few hours of operation
		w.daemons[i] = newConfigDaemon()
		w.loadFromPeer(w.daemons[i], source)
	}
	w.runFor(int(2 * configRetention / time.Second))
	late := newConfigDaemon()
	w.daemons = append(w.daemons, late)
	w.readLog(late, 1000)
	w.checkDaemons(w.t)
	for _, d := range w.daemons {
		if d.Config().Revision != w.expected[len(w.expected)-1].revision {
			w.t.Fatalf("daemon has revision %d, want %d", d.Config().Revision, w.expected[len(w.expected)-1].revision)
		}
	}
}

// Guards against an accepted change that is lost, reverted or applied twice, against two
// accepted changes with the same base revision, and against daemons whose configurations
// differ.
func TestStatefulConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newConfigWorld(t)
		actions := withFaults(t, map[string]func(*rapid.T){
			"change": w.sendNewChange,
			"run":    func(t *rapid.T) { w.runFor(rapid.IntRange(1, 10).Draw(t, "seconds")) },
		}, w.faultActions())
		actions[""] = w.checkDaemons
		t.Repeat(actions)
		w.checkRecovery()
	})
}
