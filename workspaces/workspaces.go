package workspaces

import (
	"bytes"
	"cmp"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrEntry is wrapped by the errors for entries of a configuration that are left out. Their texts
// name workspaces, never keys.
var ErrEntry = errors.New("invalid entry of a workspace")

// maxPriority is the least urgent priority; 0 is the most urgent one.
const maxPriority = 9

// noPriority is the priority of workspaces without one.
const noPriority = -1

// Workspace is a workspace with its keys. It is immutable.
type Workspace struct {
	name     string
	priority int
	keys     []digest
	problems []error
	invalid  bool // the whole entry is left out
}

// NewWorkspace returns a workspace. The priority may be nil. An invalid name leaves out the whole
// entry, an unusable key only this key.
func NewWorkspace(name string, priority *int, keys []string) *Workspace {
	w := &Workspace{name: name, priority: noPriority}
	if err := checkName(name); err != nil {
		return Invalid(err)
	}
	if priority != nil {
		w.priority = min(max(*priority, 0), maxPriority)
	}
	unusable := 0
	for _, k := range keys {
		if !usableKey(k) {
			unusable++
			continue
		}
		w.keys = append(w.keys, digestOf(k))
	}
	if unusable > 0 {
		w.problems = append(w.problems, fmt.Errorf("%w: %d keys of %.60q are empty or cannot be sent in a header", ErrEntry, unusable, name))
	}
	return w
}

// WithProblem returns a copy of the workspace with one more error to report.
func (w *Workspace) WithProblem(err error) *Workspace {
	c := *w
	c.problems = append(slices.Clone(w.problems), err)
	return &c
}

// Invalid returns an entry that is left out for the given reason.
func Invalid(reason error) *Workspace {
	return &Workspace{invalid: true, problems: []error{reason}}
}

// checkName reports a name that cannot be sent unchanged in a header line.
func checkName(name string) error {
	switch {
	case name == "":
		return fmt.Errorf("%w: the name is empty", ErrEntry)
	case strings.Trim(name, " ") != name, strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f }):
		return fmt.Errorf("%w: the name %.60q has control characters or outer spaces", ErrEntry, name)
	}
	return nil
}

// Name returns the name of the workspace.
func (w *Workspace) Name() string { return w.name }

// Priority returns the priority of the workspace, from 0 to 9 with 0 as the most urgent one, and
// false if it has none.
func (w *Workspace) Priority() (int, bool) { return w.priority, w.priority != noPriority }

// shardCount is the number of parts of a Set that a change replaces separately. With 3,700 workspaces
// of a few keys a part has some 40 of them.
const shardCount = 256

// Set is an immutable version of the workspaces. Successive versions share the shards without
// changes.
type Set struct {
	all    []*Workspace
	shards [shardCount]*shard // nil without keys
}

// shard holds the keys whose digests begin with the same byte.
type shard struct {
	entries  []entry // sorted
	problems []error
}

// entry is a key of a workspace.
type entry struct {
	digest digest
	owner  *Workspace
}

// prefix is the part of the digest by which entries are searched.
func (d *digest) prefix() uint64 { return binary.BigEndian.Uint64(d[:8]) }

func compareEntries(a, b entry) int {
	return cmp.Or(bytes.Compare(a.digest[:], b.digest[:]), strings.Compare(a.owner.name, b.owner.name), cmp.Compare(a.owner.priority, b.owner.priority))
}

// Next returns the set of the given workspaces. It reuses the parts of an earlier set, which may be
// nil, whose workspaces are the same pointers. The slice must not be changed afterwards.
func Next(earlier *Set, all []*Workspace) *Set {
	if earlier == nil {
		earlier = &Set{}
	}
	next := &Set{all: all, shards: earlier.shards}
	changes := map[byte]map[entry]int{}
	for w, n := range difference(earlier.all, all) {
		for _, d := range w.keys {
			if changes[d[0]] == nil {
				changes[d[0]] = map[entry]int{}
			}
			changes[d[0]][entry{d, w}] += n
		}
	}
	for i, c := range changes {
		next.shards[i] = next.shards[i].with(c)
	}
	return next
}

// difference returns how many more times b contains a workspace than a, for those where it is not 0.
func difference(a, b []*Workspace) map[*Workspace]int {
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	counts := make(map[*Workspace]int)
	add := func(w *Workspace, n int) {
		if counts[w] += n; counts[w] == 0 {
			delete(counts, w)
		}
	}
	for i := range max(len(a), len(b)) {
		if i < len(a) && i < len(b) && a[i] == b[i] {
			continue
		}
		if i < len(a) {
			add(a[i], -1)
		}
		if i < len(b) {
			add(b[i], 1)
		}
	}
	return counts
}

// with returns the shard with changes: the number of times that an entry is added, or removed if it
// is negative.
func (s *shard) with(changes map[entry]int) *shard {
	next := &shard{}
	if s != nil {
		next.entries = make([]entry, 0, len(s.entries)+len(changes))
		for _, e := range s.entries {
			if changes[e] < 0 {
				changes[e]++
				continue
			}
			next.entries = append(next.entries, e)
		}
	}
	for e, n := range changes {
		for range n {
			next.entries = append(next.entries, e)
		}
	}
	if len(next.entries) == 0 {
		return nil
	}
	slices.SortFunc(next.entries, compareEntries)
	next.problems = sharedKeys(next.entries)
	return next
}

// sharedKeys returns an error for each key that several workspaces name.
func sharedKeys(entries []entry) (problems []error) {
	for len(entries) > 0 {
		n := 1
		for n < len(entries) && entries[n].digest == entries[0].digest {
			n++
		}
		if first, last := entries[0].owner.name, entries[n-1].owner.name; first != last {
			problems = append(problems, fmt.Errorf("%w: %.60q and %.60q name the same key, which identifies no workspace", ErrEntry, first, last))
		}
		entries = entries[n:]
	}
	return problems
}

// Find returns the workspace of a credential, or nil if the credential has no key or the key does
// not identify a workspace. If entries with the same name name the key, the least urgent one applies.
func (s *Set) Find(c Credential) *Workspace {
	part := s.shards[c.digest[0]]
	if c.form != FormKey || part == nil {
		return nil
	}
	want := c.digest.prefix()
	i, _ := slices.BinarySearchFunc(part.entries, want, func(e entry, p uint64) int { return cmp.Compare(e.digest.prefix(), p) })
	var found *Workspace
	for ; i < len(part.entries) && part.entries[i].digest.prefix() == want; i++ {
		e := &part.entries[i]
		if subtle.ConstantTimeCompare(e.digest[:], c.digest[:]) != 1 {
			continue
		}
		if found != nil && found.name != e.owner.name {
			return nil
		}
		found = e.owner
	}
	return found
}

// Len returns the number of workspaces without the entries that are left out.
func (s *Set) Len() (n int) {
	for _, w := range s.all {
		if !w.invalid {
			n++
		}
	}
	return n
}

// Problems returns an error for each entry or key that is left out.
func (s *Set) Problems() (all []error) {
	for _, w := range s.all {
		all = append(all, w.problems...)
	}
	for _, part := range s.shards {
		if part != nil {
			all = append(all, part.problems...)
		}
	}
	return all
}
