package directory

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a target that keeps the load and the cache of the software version that it ran
// before, against a request that reaches it by an older snapshot, and against a stale grouping.
func TestOtherVersionIsNewLifetime(t *testing.T) {
	d := New()
	e, b := entry("a"), entry("b")
	e.Version, b.Version = "v1", "v1"
	d.Put(e)
	d.Put(b)
	old := d.Load().Target("a")
	old.Load.RecordPrefill([]Part{{Key: 1, Tokens: 100}}, 100)
	assert.Equal(t, len(d.Load().Versions(e.Service)), 1)

	e.Version = "v2"
	d.Put(e)
	now := d.Load().Target("a")
	assert.Assert(t, old.Leaving() && !now.Leaving())
	assert.Equal(t, now.Load.CachedTokens([]Part{{Key: 1, Tokens: 100}}, 1000), 0)
	assert.Equal(t, len(d.Load().Versions(e.Service)), 2)
	assert.Equal(t, d.Load().OfVersion(e.Service, "v2")[0], now)
	assert.Equal(t, len(d.Load().OfVersion(e.Service, "v1")), 1)
	assert.Equal(t, len(d.Load().OfVersion(e.Service, "v3")), 0)
}
