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

// object is what the oracle knows of one object: the revision of its last
// change and the value that it has, 0 after a deletion.
type object struct {
	revision types.Revision
	value    int
}

// point is the configuration before one offset, as the oracle knows it.
type point struct {
	revision types.Revision
	objects  map[string]object
}

// reader is the configuration log of one control daemon.
type reader struct {
	*control.ConfigLog
	cut      bool
	revision types.Revision // the highest that it had in force
}

// configWorld is the log, the daemons, and the oracle, which judges changes in
// the log's order and forgets nothing.
type configWorld struct {
	t       *rapid.T
	now     time.Time
	log     *logservice.Service
	readers []*reader
	sent    []*configuration.Change
	pending [][]byte
	slow    bool

	points   []point                   // by offset
	verdicts map[string]types.Revision // 0 for a refusal
}

func newConfigWorld(t *rapid.T) *configWorld {
	w := &configWorld{
		t: t, now: time.Unix(1_000_000_000, 0), verdicts: map[string]types.Revision{},
		points: []point{{objects: map[string]object{}}},
	}
	w.log = logservice.New(logservice.Settings{Retention: configRetention}, func() time.Time { return w.now })
	for range 3 {
		w.readers = append(w.readers, newReader())
	}
	return w
}

func newReader() *reader {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return &reader{ConfigLog: control.NewConfigLog(nil, logrus.NewEntry(l))}
}

// append stores a record and lets the oracle judge what the log stored.
func (w *configWorld) append(data []byte) {
	if _, _, err := w.log.Append(logclient.StreamConfig, [][]byte{data}); err != nil {
		return
	}
	page, err := w.log.Read(context.Background(), logclient.StreamConfig, int64(len(w.points)-1), 64, 0)
	if err != nil {
		w.t.Fatalf("oracle cannot read: %v", err)
	}
	for _, r := range page.Records {
		rec, _ := records.DecodeConfiguration(r.Data)
		w.points = append(w.points, w.judge(w.points[len(w.points)-1], rec.Change))
	}
}

func (w *configWorld) judge(p point, ch *configuration.Change) point {
	if ch == nil {
		return p
	}
	if _, repeated := w.verdicts[ch.ID]; repeated {
		return p
	}
	old := p.objects[ch.ObjectID]
	w.verdicts[ch.ID] = 0
	if ch.Base != old.revision || (ch.Delete && old.value == 0) {
		return p
	}
	p.revision++
	w.verdicts[ch.ID] = p.revision
	p.objects = maps.Clone(p.objects)
	p.objects[ch.ObjectID] = object{revision: p.revision}
	if !ch.Delete {
		p.objects[ch.ObjectID] = object{p.revision, ch.Service.MinPerRole}
	}
	return p
}

// follow reads up to limit records, as logclient.Follow does.
func (w *configWorld) follow(r *reader, limit int) {
	for ; !r.cut && limit > 0; limit-- {
		page, err := w.log.Read(context.Background(), logclient.StreamConfig, int64(r.Next()), 1, 0)
		if errors.Is(err, logservice.ErrExpired) {
			r.HandleExpired(types.Offset(page.Oldest))
			continue
		}
		if err != nil || len(page.Records) == 0 {
			break
		}
		if err := r.HandleRecords(batch(page.Records[0])); err != nil {
			w.t.Fatalf("records: %v", err)
		}
	}
}

func batch(r logservice.Record) logclient.Batch {
	return logclient.Batch{Records: []logclient.Record{{Offset: types.Offset(r.Offset), At: r.At, Data: r.Data}}}
}

// check compares what each daemon has in force with the oracle at its offset.
func (w *configWorld) check(t *rapid.T) {
	for _, r := range w.readers {
		s := r.Snapshot()
		if int(s.Next) >= len(w.points) || s.Config.Revision < r.revision {
			t.Fatalf("offset %d of %d, revision %d after %d", s.Next, len(w.points)-1, s.Config.Revision, r.revision)
		}
		r.revision = s.Config.Revision
		p := w.points[s.Next]
		want := maps.Clone(p.objects)
		maps.DeleteFunc(want, func(_ string, o object) bool { return o.value == 0 })
		got := map[string]object{}
		for id, e := range s.Config.Services {
			got[string(id)] = object{e.Revision, e.Value.MinPerRole}
		}
		if s.Config.Revision != p.revision || !maps.Equal(got, want) {
			t.Fatalf("before offset %d: revision %d with %v, accepted are %d with %v", s.Next, s.Config.Revision, got, p.revision, want)
		}
		for _, v := range s.Recent {
			if rev, ok := w.verdicts[v.ChangeID]; !ok || rev != v.Revision {
				t.Fatalf("verdict on %s is revision %d, accepted is %d", v.ChangeID, v.Revision, rev)
			}
		}
	}
}

func (w *configWorld) encodeSnapshot(s *configuration.Snapshot) []byte {
	b, err := records.EncodeSnapshot(s)
	if err != nil {
		w.t.Fatalf("encode: %v", err)
	}
	return b
}

// run lets time pass while the daemons follow the log and append snapshots.
func (w *configWorld) run(seconds int) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		for _, r := range w.readers {
			w.follow(r, 1000)
			if !r.cut && r.SnapshotDue(w.now, configRetention/3) {
				w.append(w.encodeSnapshot(r.Snapshot()))
			}
		}
	}
}

