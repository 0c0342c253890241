package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/platform/standin"
)

var cutsTestBegin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// cutsTestRun returns a run with a cut of node-1 from 10 s to 20 s and a silence of i-s0 from 12 s to
// 13 s.
func cutsTestRun() *cutsRun {
	at := func(seconds int) time.Time { return cutsTestBegin.Add(time.Duration(seconds) * time.Second) }
	s := &cutsRun{deployment: &deployment{}}
	for i := range 2 {
		s.nodes = append(s.nodes, &cutNode{index: i, node: &node{name: fmt.Sprintf("node-%d", i+1), ip: nodeIP(i)}})
	}
	s.cuts = []*cutSpan{{span: span{at(10), at(20)}, how: cutHang, who: "one", nodes: s.nodes[:1]}}
	s.silences = []silence{{span{at(12), at(13)}, []string{"i-s0"}}}
	return s
}

func servedCall(n *cutNode, sent time.Time) cutCall {
	return cutCall{
		id: "c", route: standin.Routes[0], node: n, first: true, status: 200, complete: true, body: standin.PlainResponse("c"),
		key: &issuedKey{key: keyMark, workspace: "w"}, sent: sent, ended: sent.Add(100 * time.Millisecond),
	}
}

// judgeTries returns the figures of first tries in each 20 ms of 30 s at both nodes, the one with the
// cut first. Calls are served and run by the node itself unless change says otherwise.
func judgeTries(change func(c *cutCall, node int, at time.Duration, own *bool)) *cutsFigures {
	s, f := cutsTestRun(), newCutsFigures()
	f.cuts = []cutFigures{{cut: s.cuts[0]}}
	for at := time.Duration(0); at < 30*time.Second; at += 20 * time.Millisecond {
		for i, n := range s.nodes {
			c, own := servedCall(n, cutsTestBegin.Add(at)), true
			change(&c, i, at, &own)
			run := standin.Run{}
			if own {
				run.Receipt.Remote = n.ip
			}
			s.countFirst(f, &c, []standin.Run{run})
		}
	}
	f.judgeShares()
	return f
}

func between(at time.Duration, from, to float64) bool {
	return at.Seconds() >= from && at.Seconds() < to
}

// Guards against a scenario of cuts that passes whatever callers get: each share that is too low must
// break its own rule and no other.
func TestCutsSharesBreakTheirRules(t *testing.T) {
	fail := func(c *cutCall) { c.status = 503 }
	for name, x := range map[string]struct {
		change func(c *cutCall, node int, at time.Duration, own *bool)
		broken []cutRule
	}{
		"all served": {func(*cutCall, int, time.Duration, *bool) {}, nil},
		"half fails at the cut": {func(c *cutCall, node int, at time.Duration, _ *bool) {
			if node == 0 && between(at, 13, 20) && at/(20*time.Millisecond)%2 == 0 {
				fail(c)
			}
		}, []cutRule{cutRecover, cutStrict}},
		"fails in the first 3 s": {func(c *cutCall, node int, at time.Duration, _ *bool) {
			if node == 0 && between(at, 11, 13) {
				fail(c)
			}
		}, []cutRule{cutStrict}},
		"fails in the first second": {func(c *cutCall, node int, at time.Duration, _ *bool) {
			if node == 0 && between(at, 10, 11) {
				fail(c)
			}
		}, nil},
		"fails after the cut": {func(c *cutCall, node int, at time.Duration, _ *bool) {
			if node == 0 && between(at, 22, 30) {
				fail(c)
			}
		}, []cutRule{cutHeal}},
		"does not serve by itself after the cut": {func(_ *cutCall, node int, at time.Duration, own *bool) {
			*own = node != 0 || !between(at, 22, 30)
		}, []cutRule{cutHeal}},
		"fails everywhere": {func(c *cutCall, _ int, at time.Duration, _ *bool) {
			if between(at, 10, 20) && at/(20*time.Millisecond)%2 == 0 {
				fail(c)
			}
		}, []cutRule{cutStrict, cutOthers}},
		"a tenth fails at the others": {func(c *cutCall, node int, at time.Duration, _ *bool) {
			if node == 1 && between(at, 10, 20) && at/(20*time.Millisecond)%10 == 0 {
				fail(c)
			}
		}, []cutRule{cutStrict}},
		"fails after a silence": {func(c *cutCall, node int, at time.Duration, _ *bool) {
			if node == 1 && between(at, 14, 15) {
				fail(c)
			}
		}, []cutRule{cutStrict, cutSilence}},
	} {
		f := judgeTries(x.change)
		var broken []cutRule
		for r := cutKept + 1; r < cutRuleCount; r++ {
			if f.broken[r] > 0 {
				broken = append(broken, r)
			}
		}
		assert.DeepEqual(t, broken, x.broken)
		assert.Equal(t, f.check(true) != nil, len(x.broken) > 0, name)
	}
}

