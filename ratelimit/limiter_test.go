package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = int64(time.Second)

// Guards against more requests than the limit allows, from a daemon that has none to send for a
// while and then many.
func TestRequestsArePaced(t *testing.T) {
	l := &Limiter{}
	assert.Equal(t, l.Reserve(second), time.Duration(0))
	l.Declare(10, true, second)
	now := 10 * second
	for i := range 5 {
		assert.Assert(t, l.TryReserve(now), "request %d of the burst", i)
	}
	assert.Assert(t, !l.TryReserve(now))
	assert.Equal(t, l.Delay(now), 100*time.Millisecond)
	for i := range 3 {
		assert.Equal(t, l.Reserve(now), time.Duration(i+1)*100*time.Millisecond)
	}
	assert.Assert(t, !l.TryReserve(now+3*second/10))
	assert.Assert(t, l.TryReserve(now+4*second/10))
}

// Guards against a limit that remains when the target has ended it, that an older statement
// brings back, or that keeps a target without requests, so that nothing can end it.
func TestLimitEnds(t *testing.T) {
	l := &Limiter{}
	assert.Assert(t, l.Declare(5, true, 100))
	assert.Assert(t, !l.Declare(6, true, 200), "still limited")
	assert.Assert(t, l.Declare(0, false, 300))
	assert.Assert(t, !l.Declare(5, true, 250), "an older statement")
	assert.Assert(t, !l.Limited())
	rate, at := l.Rate()
	assert.Equal(t, rate, 0.0)
	assert.Equal(t, at, int64(300))
	l.Declare(0, true, 400)
	for range 3 {
		l.Reserve(second)
	}
	assert.Assert(t, l.Delay(second) <= 15*time.Second)
}

// Guards against a count of an earlier lifetime, or of a daemon that is not known, that keeps a
// target out of use.
func TestChargesAreBounded(t *testing.T) {
	l := &Limiter{}
	l.Declare(5, true, 1)
	l.Charge(1<<40, second)
	assert.Assert(t, l.Delay(second) <= maxDebt)
	l.Charge(-7, second)
	assert.Assert(t, l.Delay(second+int64(maxDebt)) == 0)
}

// sent is a request that a daemon has sent and of which the others learn later.
type sent struct {
	daemon int
	at     int64
}

// Guards against a limit that each daemon applies for itself, so that the target gets a
// multiple of it, and against one that the daemons do not use up together, while messages take
// time and some are lost until the next one.
func TestFleetSharesOneLimit(t *testing.T) {
	const window, slack = 4 * second, 1.5 // of the rule: 1.5 times the limit, and 5 requests
	for _, daemons := range []int{1, 13, 195} {
		for _, rate := range []float64{2.5, 6, 40} {
			t.Run(fmt.Sprint(daemons, "/", rate), func(t *testing.T) {
				r := rand.New(rand.NewPCG(uint64(daemons), 1))
				fleet := make([]Limiter, daemons)
				for i := range fleet {
					fleet[i].Declare(rate, true, 1)
				}
				var all []int64
				var pending []sent
				for now := second; now < 21*second; now += 5 * second / 1000 {
					pending = deliver(r, fleet, pending, now)
					if r.Float64() < 4*rate*0.005 { // four times the limit
						d := r.IntN(daemons)
						if fleet[d].TryReserve(now) {
							all = append(all, now)
							pending = append(pending, sent{d, now})
						}
					}
				}
				first := 0
				for i, at := range all {
					for at-all[first] >= window {
						first++
					}
					assert.Assert(t, float64(i-first+1) <= slack*rate*4+5, "%d requests in 4 s", i-first+1)
				}
				assert.Assert(t, float64(len(all)) >= 0.9*rate*20, "%d of %v requests", len(all), rate*20)
			})
		}
	}
}

// deliver charges the requests that were sent at least 30 ms ago to the other daemons. A tenth
// of the messages is lost until the next one.
func deliver(r *rand.Rand, fleet []Limiter, pending []sent, now int64) (rest []sent) {
	for _, s := range pending {
		if now-s.at < 30*second/1000 || r.IntN(10) == 0 {
			rest = append(rest, s)
			continue
		}
		for i := range fleet {
			if i != s.daemon {
				fleet[i].Charge(1, now)
			}
		}
	}
	return rest
}
