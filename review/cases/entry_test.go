package cases

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const (
	drainTime = 2 * time.Second // DrainMs
	// stayTime is how much longer the server goes on serving.
	stayTime = 4 * time.Second
	// strayTime is how long before the end of the server the entries of another writer begin.
	strayTime  = 1500 * time.Millisecond
	strayPause = 500 * time.Millisecond
)

// playEntry lets a model server leave as planned, while another writer writes entries with missing fields
// under its id.
func playEntry(d *deployment, trouble bool) (result, error) {
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
		return "/rate/q", "8000", "1460,80", fmt.Sprintf("5c1e07a2:350,%x:1110", 1000*i+k)
	})
	time.Sleep(6 * time.Second)
	v := d.servers[11]
	acked := v.leave()
	exit := acked.Add(drainTime + stayTime)
	time.Sleep(time.Until(exit.Add(-strayTime)))
	for time.Until(exit) > 0 {
		if trouble {
			d.stray(v)
		}
		time.Sleep(min(time.Until(exit), strayPause))
	}
	v.exit()
	time.Sleep(3 * time.Second)
	close(stop)
	calls.Wait()
	return d.checkDrain(v, acked), nil
}

// stray writes an entry without Zone, Slots, ColdMs, Sequence and born under the id of a server.
func (d *deployment) stray(v *server) {
	b, err := json.Marshal(map[string]any{"Service": v.service, "Address": v.address, "Version": v.version, "State": "ready", "Phase": v.phase})
	if err != nil {
		panic(err) // cannot fail for the map above
	}
	v.store.put("keyed.servers", v.id, b)
	d.record.printf("another writer: entry %s: %s", v.id, b)
}

// checkDrain checks the rule DRAIN: no request that was sent later than DrainMs after the store had
// acknowledged that a server is draining reaches it.
func (d *deployment) checkDrain(v *server, acked time.Time) result {
	d.mu.Lock()
	defer d.mu.Unlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	late, lost, first := 0, 0, ""
	for _, r := range v.runs {
		a := d.sent[r.request]
		if a == nil || a.at.Sub(acked) <= drainTime {
			continue
		}
		late++
		if !a.complete {
			lost++
		}
		d.record.printf("%s was sent %.3f s after the acknowledgement and ran at %s; answered in full: %v", r.request, a.at.Sub(acked).Seconds(), v.id, a.complete)
		if first == "" {
			first = r.request
		}
	}
	if late > 0 {
		return result{fmt.Sprintf("%d requests reached %s later than DrainMs after the acknowledgement that it is draining, first %s; %d of them were accepted and lost when it exited", late, v.id, first, lost)}
	}
	return result{}
}
