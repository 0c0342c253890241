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
	"github.com/lentilpick/lentilpick/types"
)

// membersTopic holds one record for each node.
const membersTopic = "lentilpick-members"

// Member is what a node says of itself to the others.
type Member struct {
	VM         types.VMID         `json:"vm"`
	DataCentre types.DataCentreID `json:"data_centre"`
	// Address is where the node takes load messages.
	Address netip.AddrPort `json:"address"`
}

// DecodeMember decodes the record of a node.
func DecodeMember(_ string, value []byte) (Member, error) {
	var m Member
	err := json.Unmarshal(value, &m)
	return m, err
}

// members keeps the list of the other nodes. It implements feed.Handler.
type members struct {
	outage
	self    types.VMID
	changed func([]Member)

	mu  sync.Mutex
	all map[string]Member
}

// HandleListing implements feed.Handler.
func (m *members) HandleListing(l feed.Listing[Member], _ time.Duration) {
	m.mu.Lock()
	m.all = map[string]Member{}
	m.mu.Unlock()
	m.back()
	m.fold(l.Items)
}

// HandleChanges implements feed.Handler.
func (m *members) HandleChanges(items []feed.Item[Member], _ time.Duration) []feed.Item[Member] {
	m.back()
	if len(items) > 0 {
		m.fold(items)
	}
	return items
}

// HandlePeerUpdate implements feed.Handler.
func (m *members) HandlePeerUpdate(items []feed.Item[Member], _ time.Duration) { m.fold(items) }

func (m *members) fold(items []feed.Item[Member]) {
	m.mu.Lock()
	for _, i := range items {
		switch {
		case i.Err != nil:
			m.log.WithError(i.Err).WithField(fieldKey, i.Key).Error("record of a node does not decode; it is passed over")
		case i.Value == nil:
			delete(m.all, i.Key)
		case i.Value.VM != m.self:
			m.all[i.Key] = *i.Value
		}
	}
	list := make([]Member, 0, len(m.all))
	for _, v := range m.all {
		list = append(list, v)
	}
	m.mu.Unlock()
	slices.SortFunc(list, func(a, b Member) int { return a.Address.Compare(b.Address) })
	m.changed(list)
}

// HandleFailure implements feed.Handler.
func (m *members) HandleFailure(err error, away time.Duration) { m.failed(err, away) }

// store writes records of nodes.
type store interface {
	Put(ctx context.Context, topic, key string, value []byte) error
}

const (
	joinPause = 500 * time.Millisecond
	// leaveTimeout bounds the call that removes the own record.
	leaveTimeout = time.Second
)

// join writes the node's own record, until it succeeds.
func join(ctx context.Context, s store, self Member, log *logrus.Entry) {
	value, err := json.Marshal(self)
	if err != nil {
		log.WithError(err).Error("own record does not encode")
		return
	}
	for {
		err := s.Put(ctx, membersTopic, string(self.VM), value)
		if err == nil {
			return
		}
		log.WithError(err).WithField(daemon.FieldVM, self.VM).Debug("own record was not written")
		if !daemon.Sleep(ctx, joinPause) {
			return
		}
	}
}

// leave removes the node's own record. Without it the others keep sending
// datagrams to an address where nobody listens.
func leave(s store, self Member) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = s.Put(ctx, membersTopic, string(self.VM), nil)
}
