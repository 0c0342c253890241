package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/platform/standin"
)

// Guards against a scenario of keys that passes whatever happens: each broken rule must be
// detected and each allowed outcome accepted.
func TestKeysOracle(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	held := &issuedKey{key: keyMark + "-0", workspace: "w", added: at(0)}
	gone := &issuedKey{key: keyMark + "-1", workspace: "w", added: at(0), dropping: at(5 * time.Second), dropped: at(5 * time.Second)}
	public := standin.Route{Public: true}
	const late, soon = 2501 * time.Millisecond, 2500 * time.Millisecond
	for name, c := range map[string]struct {
		call      keyedCall
		ran       bool
		disturbed time.Duration
		want      keyVerdict
	}{
		"unknown ran":                       {keyedCall{use: keyUnknown, status: 200}, true, 0, unknownRan},
		"unknown ran beside a fault":        {keyedCall{use: keyMissing}, true, time.Second, unknownRan},
		"unknown refused":                   {keyedCall{use: keyUnknown, status: 401}, false, 0, keyKept},
		"missing ran, public":               {keyedCall{use: keyMissing, status: 200, route: public}, true, 0, keyKept},
		"public refused":                    {keyedCall{use: keyUnknown, status: 401, route: public}, false, 0, knownRefused},
		"dropped ran, late":                 {keyedCall{use: keyDropped, key: gone, sent: at(5*time.Second + late)}, true, 0, droppedRan},
		"dropped ran, in time":              {keyedCall{use: keyDropped, key: gone, sent: at(5*time.Second + soon)}, true, 0, keyKept},
		"dropped ran beside a fault":        {keyedCall{use: keyDropped, key: gone, sent: at(5*time.Second + late)}, true, time.Second, keyKept},
		"held refused":                      {keyedCall{use: keyHeld, key: held, status: 401, sent: at(late)}, false, 0, knownRefused},
		"held refused, just added":          {keyedCall{use: keyHeld, key: held, status: 401, sent: at(soon)}, false, 0, keyKept},
		"held refused beside a fault":       {keyedCall{use: keyHeld, key: held, status: 401, sent: at(late)}, false, time.Second, keyKept},
		"held before the fault, refused":    {keyedCall{use: keyHeld, key: held, status: 401, sent: at(11 * time.Second)}, false, time.Second, knownRefused},
		"held when sent, dropped meanwhile": {keyedCall{use: keyHeld, key: gone, status: 401, sent: at(4 * time.Second), ended: at(6 * time.Second)}, false, 0, keyKept},
		"held, no place":                    {keyedCall{use: keyHeld, key: held, status: 503, sent: at(late)}, false, 0, keyKept},
	} {
		assert.Equal(t, classifyCall(&c.call, c.ran, c.disturbed), c.want, name)
	}
	assert.ErrorContains(t, (&keysFigures{held: 3, heldServed: 1}).check(), "1 of 3 requests")
	withKey, noKey := keyedCall{use: keyHeld, key: held}, keyedCall{use: keyMissing, route: public}
	for name, c := range map[string]struct {
		call    keyedCall
		receipt standin.Receipt
		want    keyVerdict
	}{
		"its workspace":             {withKey, standin.Receipt{Workspaces: []string{"w"}}, keyKept},
		"no workspace":              {withKey, standin.Receipt{}, workspaceWrong},
		"another workspace":         {withKey, standin.Receipt{Workspaces: []string{"v"}}, workspaceWrong},
		"two workspaces":            {withKey, standin.Receipt{Workspaces: []string{"w", "w"}}, workspaceWrong},
		"the key":                   {withKey, standin.Receipt{Workspaces: []string{"w"}, Keys: []string{"Token x"}}, keyShown},
		"the key in another header": {withKey, standin.Receipt{Workspaces: []string{"w"}, Headers: []string{"X-A: " + keyMark}}, keyShown},
		"public":                    {noKey, standin.Receipt{}, keyKept},
		"public, claimed workspace": {noKey, standin.Receipt{Workspaces: []string{"w"}}, workspaceWrong},
		"repeated, another of both": {keyedCall{use: keyRepeated, key: held, second: &issuedKey{workspace: "v"}}, standin.Receipt{Workspaces: []string{"v"}}, keyKept},
		"repeated, neither of both": {keyedCall{use: keyRepeated, key: held, second: held}, standin.Receipt{Workspaces: []string{"v"}}, workspaceWrong},
	} {
		assert.Equal(t, classifyReceipt(&c.call, &c.receipt), c.want, name)
	}
}
