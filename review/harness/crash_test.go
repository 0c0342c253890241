package harness

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Figures of the cases about prompts that crash servers.
const (
	stableWindow = 3 * time.Second
	badPart      = "bad0c4a5"
	sharedPart   = "5c1e07a2"
	soundPerS    = 20
	crashDown    = 3 * time.Second
)

// addEngines starts model servers with separate stages.
func addEngines(d *deployment, prefill, decode int, trouble bool, crashEvents int) error {
	for i := range prefill + decode {
		s := serverSettings{
			id: fmt.Sprintf("i-llm%d", i+1), service: "huvo11a", zone: zones[i%3], phase: "decode", slots: 64, queue: 192,
			work: 20 * time.Millisecond, events: 10, tokensPerMs: 50, downTime: crashDown, crashEvents: crashEvents,
		}
		if i < prefill {
			s.phase = "prefill"
		}
		if trouble {
			s.crashPart = badPart
		}
		if err := d.addServer(s); err != nil {
			return err
		}
	}
	return nil
}

// sendQueries sends streams at an even rate until the end, each on its own channel, to all nodes in
// turn. Sound ones share the first part with those that crash servers; no two of the latter are alike.
func sendQueries(d *deployment, perS float64, poisoned bool, end time.Time, all *sync.WaitGroup) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perS))
	defer t.Stop()
	for i := 0; time.Now().Before(end); i++ {
		<-t.C
		all.Go(func() {
			c := &requester{record: d.record, node: d.nodes[i%len(d.nodes)]}
			defer c.closeChannel()
			id, kind, middle := newID("q"), "rate-query", fmt.Sprintf("%08x:110", 0x91bd0000+rand.IntN(16))
			if poisoned {
				id, kind, middle = newID("p"), "rate-query with the bad part", badPart+":110"
			}
			c.do(request{
				id: id, kind: kind, method: http.MethodPost, path: queryPath + "2f", deadline: 8 * time.Second, poisoned: poisoned,
				headers: []string{"X-Model", "m", "X-Token-Usage", "1460,25", "X-Prompt-Prefix", fmt.Sprintf("%s:350,%s,%08x:1000", sharedPart, middle, rand.Uint32())},
				body:    "a question on rates",
			})
		})
	}
}

const (
	// crashCalm is the time without disruption in which sound requests are counted for comparison.
	crashCalm     = 10 * time.Second
	crashDuration = 45 * time.Second
	badPerS       = 4
)

// crashAfterEvent plays a part of a prompt that crashes each server once it has begun to write an
// answer: after its first event.
func crashAfterEvent(d *deployment, trouble bool) (*result, error) {
	if err := addEngines(d, 3, 6, trouble, 1); err != nil {
		return nil, err
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	calm := d.record.now()
	end := time.Now().Add(crashDuration)
	var all sync.WaitGroup
	all.Go(func() { sendQueries(d, soundPerS, false, end, &all) })
	time.Sleep(crashCalm)
	troubled := d.record.now()
	if trouble {
		sendQueries(d, badPerS, true, end, &all)
	}
	all.Wait()
	return judgeCrashes(d.record, calm, troubled), nil
}

// judgeCrashes applies the two rules on parts that crash servers: BUDGET and LOST.
func judgeCrashes(r *record, calm, troubled time.Duration) *result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &result{}
	slices.Sort(r.crashes)
	res.add("%d crashes of servers", len(r.crashes))
	if len(r.crashes) == 0 {
		return res
	}
	fifth := r.crashes[min(len(r.crashes), 5)-1]
	var last time.Duration
	late, cut := 0, 0
	for _, q := range r.sent {
		if q.poisoned {
			last = max(last, q.at)
			for _, at := range r.arrived[q.id] {
				if len(r.crashes) >= 5 && at > fifth+stableWindow {
					late++
					break
				}
			}
		} else if q.at > troubled && !q.complete && q.status == 200 {
			cut++
		}
	}
	before, begunBefore := r.begun(calm, troubled-2*time.Second)
	after, begunAfter := r.begun(fifth+2*stableWindow, last)
	res.add("BUDGET: %d requests with the bad part reached servers later than %s after the fifth crash; 3 are allowed", late, stableWindow)
	res.add("LOST: of %d sound requests before the disruption %d began at a server; of %d later than %s after the fifth crash, while bad ones came, %d did", before, begunBefore, after, 2*stableWindow, begunAfter)
	res.add("%d sound streams were cut after their first event", cut)
	lost := before >= 20 && after >= 20 && float64(begunAfter)/float64(after) < 0.5*float64(begunBefore)/float64(before)
	res.add("broken: BUDGET %t, LOST %t", late > 3, lost)
	res.broken = lost || late > 3
	return res
}

// begun counts the sound requests sent between two times, and those of them that began at a server.
func (r *record) begun(from, to time.Duration) (sent, begun int) {
	for _, q := range r.sent {
		if q.poisoned || q.at < from || q.at > to {
			continue
		}
		sent++
		if len(r.runs[q.id]) > 0 {
			begun++
		}
	}
	return sent, begun
}

const (
	expiryDuration = 85 * time.Second
	expiryBadPerS  = 8
)

// blockExpires plays a part of a prompt that crashes each server that begins to write an answer on it,
// and that goes on to come for over a minute.
func blockExpires(d *deployment, trouble bool) (*result, error) {
	if err := addEngines(d, 18, 6, trouble, 0); err != nil {
		return nil, err
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	calm := d.record.now()
	end := time.Now().Add(expiryDuration)
	var all sync.WaitGroup
	all.Go(func() { sendQueries(d, soundPerS, false, end, &all) })
	time.Sleep(5 * time.Second)
	troubled := d.record.now()
	if trouble {
		sendQueries(d, expiryBadPerS, true, end, &all)
	}
	all.Wait()
	return judgeCrashes(d.record, calm, troubled), nil
}
