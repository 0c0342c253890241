package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// balancer stands for the platform's balancer: it sends each request to a
// random VM that passes its health check.
type balancer struct {
	all  []string
	live atomic.Pointer[[]string]
}

const healthEvery = 250 * time.Millisecond

func newBalancer(all []string) *balancer {
	b := &balancer{all: all}
	b.live.Store(&all)
	return b
}

func (b *balancer) pick() string {
	live := *b.live.Load()
	return live[rand.IntN(len(live))]
}

func (b *balancer) watch(ctx context.Context) {
	tick := time.NewTicker(healthEvery)
	defer tick.Stop()
	client := &http.Client{Timeout: healthEvery}
	for {
		b.check(client)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (b *balancer) check(client *http.Client) {
	live := make([]string, 0, len(b.all))
	for _, a := range b.all {
		if healthy(client, a) {
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
