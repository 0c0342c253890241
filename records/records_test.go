package records

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/idempotency"
)

// decodes checks that a decoder fails only with an error of this package.
func decodes(t *testing.T, err error) bool {
	t.Helper()
	assert.Assert(t, err == nil || errors.Is(err, ErrMalformed) || errors.Is(err, ErrTooLarge), "%v", err)
	return err == nil
}

func corpus(f *testing.F, more ...string) {
	f.Helper()
	for _, s := range append(more, ``, `null`, `[]`, `{}`, `{`, `[{"kind":"x"}]`, `{"kind":"claim"} {}`, "\xff") {
		f.Add([]byte(s))
	}
}

// Guards against a key record that stops the reader of the stream, and against
// an encoding that loses content.
func FuzzDecodeKeys(f *testing.F) {
	corpus(f, `[{"kind":"intent","key":{"service":"s","workspace":"w","key":"k"},"attempt":"a","digest":7}]`,
		`[{"kind":"homes","homes":{"revision":1,"data_centres":["a","b"]}}]`, `[{"kind":"homes"}]`)
	f.Fuzz(func(t *testing.T, data []byte) {
		recs, err := DecodeKeys(data)
		if !decodes(t, err) {
			return
		}
		table := idempotency.NewTable(idempotency.Settings{Window: time.Hour})
		assert.NilError(t, table.Apply(0, time.Unix(1, 0), recs))
		b, err := EncodeKeys(recs)
		assert.NilError(t, err)
		again, err := DecodeKeys(b)
		assert.NilError(t, err)
		assert.Equal(t, len(again), len(recs))
	})
}

// Guards against a lease record that stops the reader of the stream.
func FuzzDecodeLease(f *testing.F) {
	corpus(f, `{"kind":"claim","holder":{"vm":"a"}}`, `{"kind":"renew"}`, `{"kind":"other"}`)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeLease(data)
		if decodes(t, err) {
			assert.Assert(t, r != nil)
		}
	})
}

// Guards against a configuration record that stops the reader of the stream.
func FuzzDecodeConfiguration(f *testing.F) {
	corpus(f, `{"change":{"change_id":"c","kind":"workspace","object_id":"w","base_revision":0,"workspace":{"id":"w","share":1}}}`,
		`{"snapshot":{"next":1,"revision":1,"services":{},"targets":{},"workspaces":{}}}`, `{"snapshot":{"next":-1}}`)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeConfiguration(data)
		if decodes(t, err) {
			assert.Assert(t, (r.Change == nil) != (r.Snapshot == nil))
		}
	})
}
