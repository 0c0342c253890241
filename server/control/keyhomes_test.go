package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/idempotency"
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/types"
)

// longLog is a log with one stream whose reads take a second each.
type longLog struct {
	logclient.Log
	records []logclient.Record
}

func (l *longLog) Read(ctx context.Context, _ string, from types.Offset, limit int, _ time.Duration) (logclient.Batch, error) {
	select {
	case <-ctx.Done():
		return logclient.Batch{}, logclient.ErrUnavailable
	case <-time.After(time.Second):
	}
	end := min(int(from)+limit, len(l.records))
	return logclient.Batch{Next: types.Offset(len(l.records)), Records: l.records[from:end]}, nil
}

// Guards against a new data centre that never learns the earlier homes of keys, and grants no claim,
// because the streams of the others take longer to read than one attempt and each attempt begins
// again.
func TestHomesOfLongStreamsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		data, err := records.EncodeKeys([]idempotency.Record{{Kind: idempotency.KindHomes, Homes: &idempotency.Homes{Revision: 1, DataCentres: []types.DataCentreID{"a"}}}})
		assert.NilError(t, err)
		l := &longLog{records: make([]logclient.Record, 25*homesBatchRecords)}
		for i := range l.records {
			l.records[i] = logclient.Record{Offset: types.Offset(i), At: time.Now()}
		}
		l.records[10].Data = data
		k := &keyLog{log: l, dc: "b", window: time.Hour}
		var h *idempotency.Homes
		for range 5 {
			if h, err = k.initialHomes(t.Context(), 2, []types.DataCentreID{"a", "b"}); err == nil {
				break
			}
		}
		assert.NilError(t, err)
		assert.Equal(t, len(h.Past), 1)
		assert.DeepEqual(t, h.Past[0].DataCentres, []types.DataCentreID{"a"})
	})
}
