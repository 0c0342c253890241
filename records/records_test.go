package records

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/idempotency"
)

// decoded fails the test if err is neither nil nor an error of this package, and
// reports whether it is nil.
func decoded(t *testing.T, err error) bool {
	t.Helper()
	assert.Assert(t, err == nil || errors.Is(err, ErrMalformed) || errors.Is(err, ErrTooLarge), "%v", err)
	return err == nil
}

// addSeeds adds the given inputs and some malformed ones to the seed corpus.
func addSeeds(f *testing.F, inputs ...string) {
	f.Helper()
	for _, s := range append(inputs, ``, `null`, `[]`, `{}`, `{`, `[{"kind":"x"}]`, `{"kind":"claim"} {}`, "\xff") {
		f.Add([]byte(s))
	}
}

// A key record must either decode or fail with an error of this package, so that it
// cannot stop the reader of the stream, and encoding must not lose records.
func FuzzDecodeKeys(f *testing.F) {
	addSeeds(f, `[{"kind":"intent","key":{"service":"s","workspace":"w","key":"k"},"attempt":"a","digest":7}]`,
		`[{"kind":"homes","homes":{"revision":1,"data_centres":["a","b"]}}]`, `[{"kind":"homes"}]`)
	f.Fuzz(func(t *testing.T, data []byte) {
		recs, err := DecodeKeys(data)
		if !decoded(t, err) {
			return
		}
		table := idempotency.NewTable(idempotency.Settings{Window: time.Hour})
		assert.NilError(t, table.Apply(0, time.Unix(1, 0), recs))
		b, err := EncodeKeys(recs)
		assert.NilError(t, err)
		roundTripped, err := DecodeKeys(b)
		assert.NilError(t, err)
		assert.Equal(t, len(roundTripped), len(recs))
	})
}

// A lease record must either decode or fail with an error of this package, so that
// it cannot stop the reader of the stream.
func FuzzDecodeLease(f *testing.F) {
	addSeeds(f, `{"kind":"claim","holder":{"vm":"a"}}`, `{"kind":"renew"}`, `{"kind":"other"}`)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeLease(data)
		if decoded(t, err) {
			assert.Assert(t, r != nil)
		}
	})
}

// A configuration record must either decode or fail with an error of this package,
// so that it cannot stop the reader of the stream.
func FuzzDecodeConfiguration(f *testing.F) {
	addSeeds(f, `{"change":{"change_id":"c","kind":"workspace","object_id":"w","base_revision":0,"workspace":{"id":"w","share":1}}}`,
		`{"snapshot":{"next":1,"revision":1,"services":{},"targets":{},"workspaces":{}}}`, `{"snapshot":{"next":-1}}`)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeConfiguration(data)
		if decoded(t, err) {
			assert.Assert(t, (r.Change == nil) != (r.Snapshot == nil))
		}
	})
}
