package harness

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case large-bodies.
const (
	// maxBodyBytes is MaxBodyBytes of the configuration.
	maxBodyBytes = 4194304
	bodiesPerS   = 3                // a second and node, in calm
	bodiesBurst  = 1.9              // times as many, in a burst
	bodiesFor    = 10 * time.Second // the length of a burst
	bodiesCalm   = 8 * time.Second  // before and after each burst
	bodiesBursts = 4
	// restartDelay is the short delay after which the platform restarts a process.
	restartDelay = 500 * time.Millisecond
	ownEnds      = 3 // of one machine in a day
	endedNodes   = 2 // a tenth of the machines, two at least
)

// largeBodies plays streams whose requests have bodies of the largest size that the configuration
// allows, and more of them in bursts. The platform kills a process that exceeds MemoryMb.
func largeBodies(d *deployment, trouble bool) (*result, error) {
	for i := range 12 {
		s := serverSettings{
			id: fmt.Sprintf("i-llm%d", i+1), service: "huvo11a", zone: zones[i%3], phase: "decode", slots: 64, queue: 192,
			work: 100 * time.Millisecond, events: 40, tokensPerMs: 50,
		}
		if i%2 == 0 {
			s.phase = "prefill"
		}
		if err := d.addServer(s); err != nil {
			return nil, err
		}
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	platform := &memoryLimit{deployment: d, kills: make([]atomic.Int64, len(d.nodes)), peaks: make([]atomic.Int64, len(d.nodes)), done: make(chan struct{})}
	var watch, all sync.WaitGroup
	for i := range d.nodes {
		watch.Go(func() { platform.enforce(i) })
	}
	body := strings.Repeat("x", maxBodyBytes)
	end := time.Now().Add(bodiesCalm + bodiesBursts*(bodiesFor+bodiesCalm))
	calmPeak := int64(0)
	began := time.Now()
	for i := 0; time.Now().Before(end); i++ {
		rate := float64(bodiesPerS * len(d.nodes))
		if since := time.Since(began) - bodiesCalm; since > 0 {
			if calmPeak == 0 {
				for i := range platform.peaks {
					calmPeak = max(calmPeak, platform.peaks[i].Load())
				}
			}
			if trouble && since%(bodiesFor+bodiesCalm) < bodiesFor {
				rate *= bodiesBurst
			}
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
		n := d.nodes[i%len(d.nodes)]
		all.Go(func() {
			c := &requester{record: d.record, node: n}
			defer c.closeChannel()
			c.do(request{
				id: newID("d"), kind: "rate-query", method: http.MethodPost, path: queryPath + "2f", deadline: 8 * time.Second, body: body,
				headers: []string{"X-Model", "m", "X-Token-Usage", "1460,40", "X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:350,91bd0001:110,%08x:1000", rand.Uint32())},
			})
		})
	}
	all.Wait()
	close(platform.done)
	watch.Wait()
	return platform.judge(calmPeak), nil
}

// memoryLimit does what the platform does to a process that exceeds MemoryMb.
type memoryLimit struct {
	deployment *deployment
	kills      []atomic.Int64
	peaks      []atomic.Int64 // of resident memory, in KiB
	done       chan struct{}
}

// residentKiB returns the resident memory of a process.
func residentKiB(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), "VmRSS:")
	f := strings.Fields(rest)
	if len(f) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(f[0], 10, 64)
	return n
}

func (p *memoryLimit) enforce(i int) {
	n := p.deployment.nodes[i]
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-t.C:
		}
		kib := residentKiB(n.cmd.Process.Pid)
		p.peaks[i].Store(max(p.peaks[i].Load(), kib))
		if kib <= int64(n.machineMemoryMiB)<<10 {
			continue
		}
		p.kills[i].Add(1)
		p.deployment.record.note("the platform kills node %s: %d KiB of resident memory, MemoryMb is %d", n.name, kib, n.machineMemoryMiB)
		n.signal(syscall.SIGKILL)
		<-n.exited
		time.Sleep(restartDelay)
		if err := p.deployment.startNode(n); err != nil {
			p.deployment.record.note("node %s does not start: %s", n.name, err)
			return
		}
	}
}

// judge applies the rule Fault: processes that end by themselves, memory over the limit included.
func (p *memoryLimit) judge(calmPeak int64) *result {
	r := p.deployment.record
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &result{}
	ended := 0
	for i, n := range p.deployment.nodes {
		k := p.kills[i].Load()
		res.add("node %s: most resident memory %d KiB, killed %d times", n.name, p.peaks[i].Load(), k)
		if k >= ownEnds {
			ended++
		}
	}
	status, cut := map[int]int{}, 0
	for _, q := range r.sent {
		status[q.status]++
		if !q.complete && len(r.runs[q.id]) > 0 {
			cut++
		}
	}
	res.add("most resident memory of a node before the first burst: %d KiB", calmPeak)
	res.add("%d requests, by status %v; %d ran at a server and got no complete answer", len(r.sent), status, cut)
	res.add("Fault: processes of %d nodes ended %d times or more; %d such nodes break the rule", ended, ownEnds, endedNodes)
	res.broken = ended >= endedNodes
	return res
}
