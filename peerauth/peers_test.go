package peerauth

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/types"
)

// newNodes returns nodes that know the keys of each other, and these keys.
func newNodes(t testing.TB, names ...types.VMID) (map[types.VMID]*Peers, map[types.VMID]string) {
	nodes, keys := map[types.VMID]*Peers{}, map[types.VMID]string{}
	for _, name := range names {
		i, err := NewIdentity(name)
		assert.NilError(t, err)
		nodes[name], keys[name] = NewPeers(i), i.PublicKey()
	}
	for _, p := range nodes {
		assert.NilError(t, p.Set(keys))
	}
	return nodes, keys
}

var fields = [][]byte{[]byte("POST"), []byte("/chat"), {}, []byte("digest")}

func sign(t testing.TB, p *Peers, to types.VMID, fields ...[]byte) []byte {
	token, err := p.Sign(to, fields...)
	assert.NilError(t, err)
	return token
}

// Guards against a message that is accepted with other fields, from or at another node, back at its
// sender, with another number, or a second time.
func TestOnlyTheMessageItselfIsAccepted(t *testing.T) {
	nodes, _ := newNodes(t, "a", "b", "c")
	token := sign(t, nodes["a"], "b", fields...)
	rejects := func(at, from types.VMID, token []byte, want error, fields ...[]byte) {
		t.Helper()
		assert.ErrorIs(t, nodes[at].Verify(from, token, fields...), want)
	}
	rejects("a", "b", token, ErrNotAuthentic, fields...)
	rejects("a", "a", token, ErrSelf, fields...)
	rejects("c", "a", token, ErrNotAuthentic, fields...)
	rejects("b", "c", token, ErrNotAuthentic, fields...)
	rejects("b", "d", token, ErrUnknownPeer, fields...)
	rejects("b", "a", token, ErrNotAuthentic, fields[:3]...)
	rejects("b", "a", token, ErrNotAuthentic, append(slices.Clone(fields), nil)...)
	rejects("b", "a", token, ErrNotAuthentic, []byte("POST/"), []byte("chat"), nil, []byte("digest"))
	rejects("b", "a", token, ErrNotAuthentic, []byte("POST"), []byte("/chat"), []byte("d"), []byte("igest"))
	for i := range token {
		changed := bytes.Clone(token)
		changed[i] ^= 1
		rejects("b", "a", changed, ErrNotAuthentic, fields...)
	}
	assert.NilError(t, nodes["b"].Verify("a", token, fields...))
	rejects("b", "a", token, ErrReplayed, fields...)
	_, err := nodes["a"].Sign("a")
	assert.ErrorIs(t, err, ErrSelf)
}

// Guards against a restarted node that is not understood, and against the key of its earlier process.
func TestRestartReplacesTheKey(t *testing.T) {
	nodes, keys := newNodes(t, "a", "b")
	old := nodes["a"]
	earlier := sign(t, old, "b", fields...)
	restarted, newKeys := newNodes(t, "a")
	keys["a"] = newKeys["a"]
	assert.NilError(t, restarted["a"].Set(keys))
	token := sign(t, restarted["a"], "b", fields...)
	assert.ErrorIs(t, nodes["b"].Verify("a", token, fields...), ErrNotAuthentic, "before the record is known")
	assert.NilError(t, nodes["b"].Set(keys))
	assert.NilError(t, nodes["b"].Verify("a", token, fields...))
	for _, late := range [][]byte{earlier, sign(t, old, "b", fields...)} {
		assert.ErrorIs(t, nodes["b"].Verify("a", late, fields...), ErrNotAuthentic)
	}
	assert.NilError(t, restarted["a"].Verify("b", sign(t, nodes["b"], "a", fields...), fields...))
}

// Guards against one invalid record that drops the others, and against nodes without a valid key that
// ask or are asked.
func TestInvalidKeysAreLeftOut(t *testing.T) {
	nodes, keys := newNodes(t, "a", "b")
	all := map[types.VMID]string{"b": keys["b"], "none": ""}
	for name, key := range map[types.VMID]string{
		"text": "no key", "short": keys["b"][:40], "spaces": keys["b"][:20] + "\n" + keys["b"][20:],
		"low": base64.StdEncoding.EncodeToString(make([]byte, keySize)),
	} {
		all[name] = key
	}
	err := nodes["a"].Set(all)
	assert.ErrorIs(t, err, ErrInvalidKey)
	for name := range all {
		_, signErr := nodes["a"].Sign(name)
		switch name {
		case "b":
			assert.NilError(t, signErr)
		default:
			assert.ErrorIs(t, signErr, ErrUnknownPeer, "%s", name)
			assert.Equal(t, strings.Contains(err.Error(), string(name)), name != "none")
		}
	}
}

