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
	homesCheckInterval = time.Second
	homesBatchRecords  = 1024
	// homesTimeout bounds one attempt to read the homes of other data centres. The next one
	// continues where it ended.
	homesTimeout = 10 * time.Second
)

// homeOf returns the home of a key: the data centre whose stream holds its records.
func homeOf(k idempotency.Key, dcs []types.DataCentreID) types.DataCentreID {
	return membership.Best(dcs, string(k.Service)+"\x00"+string(k.Workspace)+"\x00"+k.Key)
}

// watchHomes records the data centres that keys are distributed over: at the first
// claim, after a change of the configuration, and again before the record expires
// from the log.
func (k *keyLog) watchHomes(ctx context.Context) {
	tick := time.NewTicker(homesCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-k.homesRequests:
		}
		h, err := k.dueHomes(ctx)
		if err != nil {
			k.logger.WithError(err).Warn("reading the home data centres of keys failed")
		}
		if h != nil {
			k.enqueue(idempotency.Record{Kind: idempotency.KindHomes, Homes: h})
		}
	}
}

// dueHomes returns the record that has to be appended now, or nil.
func (k *keyLog) dueHomes(ctx context.Context) (*idempotency.Homes, error) {
	revision, dcs := k.deps.homes()
	k.mu.Lock()
	current, first, at := k.claims.Homes(), k.claims.NeedHomes(), k.homesLoggedAt
	k.mu.Unlock()
	switch {
	case len(dcs) == 0:
		return nil, nil
	case first:
		return k.initialHomes(ctx, revision, dcs)
	case current == nil:
		return nil, nil
	case revision > current.Revision && !slices.Equal(dcs, current.DataCentres):
		return &idempotency.Homes{Revision: revision, DataCentres: dcs}, nil
	case time.Since(at) > k.retention/3:
		return current, nil
	}
	return nil, nil
}

// errHomesIncomplete reports that the streams of other data centres were not read to their end in
// time.
var errHomesIncomplete = errors.New("reading the key streams of other data centres takes longer; it continues")

// initialHomes returns the first homes record of a stream. A new data centre takes
// the earlier sets of homes from the streams of the other data centres, because
// requests with keys that moved to it may have run there. After an error the next call continues.
func (k *keyLog) initialHomes(ctx context.Context, revision types.Revision, dcs []types.DataCentreID) (*idempotency.Homes, error) {
	until := time.Now().Add(homesTimeout)
	h := &idempotency.Homes{Revision: revision, DataCentres: dcs}
	for _, dc := range dcs {
		if dc == k.dc {
			continue
		}
		other, err := k.readHomes(ctx, dc, until)
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
	k.otherHomes = nil
	return h, nil
}

// readHomes applies the records of KindHomes in the stream of another data centre and returns the
// resulting homes, or nil if there are none. They include the earlier sets, dated by the log's
// timestamps. It starts no read after the given time.
func (k *keyLog) readHomes(ctx context.Context, dc types.DataCentreID, until time.Time) (*idempotency.Homes, error) {
	table := k.otherHomes[dc]
	if table == nil {
		table = idempotency.NewTable(idempotency.Settings{Window: k.window})
		if k.otherHomes == nil {
			k.otherHomes = map[types.DataCentreID]*idempotency.Table{}
		}
		k.otherHomes[dc] = table
	}
	for time.Now().Before(until) {
		b, err := k.log.Read(ctx, logclient.KeyStream(dc), table.Next(), homesBatchRecords, 0)
		var expired *logclient.ExpiredError
		if errors.As(err, &expired) {
			table.SkipExpired(expired.Oldest)
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, r := range b.Records {
			if err := table.Apply(r.Offset, r.At, decodeHomes(r.Data)); err != nil {
				delete(k.otherHomes, dc)
				return nil, err
			}
		}
		if table.Next() >= b.Next {
			return table.Homes(), nil
		}
	}
	return nil, errHomesIncomplete
}

// decodeHomes decodes the records of KindHomes. Decoding errors are ignored here;
// the followers of the stream report them.
func decodeHomes(data []byte) []idempotency.Record {
	recs, _ := records.DecodeKeys(data)
	return slices.DeleteFunc(recs, func(r idempotency.Record) bool { return r.Kind != idempotency.KindHomes })
}
