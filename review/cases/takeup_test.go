package cases

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// releaseSize is the number of servers of one release, 0.45 of 12, and releasePause the time between two.
	releaseSize  = 5
	releaseGap   = time.Second
	releasePause = 2 * time.Second
	// lingerTime is how much longer than DrainMs a server that is replaced goes on serving.
	lingerTime = time.Second
	// killAfter is the time from the end of the last earlier server to the kill.
	killAfter = 7 * time.Second
	// takeUpCallers have a stream each in progress.
	takeUpCallers = 150
	// takeUpUsage stands for a stream of 29 events.
	takeUpUsage = "1460,203"
	timeLimit   = 4 * time.Second
	// restartTime is the time until the platform starts a process again that was killed.
	restartTime = 500 * time.Millisecond
)

// takeUp is a stream of a requester and the attempt to take it up after its channel broke.
type takeUp struct {
	begun      bool
	brokeAt    time.Time
	takenUp    bool
	wentOn     bool
	status     int
	reason     string
	node       string
	resumedAt  int
	lastBefore int
}

// playTakeUp replaces the servers of a service by those of a newer software version, in three releases, and then
// kills one machine. Its requesters take their streams up at other machines.
func playTakeUp(d *deployment, trouble bool) (result, error) {
	for i := range 12 {
		phase := "decode"
		if i < 4 {
			phase = "prefill"
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
	var mu sync.Mutex
	var all []*takeUp
	for i := range takeUpCallers {
		calls.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond) // the requesters don't go in step
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				t := d.takeUpStream(i, k)
				mu.Lock()
				all = append(all, t)
				mu.Unlock()
			}
		})
	}
	time.Sleep(14 * time.Second) // the roles have changed by then
	if trouble {
		if err := d.release(); err != nil {
			return result{}, err
		}
		d.record.printf("the last server of the earlier version has left")
	}
	time.Sleep(killAfter)
	n := d.nodes[3]
	d.record.printf("%s is killed", n.name)
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.exited
	time.Sleep(restartTime)
	if err := d.start(n); err != nil {
		return result{}, err
	}
	time.Sleep(6*time.Second - restartTime)
	close(stop)
	calls.Wait()
	sent, begun, taken, went := 0, 0, 0, 0
	for _, t := range all {
		if t.brokeAt.IsZero() {
			sent++
		}
		if t.begun && t.brokeAt.IsZero() {
			begun++
		}
		if t.takenUp {
			taken++
			if t.wentOn {
				went++
			}
			d.record.printf("taken up after event %d at %s: %d %s, went on: %v", t.lastBefore, t.node, t.status, t.reason, t.wentOn)
		}
	}
	d.record.printf("%d of %d new streams began; %d of %d that were taken up went on", begun, sent, went, taken)
	if taken >= 12 && float64(went)/float64(taken) < 0.5*float64(begun)/float64(sent) {
		return result{fmt.Sprintf("%d of %d streams that were taken up went on, and %d of %d new streams began", went, taken, begun, sent)}, nil
	}
	return result{}, nil
}

// release replaces all servers by servers of a newer software version, in several steps.
func (d *deployment) release() error {
	var left sync.WaitGroup
	for i, old := range d.servers {
		if i > 0 && i%releaseSize == 0 {
			time.Sleep(releasePause)
		}
		old.mu.Lock()
		phase := old.phase
		old.mu.Unlock()
		v, err := newServer(d.record, d.store, old.id+"-new", old.service, old.zone, phase, d.prefix+".200:0", d.fenced)
		if err != nil {
			return err
		}
		v.setVersion("v2")
		d.record.printf("%s of version v2 starts", v.id)
		d.servers[i] = v
		d.gone = append(d.gone, old)
		left.Go(func() {
			old.leave()
			time.Sleep(drainTime + lingerTime)
			old.exit()
		})
		time.Sleep(releaseGap)
	}
	left.Wait()
	return nil
}

// setVersion changes the software version of a server that has just started.
func (v *server) setVersion(version string) {
	v.mu.Lock()
	v.version = version
	v.mu.Unlock()
	v.register()
}

// takeUpStream sends a request for a stream that may be resumed, and takes it up once at another machine if its
// channel breaks after an event.
func (d *deployment) takeUpStream(i, k int) *takeUp {
	t := &takeUp{}
	first := fmt.Sprintf("s%d-%d", i, k)
	end := time.Now().Add(timeLimit)
	at := (i + k) % len(d.nodes)
	last, done, status, _ := d.events(d.nodes[at], first, "", 0, end)
	t.begun = last > 0
	if done || status != http.StatusOK && status != 0 || last == 0 {
		if status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
		}
		return t
	}
	t.brokeAt, t.takenUp, t.lastBefore = time.Now(), true, last
	next := (at + 1 + i%(len(d.nodes)-1)) % len(d.nodes)
	t.node = d.nodes[next].name
	resumed, done, status, reason := d.events(d.nodes[next], first+"-b", first, last, end)
	t.status, t.reason, t.resumedAt = status, reason, resumed
	t.wentOn = done && status == http.StatusOK
	return t
}

// events sends a request and reads the events of the answer. It returns the last one and whether the answer is
// complete.
func (d *deployment) events(n *node, id, first string, after int, end time.Time) (last int, done bool, status int, reason string) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front()+"/roster/q", nil)
	if err != nil {
		return 0, false, 0, ""
	}
	a := d.begin(n, id, "/roster/q")
	defer func() { d.end(a, status, done) }()
	req.Host = host
	for name, v := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": strconv.FormatInt(time.Until(end).Milliseconds(), 10), "X-Model": "m", "X-Token-Usage": takeUpUsage,
		"X-Prompt-Prefix": "5c1e07a2:350," + "e4402b7d:1110",
	} {
		req.Header.Set(name, v)
	}
	if first != "" {
		req.Header.Set("Resumes", first)
		req.Header.Set("Last-Event-Id", strconv.Itoa(after))
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, false, 0, ""
	}
	defer resp.Body.Close()
	r := bufio.NewScanner(resp.Body)
	for r.Scan() {
		if v, ok := strings.CutPrefix(r.Text(), "id: "); ok {
			last, _ = strconv.Atoi(v)
		}
	}
	return last, r.Err() == nil && resp.StatusCode == http.StatusOK, resp.StatusCode, resp.Header.Get("X-Refusal-Reason")
}