// Guards against an oracle that counts few failures, which rule RECOVER allows, or none of many.
func TestBreaksRecover(t *testing.T) {
	assert.Assert(t, !breaksRecover(share{0, 11}, share{39, 39}), "11 of 50 fail, 10 + 1 may")
	assert.Assert(t, breaksRecover(share{0, 12}, share{38, 38}))
	assert.Assert(t, !breaksRecover(share{66, 99}, share{100, 100}), "two thirds")
	assert.Assert(t, breaksRecover(share{65, 99}, share{100, 100}))
	assert.Assert(t, !breaksRecover(share{50, 100}, share{75, 100}), "the others fail, too")
}

// Guards against an oracle that counts tries at nodes that are out of touch.
func TestCutNodeInTouch(t *testing.T) {
	n := &cutNode{node: &node{}}
	assert.Assert(t, n.claim(cutsTestBegin))
	assert.Assert(t, !n.claim(cutsTestBegin), "a fault has ended the process")
	n.release(cutsTestBegin.Add(time.Second))
	for at, want := range map[time.Duration]bool{-2 * time.Second: true, -time.Second: false, 3 * time.Second: false, 4 * time.Second: true} {
		sent := cutsTestBegin.Add(at)
		assert.Equal(t, n.inTouch(sent, sent.Add(1500*time.Millisecond)), want, "%v", at)
	}
}

// Guards against an oracle that accepts requests that ran twice or after a refusal, wrong responses, and
// keys at targets.
func TestCutsCallsBreakTheirRules(t *testing.T) {
	receipt := standin.Receipt{Workspaces: []string{"w"}}
	stream := func(c *cutCall) { c.route = standin.Routes[3] }
	for name, x := range map[string]struct {
		change  func(c *cutCall)
		runs    int
		receipt standin.Receipt
		want    cutRule
	}{
		"served":                        {func(*cutCall) {}, 1, receipt, cutKept},
		"ran twice":                     {func(*cutCall) {}, 2, receipt, cutTwice},
		"safe, ran twice":               {func(c *cutCall) { c.route = standin.Routes[1] }, 2, receipt, cutKept},
		"refused, not run":              {func(c *cutCall) { c.status = 503 }, 0, receipt, cutKept},
		"refused, ran":                  {func(c *cutCall) { c.status = 503 }, 1, receipt, cutRanAfter},
		"safe, refused, ran":            {func(c *cutCall) { c.route = standin.Routes[1]; c.status = 429 }, 1, receipt, cutRanAfter},
		"another response":              {func(c *cutCall) { c.body = standin.PlainResponse("d") }, 1, receipt, cutWrong},
		"event missing":                 {func(c *cutCall) { stream(c); c.stream.addEvent(standin.SignedEvent("c", 2, "i", "v1")) }, 1, receipt, cutWrong},
		"stream ends early as complete": {func(c *cutCall) { stream(c); c.stream.endEvents(io.EOF) }, 1, receipt, cutWrong},
		"stream breaks":                 {func(c *cutCall) { stream(c); c.complete = false; c.stream.endEvents(io.ErrUnexpectedEOF) }, 1, receipt, cutKept},
		"key at a target":               {func(*cutCall) {}, 1, standin.Receipt{Workspaces: []string{"w"}, Keys: []string{"k"}}, cutKeys},
		"another workspace":             {func(*cutCall) {}, 1, standin.Receipt{Workspaces: []string{"v"}}, cutKeys},
	} {
		c, f := servedCall(cutsTestRun().nodes[0], cutsTestBegin), newCutsFigures()
		x.change(&c)
		f.judgeCall(&c, make([]standin.Run, x.runs), []standin.Receipt{x.receipt})
		for r := cutKept + 1; r < cutRuleCount; r++ {
			assert.Equal(t, f.broken[r] > 0, r == x.want, "%s: %s", name, r)
		}
	}
	f := newCutsFigures()
	f.mixed = maxMixedStreams + 1
	f.judgeShares()
	assert.Equal(t, f.broken[cutVersions], 1)
}

