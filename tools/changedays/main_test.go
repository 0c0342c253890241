package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/BurntSushi/toml"
	"gotest.tools/v3/assert"
)

const testSite = `
[[troubles]]
kind = "herd_kill"
share = 0.5
[[troubles]]
kind = "replace_core"
`

func writtenDays(t *testing.T, shift float64, grown bool) map[string]day {
	site, dir := filepath.Join(t.TempDir(), "site.toml"), t.TempDir()
	assert.NilError(t, os.WriteFile(site, []byte(testSite), 0o600))
	n, err := writeDays(site, dir, shift, grown)
	assert.NilError(t, err)
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), n)
	days := map[string]day{}
	for _, f := range files {
		var content struct{ Day []day }
		_, err := toml.DecodeFile(f, &content)
		assert.NilError(t, err)
		assert.Equal(t, len(content.Day), 1)
		days[content.Day[0].Name] = content.Day[0]
	}
	return days
}

// Guards against days with a grown configuration that lose the events, change before it has grown,
// or have series that overlap or end after the day.
func TestGrownDays(t *testing.T) {
	for _, shift := range []float64{0, 0.9, 2.79, 30} {
		days := writtenDays(t, shift, true)
		assert.Equal(t, len(days), 2*(2+len(commonEvents)))
		assert.Equal(t, len(days["s00-herd_kill"].Faults), len(eventTimesSeconds))
		assert.Equal(t, len(days["g01-replace_core"].Plan), 1+changesPerDay+2)
		for name, d := range days {
			end := growthSeconds
			for i, e := range d.Plan {
				at, _ := e["at"].(float64)
				switch e["kind"] {
				case "big_config":
					count, _ := e["count"].(int64)
					assert.Assert(t, i == 0 && count >= minGrowth && count <= maxGrowth, "%s: %v", name, e)
				case "config_storm":
					assert.Assert(t, at > end, "%s: series at %v begins before %v", name, at, end)
					length, _ := e["for_s"].(float64)
					end = at + length
				case "config_change":
					assert.Assert(t, at > growthSeconds && at < d.Length, "%s: %v", name, e)
				}
			}
			assert.Assert(t, end < d.Length, name)
		}
	}
}

// Guards against days without the flag that change when days with it do: recorded runs name them.
func TestDaysWithoutGrowth(t *testing.T) {
	days := writtenDays(t, 0, false)
	assert.Equal(t, len(days), 2+len(commonEvents))
	d := days["c00-herd_kill"]
	assert.Equal(t, len(d.Plan), changesPerDay)
	assert.Equal(t, d.Plan[0]["at"], 2.4)
}