// Guards against a message that is accepted again, and later ones that are not, after the record of a
// node was missing for a while or that of another has changed.
func TestNumbersOutliveRemovals(t *testing.T) {
	nodes, keys := newNodes(t, "a", "b", "c")
	without := map[types.VMID]string{"c": keys["c"]}
	token := sign(t, nodes["a"], "b", fields...)
	assert.NilError(t, nodes["b"].Verify("a", token, fields...))
	for _, p := range []*Peers{nodes["a"], nodes["b"]} {
		assert.NilError(t, p.Set(without))
		assert.ErrorIs(t, p.Verify("a", token, fields...), map[bool]error{true: ErrSelf, false: ErrUnknownPeer}[p == nodes["a"]])
		assert.NilError(t, p.Set(keys))
	}
	assert.ErrorIs(t, nodes["b"].Verify("a", token, fields...), ErrReplayed)
	assert.NilError(t, nodes["b"].Verify("a", sign(t, nodes["a"], "b")))
	for i := range 2 * maxRemoved {
		removed := &peer{}
		assert.Assert(t, removed.accept(1))
		nodes["b"].keepRemoved(types.VMID(fmt.Sprintf("vm-%d", i)), removed)
	}
	assert.Equal(t, len(nodes["b"].removed), maxRemoved, "memory grows with the nodes that there were")
}

// Guards against a message that is refused because few others have overtaken it, that is accepted
// once by each of several goroutines, or again after its slot was used for a later one.
func TestWindowOfNumbers(t *testing.T) {
	nodes, _ := newNodes(t, "a", "b")
	var tokens [][]byte
	for range windowSize + 1 {
		tokens = append(tokens, sign(t, nodes["a"], "b"))
	}
	var accepted atomic.Int64
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for _, token := range slices.Backward(tokens[1:]) {
				if nodes["b"].Verify("a", token) == nil {
					accepted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	assert.Equal(t, accepted.Load(), int64(windowSize))
	assert.ErrorIs(t, nodes["b"].Verify("a", tokens[0]), ErrReplayed)
}

// Guards against keys in logs.
func TestKeysAreNotPrinted(t *testing.T) {
	nodes, keys := newNodes(t, "a", "b")
	p := nodes["a"]
	entry := (*p.byName.Load())["b"]
	out := fmt.Sprint(p.Set(map[types.VMID]string{"c": keys["b"] + keys["b"]}))
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%x", "%d", "%t"} {
		for _, x := range []any{p.identity, *p.identity, p, entry} {
			out += fmt.Sprintf(verb, x)
		}
	}
	for _, secret := range [][]byte{p.identity.private.Bytes(), entry.to, entry.from, []byte(keys["b"])} {
		for _, form := range []string{string(secret), base64.StdEncoding.EncodeToString(secret), hex.EncodeToString(secret), strings.Trim(fmt.Sprint(secret), "[]"), strings.Trim(fmt.Sprintf("%#v", secret), "[]byte{}")} {
			assert.Assert(t, !strings.Contains(out, form))
		}
	}
}

// FuzzVerify guards against tokens that end the process, and against any that this node accepts
// although no peer has made them.
func FuzzVerify(f *testing.F) {
	nodes, _ := newNodes(f, "a", "b")
	token := sign(f, nodes["a"], "b", fields...)
	f.Add("a", token, fields[0])
	f.Add("b", token[:numberSize], []byte{})
	f.Fuzz(func(t *testing.T, from string, token, field []byte) {
		assert.Assert(t, nodes["b"].Verify(types.VMID(from), token, field) != nil)
		known := nodes["a"].Set(map[types.VMID]string{"c": from})
		_, err := nodes["a"].Sign("c", field)
		assert.Equal(t, err == nil, known == nil && from != "")
	})
}

func BenchmarkSignAndVerify(b *testing.B) {
	nodes, _ := newNodes(b, "a", "b")
	b.ReportAllocs()
	for b.Loop() {
		if err := nodes["b"].Verify("a", sign(b, nodes["a"], "b", fields...), fields...); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSet measures the keys of one more of 370 nodes that has restarted.
func BenchmarkSet(b *testing.B) {
	nodes, keys := newNodes(b, "a", "b", "c")
	for i := range 370 {
		keys[types.VMID(fmt.Sprintf("vm-%d", i))] = keys["c"]
	}
	turn := [2]string{keys["b"], keys["c"]}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		keys["b"] = turn[i%2]
		assert.NilError(b, nodes["a"].Set(keys))
	}
}
