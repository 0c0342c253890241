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

// wireNames are names of the platform's protocol that the product has no use for
// under its own names. Names that are also the product's, such as X-Request-Id
// and X-Deadline-Ms of its own interface, are not among them.
var wireNames = regexp.MustCompile(`(?i:X-(Server-Stamp|Expect-Instance|Expect-Version|Instance-Id|Instance-Load|Not-Executed|` +
	`Request-Priority|Phase|Kv-[A-Z]+|Pin-Ms|Prompt-Prefix|Token-Usage|Weight-Versions|Length-Hint))|` +
	`Kv-Fetch|kv-handle|keyed\.|/log-(append|read|newest|join|leave|commit|owners|trim)|/hold-(take|drop)|` +
	`LENTILPICK_BOOT|TrafficSplit|PathPrefix|GapSloMs|FencingToken|HandleTtlS|KvTokenBytes`)

// Guards against decisions that depend on the platform's wire: its names stand in
// platform/ and in tests alone.
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
		assert.Check(t, wireNames.Find(b) == nil, "%s has the platform's name %q", rel, wireNames.Find(b))
		return nil
	})
	assert.NilError(t, err)
}

// Guards against a platform folder that grows beyond translation: it stays under
// a sixth of the code that is no test and not generated.
func TestPlatformStaysSmall(t *testing.T) {
	own, all := 0, 0
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
		all += lines
		if strings.HasPrefix(rel, "platform"+string(filepath.Separator)) {
			own += lines
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, own*6 < all, "platform has %d of %d lines", own, all)
}
