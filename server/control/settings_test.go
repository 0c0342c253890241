package control

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/daemon"
)

const baseSettings = `vm = "vm-1"
data_centre = "dc"
listen = "127.160.0.1:1"
platform = "127.160.0.1:2"
admin = "10.0.0.1:3"
`

func loadSettings(t *testing.T, more string) error {
	path := filepath.Join(t.TempDir(), "control.toml")
	assert.NilError(t, os.WriteFile(path, []byte(baseSettings+more), 0o600))
	return daemon.LoadSettings(path, DefaultSettings())
}

// Guards against an administration API that is reachable from other hosts without a
// credential, against two operators with the same token or name, and against a token
// in the error message of a failed start.
func TestOperatorSettings(t *testing.T) {
	const asha = "[[operator]]\nname = \"asha\"\ntoken = \"secret\"\n"
	assert.ErrorContains(t, loadSettings(t, ""), "loopback")
	assert.NilError(t, loadSettings(t, asha))
	for name, more := range map[string]string{
		"same token":  asha + "[[operator]]\nname = \"kirk\"\ntoken = \"secret\"\n",
		"admin token": "admin_token = \"secret\"\n" + asha,
		"same name":   asha + "[[operator]]\nname = \"asha\"\ntoken = \"secret-2\"\n",
		"reserved":    "[[operator]]\nname = \"admin\"\ntoken = \"secret\"\n",
		"no token":    "[[operator]]\nname = \"asha\"\n",
	} {
		err := loadSettings(t, more)
		assert.ErrorContains(t, err, "operator.", name)
		assert.Assert(t, !strings.Contains(err.Error(), "secret"), name)
	}
}
