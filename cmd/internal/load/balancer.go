package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// balancer stands for the platform's balancer: it sends each request to a
// random VM that passes its health check.
type balancer struct {
	all  []string
	live atomic.Pointer[[]string]
}

const (
	healthEvery   = 250 * time.Millisecond
	healthTimeout = time.Second
)

func newBalancer(all []string) *balancer {
	b := &balancer{all: all}
	b.live.Store(&all)
	return b
}

// pick returns a random healthy VM that is not in tried. It returns one of
// tried when there is no other.
func (b *balancer) pick(tried []string) string {
	live := *b.live.Load()
	rest := make([]string, 0, len(live))
	for _, a := range live {
		if !slices.Contains(tried, a) {
			rest = append(rest, a)
		}
	}
	if len(rest) == 0 {
		rest = live
	}
	return rest[rand.IntN(len(rest))]
}

func (b *balancer) watch(ctx context.Context) {
	tick := time.NewTicker(healthEvery)
	defer tick.Stop()
	client := &http.Client{Timeout: healthTimeout}
	for {
		b.check(client)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// check asks all VMs at once, so that one that does not answer does not delay
// what is known of the others.
func (b *balancer) check(client *http.Client) {
	ok := make([]bool, len(b.all))
	var wg sync.WaitGroup
	for i, a := range b.all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ok[i] = healthy(client, a)
		}()
	}
	wg.Wait()
	var live []string
	for i, a := range b.all {
		if ok[i] {
			live = append(live, a)
		}
	}
	if len(live) > 0 {
		b.live.Store(&live)
	}
}

func healthy(client *http.Client, address string) bool {
	resp, err := client.Get("http://" + address + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
