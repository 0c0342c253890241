package cases

import (
	"fmt"
	"sync"
	"time"
)

// playLease lets the store come back from a copy of some seconds ago, after a node has claimed the right
// to order and used it. Then the work shifts to long answers, so that other orders fall due.
func playLease(d *deployment, trouble bool) (result, error) {
	claimed := make(chan time.Time, 100)
	d.store.onAppend = func(topic string, offset int, data []byte) {
		if topic == "lentilpick-lease" {
			d.record.printf("store: record %d of %s: %s", offset, topic, data)
			claimed <- time.Now()
		}
	}
	for i := range 12 {
		if _, err := d.addServer(fmt.Sprintf("i-%02d", i+1), "assistant", zones[i%3], "decode"); err != nil {
			return result{}, err
		}
	}
	d.configure(defaultRoutes)
	for i := range 6 {
		if _, err := d.addNode(i%3, d.store.address); err != nil {
			return result{}, err
		}
		if i == 0 {
			time.Sleep(startSpread)
		}
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return result{}, err
	}
	var first time.Time
	select {
	case first = <-claimed:
	case <-time.After(20 * time.Second):
		return result{}, fmt.Errorf("no node has claimed the right to order")
	}
	time.Sleep(time.Until(first.Add(copyAge - time.Second)))
	if trouble {
		d.record.printf("store: away")
		d.store.setDown(true)
		time.Sleep(time.Second)
		lost := d.store.restore(first.Add(-500 * time.Millisecond))
		d.store.setDown(false)
		d.record.printf("store: back from a copy %.1f s old; records lost by topic: %v", (copyAge + 500*time.Millisecond).Seconds(), lost)
		for _, v := range d.servers {
			v.register()
		}
	}
	stop := make(chan struct{})
	var calls sync.WaitGroup
	d.callers(stop, &calls, 40, 10*time.Millisecond, func(i, k int) (path, deadline, usage, prefix string) {
		return "/rate/q", "8000", "460,300", fmt.Sprintf("5c1e07a2:350,%x:110", 1000*i+k)
	})
	time.Sleep(35 * time.Second)
	close(stop)
	calls.Wait()
	d.store.mu.Lock()
	d.record.printf("store: %d reads of lentilpick-lease", d.store.calls["/log-read lentilpick-lease"])
	d.store.mu.Unlock()
	return d.checkOrders(), nil
}

// startSpread is how much earlier than the others the first machine starts.
const startSpread = 300 * time.Millisecond

// copyAge is how old the copy is when the store comes back, less the half second before the claim.
const copyAge = 4 * time.Second

// checkOrders checks the rule ONE: no server gets orders of two holders with one generation number.
func (d *deployment) checkOrders() result {
	for _, v := range d.servers {
		v.mu.Lock()
		holders := map[int64]string{}
		for _, o := range v.orders {
			if h := holders[o.FencingToken]; h != "" && h != o.Holder {
				v.mu.Unlock()
				return result{fmt.Sprintf("%s got orders of %s and of %s, both with generation number %d", v.id, h, o.Holder, o.FencingToken)}
			}
			holders[o.FencingToken] = o.Holder
		}
		v.mu.Unlock()
	}
	return result{}
}
