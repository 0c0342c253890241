package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/loadshare"
	"github.com/lentilpick/lentilpick/types"
)

// membersTopic is the keyed topic with one record for each node.
const membersTopic = "lentilpick-members"

// Member is the record that a node publishes about itself.
type Member struct {
	VM         types.VMID         `json:"vm"`
	DataCentre types.DataCentreID `json:"data_centre"`
	// Address is the UDP address on which the node receives load messages.
	Address netip.AddrPort `json:"address"`
	// Cores is the processor capacity of the node's VM, in cores. 0 means unknown.
	Cores float64 `json:"cores,omitempty"`
	// Key is the public key of the node's process (peerauth.Identity). A record of an earlier version
	// has none: its node neither passes requests to others nor carries those of others.
	Key string `json:"key,omitempty"`
	// Eras reports that the fencing numbers of the node depend on the era of the store. A record of an
	// earlier release does not have it.
	Eras bool `json:"eras,omitempty"`
}

func (m Member) peer() loadshare.Peer {
	return loadshare.Peer{Name: m.VM, DataCentre: m.DataCentre, Address: m.Address, Cores: m.Cores}
}

// DecodeMember decodes the JSON record of a node. It ignores the key.
func DecodeMember(_ string, value []byte) (Member, error) {
	var m Member
	err := json.Unmarshal(value, &m)
	return m, err
}

// memberHandler maintains the list of the other nodes. It implements feed.Handler.
type memberHandler struct {
	outageLogger
	self     types.VMID
	selfKey  string         // public key of this process
	onChange func([]Member) // receives the other nodes, sorted by address

	mu    sync.Mutex
	byKey map[string]Member
	// listsSelf reports whether the newest known list has a record of this process.
	listsSelf bool
}

// HandleListing implements feed.Handler.
func (m *memberHandler) HandleListing(l feed.Listing[Member], _ time.Duration) {
	m.mu.Lock()
	m.byKey, m.listsSelf = map[string]Member{}, false
	m.mu.Unlock()
	m.logRegained()
	m.fold(l.Items)
}

// HandleChanges implements feed.Handler.
func (m *memberHandler) HandleChanges(items []feed.Item[Member], _ time.Duration) []feed.Item[Member] {
	m.logRegained()
	if len(items) > 0 {
		m.fold(items)
	}
	return items
}

// HandlePeerUpdate implements feed.Handler.
func (m *memberHandler) HandlePeerUpdate(items []feed.Item[Member], _ time.Duration) { m.fold(items) }

func (m *memberHandler) fold(items []feed.Item[Member]) {
	m.mu.Lock()
	for _, i := range items {
		switch {
		case i.Err != nil:
			m.log.WithError(i.Err).WithField(fieldKey, i.Key).Error("member record could not be decoded; skipped")
		case i.Key == string(m.self):
			m.listsSelf = i.Value != nil && i.Value.Key == m.selfKey
		case i.Value == nil:
			delete(m.byKey, i.Key)
		case i.Value.VM != m.self:
			m.byKey[i.Key] = *i.Value
		}
	}
	list := make([]Member, 0, len(m.byKey))
	for _, v := range m.byKey {
		list = append(list, v)
	}
	m.mu.Unlock()
	slices.SortFunc(list, func(a, b Member) int { return a.Address.Compare(b.Address) })
	m.onChange(list)
}

// isListed reports whether the newest known list has a record of this process.
func (m *memberHandler) isListed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listsSelf
}

// HandleFailure implements feed.Handler.
func (m *memberHandler) HandleFailure(err error, unavailable time.Duration) {
	m.logLost(err, unavailable)
}

// memberStore writes keyed records. Put with a nil value removes the key.
type memberStore interface {
	Put(ctx context.Context, topic, key string, value []byte) error
}

// announcingStore calls written after each record that was written.
type announcingStore struct {
	memberStore
	written func()
}

// Put implements memberStore.
func (s announcingStore) Put(ctx context.Context, topic, key string, value []byte) error {
	err := s.memberStore.Put(ctx, topic, key, value)
	if err == nil {
		s.written()
	}
	return err
}

const (
	registerRetryInterval = 500 * time.Millisecond
	// registerCheckTime is how long the record of this node may be missing from the list before it
	// is written again: two reads of the list.
	registerCheckTime = 2 * memberReadInterval
	// unregisterTimeout bounds the call that removes the record of this node.
	unregisterTimeout = time.Second
)

// registerMember keeps the record of this node in the store until the context ends. The store may
// carry out the calls of an earlier process of this node late, so the record is written again when
// listed, which reports whether the list has it, has been false for some time.
func registerMember(ctx context.Context, s memberStore, self Member, listed func() bool, log *logrus.Entry) {
	value, err := json.Marshal(self)
	if err != nil {
		log.WithError(err).Error("member record could not be encoded")
		return
	}
	var written time.Time // or last listed
	for {
		switch {
		case !written.IsZero() && listed():
			written = time.Now()
		case written.IsZero() || time.Since(written) >= registerCheckTime:
			if err := s.Put(ctx, membersTopic, string(self.VM), value); err == nil {
				written = time.Now()
			} else {
				log.WithError(err).WithField(daemon.FieldVM, self.VM).Debug("failed to write member record")
			}
		}
		if !daemon.Sleep(ctx, registerRetryInterval) {
			return
		}
	}
}

// unregisterMember removes the record of this node, so that the others stop sending datagrams to
// its address.
func unregisterMember(s memberStore, self Member) {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	_ = s.Put(ctx, membersTopic, string(self.VM), nil)
}
