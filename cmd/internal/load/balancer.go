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

// balancer models the platform's load balancer: it picks a random VM among
// those that pass their health checks.
type balancer struct {
	// addresses lists all VMs, healthyVMs those that pass their health checks.
	addresses  []string
	healthyVMs atomic.Pointer[[]string]
}

const (
	healthCheckInterval = 250 * time.Millisecond
	healthCheckTimeout  = time.Second
)

func newBalancer(addresses []string) *balancer {
	b := &balancer{addresses: addresses}
	b.healthyVMs.Store(&addresses)
	return b
}

// pick returns the address of a random healthy VM that is not in tried. If
// there is none, it returns any healthy VM.
func (b *balancer) pick(tried []string) string {
	healthy := *b.healthyVMs.Load()
	candidates := make([]string, 0, len(healthy))
	for _, a := range healthy {
		if !slices.Contains(tried, a) {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		candidates = healthy
	}
	return candidates[rand.IntN(len(candidates))]
}

func (b *balancer) runHealthChecks(ctx context.Context) {
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	client := &http.Client{Timeout: healthCheckTimeout}
	for {
		b.checkHealth(client)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// checkHealth checks all VMs concurrently, so that an unresponsive VM does not
// delay the checks of the others. If all checks fail, the previous set of
// healthy VMs stays in use.
func (b *balancer) checkHealth(client *http.Client) {
	ok := make([]bool, len(b.addresses))
	var wg sync.WaitGroup
	for i, a := range b.addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ok[i] = isHealthy(client, a)
		}()
	}
	wg.Wait()
	var healthy []string
	for i, a := range b.addresses {
		if ok[i] {
			healthy = append(healthy, a)
		}
	}
	if len(healthy) > 0 {
		b.healthyVMs.Store(&healthy)
	}
}

func isHealthy(client *http.Client, address string) bool {
	resp, err := client.Get("http://" + address + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
