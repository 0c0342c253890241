package harness

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case descriptors.
const (
	maxFds         = 2870
	usersPerNode   = 1600
	harnessFds     = 10000 // for the channels of all requesters and some more
	usersBurst     = 1.9   // times as many, in a burst
	usersBurstFor  = 10 * time.Second
	usersBursts    = 4
	usersCalm      = 8 * time.Second // before and after each burst
	usersRampUp    = 2 * time.Second
	usersInterval  = 10 * time.Second // below 4/5 of IdleTimeoutMs
	rampStep       = 20
	pingInterval   = time.Second
	missesToRemove = 2
)

// limitedExec replaces this process by a command with at most n descriptors, as the platform starts a
// process on a machine with MaxFds.
func limitedExec(n string, command []string) error {
	limit, err := strconv.ParseUint(n, 10, 64)
	if err != nil {
		return err
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
		return err
	}
	return syscall.Exec(command[0], command, os.Environ())
}

// ingress forwards the channels of requesters to the nodes in rotation, and restarts nodes that end.
type ingress struct {
	deployment *deployment
	misses     []atomic.Int64
	ends       []atomic.Int64
	open       []atomic.Int64 // channels of requesters
	most       []atomic.Int64
	stop       chan struct{}
}

func newIngress(d *deployment) *ingress {
	n := len(d.nodes)
	return &ingress{
		deployment: d, misses: make([]atomic.Int64, n), ends: make([]atomic.Int64, n),
		open: make([]atomic.Int64, n), most: make([]atomic.Int64, n), stop: make(chan struct{}),
	}
}

// watch asks a node each second whether it is ready, and starts its process again when it has ended.
func (g *ingress) watch(i int) {
	n := g.deployment.nodes[i]
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-n.exited:
			g.ends[i].Add(1)
			g.misses[i].Store(missesToRemove)
			time.Sleep(restartDelay)
			if err := g.deployment.startNode(n); err != nil {
				g.deployment.record.note("node %s does not start: %s", n.name, err)
				return
			}
		case <-t.C:
			if n.isReady() {
				g.misses[i].Store(0)
			} else {
				g.misses[i].Add(1)
			}
		}
	}
}

// pick returns the node of a requester: always the same one, or another while that is not in rotation.
func (g *ingress) pick(user int) int {
	for k := range g.misses {
		i := (user + k) % len(g.misses)
		if g.misses[i].Load() < missesToRemove {
			return i
		}
	}
	return user % len(g.misses)
}

// user keeps one channel and sends a request every usersInterval. After a failure it comes back on a
// new channel.
func (g *ingress) user(k int, end time.Time) {
	for time.Now().Before(end) {
		i := g.pick(k)
		c := &requester{record: g.deployment.record, node: g.deployment.nodes[i]}
		open := g.open[i].Add(1)
		for most := g.most[i].Load(); open > most && !g.most[i].CompareAndSwap(most, open); most = g.most[i].Load() {
		}
		for time.Now().Before(end) {
			c.do(request{id: newID("a"), kind: "availability", method: http.MethodGet, path: availabilityPath + "2f", deadline: time.Second})
			if c.conn == nil {
				break
			}
			time.Sleep(min(usersInterval-time.Second+rand.N(time.Second), max(time.Until(end), 0)))
		}
		c.closeChannel()
		g.open[i].Add(-1)
		time.Sleep(min(500*time.Millisecond+rand.N(time.Second), max(time.Until(end), 0)))
	}
}

// descriptors plays many users who keep their channels, and more of them in bursts.
func descriptors(d *deployment, trouble bool) (*result, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return nil, err
	}
	if limit.Cur < harnessFds {
		return nil, fmt.Errorf("the harness needs %d descriptors and may open %d", harnessFds, limit.Cur)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	for _, n := range d.nodes {
		n.wrapper = []string{self, "limited", strconv.Itoa(maxFds)}
	}
	for i := range 6 {
		if err := d.addServer(serverSettings{id: fmt.Sprintf("i-desk%d", i+1), service: "wuno96b", zone: zones[i%3], slots: 6, queue: 24, work: 5 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	g := newIngress(d)
	var watch, all sync.WaitGroup
	for i := range d.nodes {
		watch.Go(func() { g.watch(i) })
	}
	users := 0
	// arrive starts users at an even rate over usersRampUp, in steps of rampStep.
	arrive := func(n int, end time.Time) {
		for k := range n {
			user := users
			users++
			all.Go(func() { g.user(user, end) })
			if k%rampStep == 0 {
				time.Sleep(usersRampUp * rampStep / time.Duration(n))
			}
		}
	}
	base := usersPerNode * len(d.nodes)
	arrive(base, time.Now().Add(usersRampUp+usersCalm+usersBursts*(usersBurstFor+usersCalm)))
	time.Sleep(usersCalm)
	for range usersBursts {
		if trouble {
			d.record.note("a burst begins")
			end := time.Now().Add(usersBurstFor)
			arrive(int(float64(base)*(usersBurst-1)), end)
			time.Sleep(time.Until(end))
			d.record.note("the burst ends")
		} else {
			time.Sleep(usersBurstFor)
		}
		time.Sleep(usersCalm)
	}
	all.Wait()
	close(g.stop)
	watch.Wait()
	return g.judge(), nil
}

// judge applies the rule Fault: processes that end by themselves.
func (g *ingress) judge() *result {
	r := g.deployment.record
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &result{}
	ended := 0
	for i, n := range g.deployment.nodes {
		k := g.ends[i].Load()
		res.add("node %s: at most %d channels of requesters, process ended %d times", n.name, g.most[i].Load(), k)
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
	res.add("%d requests, by status %v (0: no answer); %d ran at a server and got no answer", len(r.sent), status, cut)
	res.add("Fault: processes of %d nodes ended %d times or more; %d such nodes break the rule", ended, ownEnds, endedNodes)
	res.broken = ended >= endedNodes
	return res
}
