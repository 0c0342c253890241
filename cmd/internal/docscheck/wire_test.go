package docscheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// wireNames matches names of the platform's protocol that the product does not use in its own
// interfaces. It leaves out names that both use, such as X-Request-Id and X-Deadline-Ms.
var wireNames = regexp.MustCompile(`(?i:X-(Server-Stamp|Expect-Instance|Expect-Version|Instance-Id|Instance-Load|Not-Executed|` +
	`Request-Priority|Phase|Kv-[A-Z]+|Pin-Ms|Prompt-Prefix|Token-Usage|Weight-Versions|Length-Hint))|` +
	`Kv-Fetch|kv-handle|keyed\.|/log-(append|read|newest|join|leave|commit|owners|trim)|/hold-(take|drop)|` +
	`LENTILPICK_BOOT|TrafficSplit|PathPrefix|GapSloMs|FencingToken|HandleTtlS|KvTokenBytes`)

// Guards against decisions that depend on the platform's wire format: its names may occur only
// in platform/ and in tests.
func TestWireNamesStayInPlatform(t *testing.T) {
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel(root, path)
		if d.IsDir() && (rel == "platform" || rel == ".git" || rel == "target") {
			return fs.SkipDir
		}
		if !strings.HasSuffix(rel, ".go") || strings.HasSuffix(rel, "_test.go") {
			return nil
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		assert.Check(t, wireNames.Find(b) == nil, "%s contains the name %q of the platform's protocol", rel, wireNames.Find(b))
		return nil
	})
	assert.NilError(t, err)
}

// Guards against logic in platform/ beyond the translation of protocols: the folder must stay
// below a sixth of the code, without tests and generated files.
func TestPlatformStaysSmall(t *testing.T) {
	platformLines, totalLines := 0, 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel(root, path)
		generated := strings.HasSuffix(rel, ".pb.go") || strings.HasSuffix(rel, ".connect.go")
		if d.IsDir() || generated || !strings.HasSuffix(rel, ".go") || strings.HasSuffix(rel, "_test.go") {
			return nil
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		lines := strings.Count(string(b), "\n")
		totalLines += lines
		if strings.HasPrefix(rel, "platform"+string(filepath.Separator)) {
			platformLines += lines
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, platformLines*6 < totalLines, "platform/ has %d of %d lines", platformLines, totalLines)
}
