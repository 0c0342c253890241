package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/membership"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/types"
)

const (
	homesCheck     = time.Second
	homesReadLimit = 1024
	homesTimeout   = 10 * time.Second
)

// homeOf returns the data centre whose log stream holds the records of a key.
func homeOf(k idempotency.Key, dcs []types.DataCentreID) types.DataCentreID {
	return membership.Best(dcs, string(k.Service)+"\x00"+string(k.Workspace)+"\x00"+k.Key)
}

// watchHomes records the data centres over which keys are spread: at the first
// claim, after a change of the configuration, and again before the record
// expires from the log.
func (k *keyLog) watchHomes(ctx context.Context) {
	tick := time.NewTicker(homesCheck)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-k.wantHomes:
		}
		h, err := k.homesDue(ctx)
		if err != nil {
			k.entry.WithError(err).Warn("the homes of the keys were not read")
		}
		if h != nil {
			k.enqueue(idempotency.Record{Kind: idempotency.KindHomes, Homes: h})
		}
	}
}

// homesDue returns the record that has to be appended now, or nil.
func (k *keyLog) homesDue(ctx context.Context) (*idempotency.Homes, error) {
	revision, dcs := k.deps.homes()
	k.mu.Lock()
	current, first, at := k.claims.Homes(), k.claims.NeedHomes(), k.homesAt
	k.mu.Unlock()
	switch {
	case len(dcs) == 0:
		return nil, nil
	case first:
		return k.firstHomes(ctx, revision, dcs)
	case current == nil:
		return nil, nil
	case revision > current.Revision && !slices.Equal(dcs, current.DataCentres):
		return &idempotency.Homes{Revision: revision, DataCentres: dcs}, nil
	case time.Since(at) > k.retention/3:
		return current, nil
	}
	return nil, nil
}

// firstHomes returns the first record of a stream. A data centre that is new
// takes the earlier sets from the streams of the others, because keys that
// moved to it may have run there.
func (k *keyLog) firstHomes(ctx context.Context, revision types.Revision, dcs []types.DataCentreID) (*idempotency.Homes, error) {
	ctx, cancel := context.WithTimeout(ctx, homesTimeout)
	defer cancel()
	h := &idempotency.Homes{Revision: revision, DataCentres: dcs}
	for _, dc := range dcs {
		if dc == k.dc {
			continue
		}
		other, err := k.lastHomes(ctx, logclient.KeyStream(dc))
		if err != nil {
			return nil, err
		}
		if other == nil {
			continue
		}
		h.Past = append(h.Past, other.Past...)
		if !slices.Equal(other.DataCentres, dcs) {
			h.Past = append(h.Past, idempotency.Epoch{DataCentres: other.DataCentres, Until: time.Now()})
		}
	}
	return h, nil
}

// lastHomes folds the records of KindHomes in a stream and returns the result,
// or nil. The fold also knows the earlier sets, by the time of the log.
func (k *keyLog) lastHomes(ctx context.Context, stream string) (*idempotency.Homes, error) {
	table := idempotency.NewTable(idempotency.Settings{Window: k.window})
	for {
		b, err := k.log.Read(ctx, stream, table.Next(), homesReadLimit, 0)
		var expired *logclient.ExpiredError
		if errors.As(err, &expired) {
			table.SkipExpired(expired.Oldest)
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, r := range b.Records {
			if err := table.Apply(r.Offset, r.At, onlyHomes(r.Data)); err != nil {
				return nil, err
			}
		}
		if table.Next() >= b.Next {
			return table.Homes(), nil
		}
	}
}

// onlyHomes decodes the records of KindHomes. The stream's own readers report
// what does not decode.
func onlyHomes(data []byte) []idempotency.Record {
	recs, _ := records.DecodeKeys(data)
	return slices.DeleteFunc(recs, func(r idempotency.Record) bool { return r.Kind != idempotency.KindHomes })
}
