package node

import (
	"sync"

	"github.com/panjf2000/ants/v2"

	"github.com/lentilpick/lentilpick/directory"
)

const (
	// maxReachabilityChecks bounds the targets that are checked at the same time. When more of
	// them crash together, the rest leaves no evidence.
	maxReachabilityChecks = 16
	// maxCheckWaiters bounds the responses that wait for the check of one target. It is the
	// number of connections of this process to a target.
	maxCheckWaiters = 256
)

// checkResult is what the check of a target proves about it.
type checkResult int

const (
	checkUnknown   checkResult = iota // this node may have lost its link to the target
	checkReachable                    // it accepts connections
	checkCrashed
)

// reachabilityChecks finds out in the background whether targets have crashed. Of the responses
// that a crash ends together, the first starts the check of their target, and the others wait for
// its result.
type reachabilityChecks struct {
	pool *ants.Pool
	// check finds out whether a target has crashed. It may block.
	check func(*directory.Target) checkResult

	mu sync.Mutex
	// waiters are called with the result of the next check. A key exists while its target is
	// checked.
	waiters map[directory.Lifetime][]func(checkResult)
}

func newReachabilityChecks(check func(*directory.Target) checkResult) (*reachabilityChecks, error) {
	pool, err := ants.NewPool(maxReachabilityChecks, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, err
	}
	return &reachabilityChecks{pool: pool, check: check, waiters: map[directory.Lifetime][]func(checkResult){}}, nil
}

// submit calls record with the result of a check that begins after the call. It returns false, and
// never calls record, if too many checks or responses are waiting.
func (c *reachabilityChecks) submit(t *directory.Target, record func(checkResult)) bool {
	l := t.Lifetime()
	c.mu.Lock()
	defer c.mu.Unlock()
	waiters, running := c.waiters[l]
	if len(waiters) >= maxCheckWaiters || !running && c.pool.Submit(func() { c.run(t, l) }) != nil {
		return false
	}
	c.waiters[l] = append(waiters, record)
	return true
}

// run checks a target until no response waits for a check.
func (c *reachabilityChecks) run(t *directory.Target, l directory.Lifetime) {
	for waiters := c.take(l); len(waiters) > 0; waiters = c.take(l) {
		result := c.check(t)
		for _, record := range waiters {
			record(result)
		}
	}
}

// take returns the waiters for the next check, or ends the checks of the target if there are none.
func (c *reachabilityChecks) take(l directory.Lifetime) []func(checkResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiters := c.waiters[l]
	if len(waiters) == 0 {
		delete(c.waiters, l)
		return nil
	}
	c.waiters[l] = nil
	return waiters
}

func (c *reachabilityChecks) release() { c.pool.Release() }
