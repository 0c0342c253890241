package main

import (
	"fmt"
	"sync"
	"time"
)

// playExtra lets model servers crash and start again at their addresses under new ids. Each sends a
// second, late copy of the 421 with which it refuses a call to the server before it.
func playExtra(d *deployment, trouble bool) (result, error) {
	for i := range 12 {
		phase := "prefill"
		if i >= 9 {
			phase = "decode"
		}
		if _, err := d.addServer(fmt.Sprintf("i-%02d", i+1), "assistant", zones[i%3], phase); err != nil {
			return result{}, err
		}
	}
	d.configure(defaultRoutes)
	for i := range 6 {
		if _, err := d.addNode(i%3, d.store.address); err != nil {
			return result{}, err
		}
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return result{}, err
	}
	stop := make(chan struct{})
	var calls sync.WaitGroup
	d.callers(stop, &calls, 24, 100*time.Millisecond, func(i, k int) (path, deadline, usage, prefix string) {
		path, deadline = "/rate/q", "8000"
		if (3*i+k)%5 == 0 {
			path, deadline = "/roster/q", "4000"
		}
		return path, deadline, "1460,25", fmt.Sprintf("5c1e07a2:350,%x:1110", 1000*i+k)
	})
	time.Sleep(3 * time.Second)
	for k := range 12 {
		if trouble {
			i := 9 + k%3
			old := d.servers[i]
			old.crash()
			time.Sleep(500 * time.Millisecond)
			v, err := newServer(d.record, d.store, fmt.Sprintf("i-%02d-%d", i+1, k+2), old.service, old.zone, "decode", old.address, true)
			if err != nil {
				return result{}, err
			}
			v.mu.Lock()
			v.extraRefusals = true
			v.mu.Unlock()
			d.record.printf("%s starts at the address of %s", v.id, old.id)
			d.gone = append(d.gone, old)
			d.servers[i] = v
			time.Sleep(5 * time.Second)
		} else {
			time.Sleep(7 * time.Second)
		}
	}
	close(stop)
	calls.Wait()
	return d.checkRuns(), nil
}

// checkRuns checks the rule TWICE for the route whose streams may not be resumed.
func (d *deployment) checkRuns() result {
	ranAt := map[string]string{}
	answers, extras := 0, 0
	why := ""
	for _, v := range append(d.gone, d.servers...) {
		v.mu.Lock()
		answers, extras = answers+v.answers, extras+v.extras
		for _, r := range v.runs {
			if r.path != "/rate/q" {
				continue
			}
			if other, ok := ranAt[r.request]; ok && why == "" {
				why = fmt.Sprintf("request %s, which is not idempotent, ran at %s and at %s", r.request, other, v.id)
			}
			ranAt[r.request] = v.id
		}
		v.mu.Unlock()
	}
	d.record.printf("servers: %d answers, %d second copies", answers, extras)
	return result{why}
}
