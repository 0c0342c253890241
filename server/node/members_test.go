package node

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/feed"
)

// registered reports whether the store has a record of the node.
func (w *testEnv) registered() bool {
	key := string(w.vm)
	var newest string
	for _, r := range w.store.Records("keyed." + membersTopic) {
		if k := string(r[1 : 1+r[0]]); k == key {
			newest = string(r[1+r[0]:])
		}
	}
	return strings.Contains(newest, key)
}

// Guards against a node that runs without being a member, because the store carries out the removal
// of its record by the process before it only after it has registered.
func TestLateRemovalOfEarlierProcess(t *testing.T) {
	w := newEnvWithNode(t, 0)
	w.configure()
	w.awaitReady()
	w.waitFor("the node to register", w.registered)
	w.store.Put("keyed."+membersTopic, string(w.vm), nil)
	assert.Assert(t, !w.registered())
	removed := time.Now()
	for !w.registered() && time.Since(removed) < 15*time.Second {
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, w.registered(), "no record %s after its removal", time.Since(removed))
	w.stop()
	assert.Assert(t, !w.registered(), "the record of a stopped node remains")
}

// recordStore implements memberStore and lists what it holds.
type recordStore struct {
	handler *memberHandler
	writes  atomic.Int64
}

func (s *recordStore) Put(_ context.Context, _, key string, value []byte) error {
	m, err := DecodeMember(key, value)
	s.writes.Add(1)
	s.list(&m)
	return err
}

func (s *recordStore) list(m *Member) {
	s.handler.fold([]feed.Item[Member]{{Key: string(m.VM), Value: m}})
}

// Guards against a restarted node that others cannot verify, because a late call of its earlier
// process, or one of a version without keys, has replaced its record.
func TestRecordWithAnotherKeyIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := Member{VM: "a", Key: "new"}
		s := &recordStore{handler: &memberHandler{self: self.VM, selfKey: self.Key, byKey: map[string]Member{}, onChange: func([]Member) {}}}
		ctx, cancel := context.WithCancel(t.Context())
		go registerMember(ctx, s, self, s.handler.isListed, nil)
		time.Sleep(4 * registerCheckTime)
		assert.Equal(t, s.writes.Load(), int64(1))
		for i, key := range []string{"old", ""} {
			s.list(&Member{VM: "a", Key: key})
			assert.Assert(t, !s.handler.isListed())
			time.Sleep(2 * registerCheckTime)
			assert.Assert(t, s.handler.isListed())
			assert.Equal(t, s.writes.Load(), int64(i+2))
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against records that nodes of other versions cannot read.
func TestMemberRecordsOfOtherVersions(t *testing.T) {
	old := `{"vm":"a","data_centre":"dc","address":"10.0.0.1:9000","cores":2}`
	m, err := DecodeMember("a", []byte(old))
	assert.NilError(t, err)
	assert.Equal(t, m.Key, "")
	b, err := json.Marshal(m)
	assert.NilError(t, err)
	assert.Equal(t, string(b), old)
	m.Key = "k"
	b, err = json.Marshal(m)
	assert.NilError(t, err)
	assert.Equal(t, string(b), strings.Replace(old, "}", `,"key":"k"}`, 1))
}
