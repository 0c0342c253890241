package cases

import (
	"fmt"
	"net/http"
	"time"
)

// playConfig changes the configuration twice shortly before the store comes back from a copy that has neither
// change. The operator writes the newest configuration again, and the change that fell due meanwhile.
func playConfig(d *deployment, trouble bool) (result, error) {
	for i := range 3 {
		if _, err := d.addServer(fmt.Sprintf("i-%02d", i+1), "hire-desk", zones[i], ""); err != nil {
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
	time.Sleep(8 * time.Second)
	copied := time.Now()
	time.Sleep(500 * time.Millisecond)
	d.configure(withTimeout(1100))
	time.Sleep(time.Second)
	d.configure(withTimeout(1200))
	newest := d.version
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		d.record.printf("store: away")
		d.store.setDown(true)
		time.Sleep(awayTime)
		lost := d.store.restore(copied)
		d.store.setDown(false)
		d.record.printf("store: back from a copy %.1f s old; records lost by topic: %v", time.Since(copied).Seconds(), lost)
		d.store.put("keyed.op", "config", configuration(newest, withTimeout(1200)))
		d.record.printf("operator: configuration %d written again", newest)
	}
	d.configure(append(withTimeout(1200), route{"new", "safe", "hire-desk", 1000, 100, 0, 2, 2, false, false}))
	acked := time.Now()
	if trouble {
		for _, v := range d.servers {
			v.register()
		}
	}
	time.Sleep(settled)
	stale, first := 0, ""
	for k := 0; time.Since(acked) < watched; k++ {
		for i, n := range d.nodes {
			id := fmt.Sprintf("c%d-%d", k, i)
			a := d.send(n, id, "/new/x", "1000", "", "")
			d.record.printf("%s: request %s for the new route, %.1f s after the acknowledgement: %d", n.name, id, a.at.Sub(acked).Seconds(), a.status)
			if a.status == http.StatusNotFound {
				stale++
				if first == "" {
					first = fmt.Sprintf("%s %.1f s after the acknowledgement", n.name, a.at.Sub(acked).Seconds())
				}
			}
		}
		time.Sleep(time.Second)
	}
	if stale > 0 {
		return result{fmt.Sprintf("%d requests for a route of the newest configuration got 404, the first from %s", stale, first)}, nil
	}
	return result{}, nil
}

const (
	awayTime = 300 * time.Millisecond
	// settled is longer than ConfigMs, and than StableWindowMs after which the machines are in touch again.
	settled = 5 * time.Second
	watched = 30 * time.Second
)

// withTimeout returns the routes with another time-out for one of them.
func withTimeout(ms int) []route {
	all := append([]route(nil), defaultRoutes...)
	all[3].timeout = ms
	return all
}