// Guards against an oracle that misses a sound target that a node without a cut blames, or counts one
// that was silent, and against one that misses keys in logs.
func TestCutsLogLines(t *testing.T) {
	for name, x := range map[string]struct {
		node   int
		second int
		text   string
		want   cutRule
	}{
		"blamed during the cut":       {1, 15, `"msg":"target is silent","target":"i-d0"`, cutBlamed},
		"blamed after the cut":        {1, 22, `"msg":"target crashed at the beginning of a response","target":"i-d0"`, cutBlamed},
		"a blocked prompt":            {0, 13, `"msg":"prompt part blocked: engines crash under its requests"`, cutBlamed},
		"one that another blocks":     {1, 28, `"msg":"prompt part blocked by another node"`, cutBlamed},
		"blamed later":                {1, 24, `"msg":"target is silent","target":"i-d0"`, cutKept},
		"blamed by the node":          {0, 15, `"msg":"target is silent","target":"i-d0"`, cutKept},
		"target was silent":           {1, 13, `"msg":"target is silent","target":"i-s0"`, cutKept},
		"another target was silent":   {1, 13, `"msg":"target is silent","target":"i-d0"`, cutBlamed},
		"a key in a line of any kind": {0, 1, `"msg":"` + keyMark + `"`, cutKeys},
	} {
		s, f := cutsTestRun(), newCutsFigures()
		at := cutsTestBegin.Add(time.Duration(x.second) * time.Second)
		s.judgeLine(f, s.nodes[x.node], fmt.Sprintf(`{"time":%q,%s}`, at.Format(time.RFC3339Nano), x.text))
		for r := cutKept + 1; r < cutRuleCount; r++ {
			assert.Equal(t, f.broken[r] > 0, r == x.want, "%s: %s", name, r)
		}
	}
}

const (
	// lostAfter is the time after which a byte or a connection counts as lost, and arrivedBy that
	// within which one that is not lost must arrive, also on a busy machine.
	lostAfter = 300 * time.Millisecond
	arrivedBy = 10 * time.Second
)

// linkEnd is a connection of a node and the end of it at the target.
type linkEnd struct{ node, target net.Conn }

func (e linkEnd) close() {
	_ = e.node.Close()
	_ = e.target.Close()
}

// arrives sends a byte and reports whether it arrives, or the error with which the connection breaks.
func arrives(from, to net.Conn, want bool) (bool, error) {
	limit := lostAfter
	if want {
		limit = arrivedBy
	}
	if _, err := io.WriteString(from, "x"); err != nil {
		return false, err
	}
	_ = to.SetReadDeadline(time.Now().Add(limit))
	_, err := io.ReadFull(to, make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false, nil
	}
	return err == nil, err
}

// Guards against a link whose cuts do not do what they say, or reach other nodes, or go on after their
// end.
func TestNodeLink(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	const cutIP, otherIP = "127.77.251.1", "127.77.251.2"
	k, err := newNodeLink(l.Addr().String())
	assert.NilError(t, err)
	defer k.close()
	dial := func(ip string, limit time.Duration) (net.Conn, error) {
		d := net.Dialer{Timeout: limit, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		return d.Dial("tcp4", k.address())
	}
	open := func(ip string) linkEnd {
		c, err := dial(ip, arrivedBy)
		assert.NilError(t, err)
		s, err := l.Accept()
		assert.NilError(t, err)
		return linkEnd{c, s}
	}
	check := func(e linkEnd, toTarget, toNode bool, name any) {
		for _, d := range []struct {
			from, to net.Conn
			want     bool
		}{{e.node, e.target, toTarget}, {e.target, e.node, toNode}} {
			ok, err := arrives(d.from, d.to, d.want)
			assert.NilError(t, err, name)
			assert.Equal(t, ok, d.want, name)
		}
	}
	for how, x := range map[cutHow]struct{ toTarget, toNode, breaks, opens bool }{
		cutHang: {}, cutRequests: {toNode: true}, cutResponses: {toTarget: true}, cutDials: {toTarget: true, toNode: true},
		cutReset: {breaks: true}, cutClose: {breaks: true, opens: true},
	} {
		old, other := open(cutIP), open(otherIP)
		check(old, true, true, how)
		assert.NilError(t, k.cut(cutIP, how))
		if x.breaks {
			_, err := old.node.Read(make([]byte, 1))
			assert.ErrorContains(t, err, "reset", how)
		} else {
			check(old, x.toTarget, x.toNode, how)
		}
		c, err := dial(cutIP, lostAfter)
		if x.opens && err == nil {
			_, err = c.Read(make([]byte, 1))
			assert.ErrorContains(t, err, "reset", how)
		} else if !x.opens {
			assert.ErrorContains(t, err, "timeout", how)
		}
		check(other, true, true, how)
		second := open(otherIP)
		check(second, true, true, how)
		assert.NilError(t, k.cut(cutIP, cutNone))
		again := open(cutIP)
		check(again, true, true, how)
		for _, e := range []linkEnd{old, other, second, again} {
			e.close()
		}
	}
}
