package workspaces

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func nameOf(w *Workspace) string {
	if w == nil {
		return ""
	}
	return w.Name()
}

// Guards against a credential without a usable key that identifies a workspace.
func TestOnlyKeysIdentify(t *testing.T) {
	s := Next(nil, []*Workspace{NewWorkspace("a", nil, []string{"k1", ""})})
	for key, want := range map[string]struct {
		form Form
		name string
	}{
		"k1": {FormKey, "a"}, "k2": {FormKey, ""}, "K1": {FormKey, ""}, "k1,": {FormKey, ""},
		"": {FormMalformed, ""}, "k1 k2": {FormMalformed, ""}, "k1\x00": {FormMalformed, ""}, "\tk1": {FormMalformed, ""},
	} {
		c := ForKey(key)
		assert.Equal(t, c.Form(), want.form, "%q", key)
		assert.Equal(t, nameOf(s.Find(c)), want.name, "%q", key)
	}
	assert.Equal(t, Credential{}.Form(), FormMissing)
	digest := ForKey("k1").digest
	for _, c := range []Credential{{}, Repeated(), {form: FormRepeated, digest: digest}, {form: FormMalformed, digest: digest}, {digest: digest}} {
		assert.Equal(t, nameOf(s.Find(c)), "")
	}
}

// Guards against an entry of another workspace that makes valid keys unknown, and against an error
// that contains a key.
func TestInvalidEntriesAreLeftOut(t *testing.T) {
	seven := 7
	s := Next(nil, []*Workspace{
		NewWorkspace("a", &seven, []string{"k1", "", "secret one", "secret\r\n"}), NewWorkspace("", nil, []string{"secret2"}),
		NewWorkspace("b\r\nX: 1", nil, []string{"secret3"}), NewWorkspace(" c", nil, []string{"secret4"}),
		NewWorkspace("d", nil, []string{"k2", "secret5"}), NewWorkspace("e", nil, []string{"secret5", "k3"}), NewWorkspace("e", &seven, []string{"k3"}),
	})
	for key, want := range map[string]string{"k1": "a", "k2": "d", "k3": "e", "secret2": "", "secret3": "", "secret4": "", "secret5": ""} {
		assert.Equal(t, nameOf(s.Find(ForKey(key))), want, "%s", key)
	}
	for key, want := range map[string]int{"k1": 7, "k2": noPriority, "k3": 7} {
		got, _ := s.Find(ForKey(key)).Priority()
		assert.Equal(t, got, want)
	}
	assert.Equal(t, s.Len(), 4)
	assert.Equal(t, len(s.Problems()), 5)
	text := errors.Join(s.Problems()...).Error()
	assert.Assert(t, !strings.Contains(text, "secret") && strings.Contains(text, `"d" and "e"`), "%s", text)
}

// Guards against a key that shows when a request or a set is printed.
func TestKeysAreNotPrinted(t *testing.T) {
	s := Next(nil, []*Workspace{NewWorkspace("a", nil, []string{"very-secret"})})
	holder := struct{ C Credential }{ForKey("very-secret")}
	text := fmt.Sprintf("%v %+v %#v %s %d %+v %#v", holder, holder, holder, holder.C, holder.C, s, s.all[0])
	assert.Assert(t, !strings.Contains(text, "very-secret"), "%s", text)
	shown := fmt.Sprintf("%v %+v %#v %s", holder, holder, holder, holder.C)
	assert.Equal(t, strings.Count(shown, holder.C.String()), 4, "%s", shown)
}

// Guards against a set that differs from one that is built anew, after any sequence of changes, and
// against a change of an earlier set.
func TestNextIsTheSameAsAnew(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var all []*Workspace
	var last *Set
	for range 300 {
		all = append([]*Workspace{}, all...)
		for range 1 + r.IntN(3) {
			w := NewWorkspace("w"+strconv.Itoa(r.IntN(8)), nil, []string{"k" + strconv.Itoa(r.IntN(12)), "k" + strconv.Itoa(r.IntN(12))})
			switch i := r.IntN(len(all) + 1); {
			case len(all) > 9 || i < len(all) && r.IntN(3) == 0:
				all = append(all[:i%len(all)], all[i%len(all)+1:]...)
			case i < len(all) && r.IntN(2) == 0:
				all[i] = all[r.IntN(len(all))]
			default:
				all = append(all[:i], append([]*Workspace{w}, all[i:]...)...)
			}
		}
		next := Next(last, all)
		assert.DeepEqual(t, contentOf(next), contentOf(Next(nil, all)))
		if last != nil {
			assert.DeepEqual(t, contentOf(last), contentOf(Next(nil, last.all)))
		}
		last = next
	}
}

// contentOf returns what callers of a set can tell about it.
func contentOf(s *Set) (content []string) {
	for i := range 12 {
		w := s.Find(ForKey("k" + strconv.Itoa(i)))
		content = append(content, nameOf(w))
	}
	for _, err := range s.Problems() {
		content = append(content, err.Error())
	}
	return append(content, strconv.Itoa(s.Len()))
}

// Guards against a look-up that compares only the part of the digest by which it searches.
func TestWholeDigestIsCompared(t *testing.T) {
	s := Next(nil, []*Workspace{NewWorkspace("a", nil, []string{"k1"})})
	c := ForKey("k1")
	c.digest[len(c.digest)-1] ^= 1
	assert.Equal(t, nameOf(s.Find(c)), "")
}

func manyWorkspaces(n int) []*Workspace {
	all := make([]*Workspace, n)
	for i := range all {
		all[i] = NewWorkspace("w"+strconv.Itoa(i), nil, []string{fmt.Sprint("a", i), fmt.Sprint("b", i), fmt.Sprint("c", i)})
	}
	return all
}

// Guards against a change of one workspace that copies the keys of all others.
func TestChangeSharesOtherShards(t *testing.T) {
	all := manyWorkspaces(3700)
	first := Next(nil, all)
	changed := append([]*Workspace{}, all...)
	changed[1800] = NewWorkspace("w1800", nil, []string{"new"})
	second, replaced := Next(first, changed), 0
	for i := range first.shards {
		if first.shards[i] != second.shards[i] {
			replaced++
		}
	}
	assert.Assert(t, replaced > 0 && replaced <= 4, "%d shards", replaced)
}

func BenchmarkChangeOfOneWorkspace(b *testing.B) {
	all := manyWorkspaces(3700)
	s := Next(nil, all)
	b.ReportAllocs()
	for i := range b.N {
		changed := append([]*Workspace{}, all...)
		changed[i%len(all)] = NewWorkspace("changed", nil, []string{"x" + strconv.Itoa(i)})
		all = changed
		s = Next(s, all)
	}
}

func BenchmarkAllAnew(b *testing.B) {
	all := manyWorkspaces(3700)
	b.ReportAllocs()
	for b.Loop() {
		Next(nil, all)
	}
}

func BenchmarkFind(b *testing.B) {
	s := Next(nil, manyWorkspaces(3700))
	b.ReportAllocs()
	for b.Loop() {
		if s.Find(ForKey("b1234")) == nil {
			b.Fatal("not found")
		}
	}
}