func (w *configWorld) pick(t *rapid.T) *reader {
	return w.readers[rapid.IntRange(0, len(w.readers)-1).Draw(t, "daemon")]
}

// start loads a peer's snapshot, as a daemon does that starts or is stuck.
func (w *configWorld) start(r, peer *reader) {
	rec, err := records.DecodeConfiguration(w.encodeSnapshot(peer.Snapshot()))
	if err != nil {
		w.t.Fatalf("decode: %v", err)
	}
	r.LoadSnapshot(rec.Snapshot)
}

// change sends a change whose base is what a daemon, perhaps a lagging one,
// shows; for an absent object also the revision of an earlier deletion.
func (w *configWorld) change(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "object")
	s := w.pick(t).Snapshot()
	n := len(w.sent) + 1
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
	w.sent = append(w.sent, ch)
	w.send(ch)
}

func (w *configWorld) send(ch *configuration.Change) {
	data, err := records.EncodeChange(ch)
	if err != nil {
		w.t.Fatalf("encode: %v", err)
	}
	w.pending = append(w.pending, data)
	if !w.slow {
		w.land(len(w.pending) - 1)
	}
}

func (w *configWorld) land(i int) {
	data := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	w.append(data)
}

func (w *configWorld) faults() map[string]map[string]func(*rapid.T) {
	type actions = map[string]func(*rapid.T)
	return map[string]actions{
		"lost answers": {"send again": func(t *rapid.T) {
			if len(w.sent) == 0 {
				t.Skip()
			}
			w.send(rapid.SampledFrom(w.sent).Draw(t, "change"))
		}},
		"slow log": {
			"slow": func(*rapid.T) { w.slow = !w.slow },
			"land": func(t *rapid.T) {
				if len(w.pending) == 0 {
					t.Skip()
				}
				w.land(rapid.IntRange(0, len(w.pending)-1).Draw(t, "append"))
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
		"partition": {"partition": func(t *rapid.T) { r := w.pick(t); r.cut = !r.cut }},
		"restart": {"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(w.readers)-1).Draw(t, "daemon")
			w.readers[i] = newReader()
			if peer := w.pick(t); rapid.Bool().Draw(t, "from peer") {
				w.start(w.readers[i], peer)
			}
		}},
		"lag": {
			"read some": func(t *rapid.T) { w.follow(w.pick(t), rapid.IntRange(1, 5).Draw(t, "records")) },
			"miss one": func(t *rapid.T) {
				r := w.pick(t)
				page, err := w.log.Read(context.Background(), logclient.StreamConfig, int64(r.Next()+1), 1, 0)
				if err == nil && len(page.Records) > 0 {
					_ = r.HandleRecords(batch(page.Records[0])) // refused, or passed over while looking for a snapshot
				}
			},
			"ask peer": func(t *rapid.T) { w.start(w.pick(t), w.pick(t)) },
			"snapshot": func(t *rapid.T) { w.append(w.encodeSnapshot(w.pick(t).Snapshot())) },
		},
		"garbage": {
			"garbage": func(*rapid.T) { w.append([]byte("{")) },
			"snapshot of the future": func(*rapid.T) {
				s := &configuration.Snapshot{Next: types.Offset(len(w.points) + 2), Config: configuration.New()}
				s.Config.Revision = types.Revision(len(w.points))
				w.append(w.encodeSnapshot(s))
			},
		},
		"expiry": {"nobody runs": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(10, 120).Draw(t, "seconds")) * time.Second)
		}},
	}
}

// heal ends all faults. If one daemon has not lost its place in the log, all
// must have what was accepted, and a daemon that starts later must get it from
// the log alone, however long ago the last change was.
func (w *configWorld) heal() {
	w.log.SetFaults(logservice.Faults{})
	for len(w.pending) > 0 {
		w.land(0)
	}
	for _, r := range w.readers {
		r.cut = false
		w.follow(r, 1000)
	}
	i := slices.IndexFunc(w.readers, func(r *reader) bool { return !r.Scanning() })
	if i < 0 {
		return // records expired while no daemon ran; the configuration is lost
	}
	source := w.readers[i]
	for i := range w.readers { // all VMs are replaced, as in a few hours of operation
		w.readers[i] = newReader()
		w.start(w.readers[i], source)
	}
	w.run(int(2 * configRetention / time.Second))
	late := newReader()
	w.readers = append(w.readers, late)
	w.follow(late, 1000)
	w.check(w.t)
	for _, r := range w.readers {
		if r.Config().Revision != w.points[len(w.points)-1].revision {
			w.t.Fatalf("a daemon has revision %d, accepted is %d", r.Config().Revision, w.points[len(w.points)-1].revision)
		}
	}
}

// Guards against an accepted change that is lost, reverted or applied twice,
// against two winners of a race, and against daemons that differ.
func TestStatefulConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newConfigWorld(t)
		actions := withFaults(t, map[string]func(*rapid.T){
			"change": w.change,
			"run":    func(t *rapid.T) { w.run(rapid.IntRange(1, 10).Draw(t, "seconds")) },
		}, w.faults())
		actions[""] = w.check
		t.Repeat(actions)
		w.heal()
	})
}
