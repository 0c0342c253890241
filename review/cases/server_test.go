package cases

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a server of the platform: a model server if phase is not empty, and a plain
// service otherwise.
type server struct {
	record            *recorder
	store             *store
	id, service, zone string
	version           string
	born              int64
	address           string
	fenced            bool
	http              *http.Server
	beats             int

	mu       sync.Mutex
	phase    string
	busy     bool
	sequence int
	fence    int64
	active   int
	handles  int
	orders   []order
	runs     []run
	prefills []run
	stopped  bool
	draining bool
	// spoil makes the server spoil one in this many of its answers.
	spoil int
	plain int // answers of a plain service
}

// order is an order that reached the server.
type order struct {
	Operation, Phase, Holder string
	FencingToken             int64
	Expected                 *int
	status                   int
	at                       time.Time
}

// run is a request that the server began to work on.
type run struct {
	request, path string
	at            time.Time
}

const (
	heartbeat  = 1200 * time.Millisecond
	switchTime = 3 * time.Second
	tokenTime  = 6 * time.Millisecond
	workTime   = 15 * time.Millisecond
	tokensPerS = 49_600
)

// firstBirth is a time in Unix milliseconds. Each server that starts is born one later.
const firstBirth = 1_700_000_000_000

var births atomic.Int64

func newServer(rec *recorder, s *store, id, service, zone, phase, address string, fenced bool) (*server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	v := &server{record: rec, store: s, id: id, service: service, zone: zone, version: "v1", born: firstBirth + births.Add(1), phase: phase, address: l.Addr().String(), fenced: fenced}
	v.http = &http.Server{Handler: v}
	go func() { _ = v.http.Serve(l) }()
	v.register()
	go func() {
		for {
			time.Sleep(heartbeat)
			v.mu.Lock()
			stopped := v.stopped
			v.mu.Unlock()
			if stopped {
				return
			}
			v.register()
		}
	}()
	return v, nil
}

// register writes the server's entry.
func (v *server) register() {
	v.mu.Lock()
	if v.stopped {
		v.mu.Unlock()
		return
	}
	v.beats++
	entry := map[string]any{
		"Service": v.service, "Address": v.address, "Zone": v.zone, "Version": v.version, "Slots": 64, "State": "ready",
		"ColdMs": 0, "Sequence": v.beats, "born": v.born,
	}
	if v.draining {
		entry["State"] = "draining"
	}
	if v.phase != "" {
		entry["Phase"] = v.phase
		entry["Models"] = v.models()
	} else {
		entry["Slots"] = 6
	}
	v.mu.Unlock()
	b, err := json.Marshal(entry)
	if err != nil {
		panic(err) // cannot fail for the map above
	}
	v.store.put("keyed.servers", v.id, b)
}

func (v *server) models() any {
	return []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	v.mu.Lock()
	if v.draining {
		w.Header().Set("Server-Leaving", "1")
	}
	v.mu.Unlock()
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != v.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		v.record.printf("%s answers 421 to %s for %s", v.id, r.URL.Path, want)
		return
	}
	switch {
	case r.URL.Path == "/report":
		v.mu.Lock()
		report := map[string]any{
			"Phase": v.phase, "Models": v.models(), "Busy": v.busy, "Sequence": v.sequence, "Queued": 0, "Active": v.active, "KvUsed": 0,
			"KvTotal": 533_193, "Handles": v.handles, "born": v.born,
		}
		v.mu.Unlock()
		reply(w, http.StatusOK, report)
	case r.URL.Path == "/order":
		v.order(w, body)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", v.id)
		w.WriteHeader(http.StatusOK)
	default:
		v.serve(w, r, id)
	}
}

func (v *server) order(w http.ResponseWriter, body []byte) {
	var o order
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.FencingToken == 0 || o.Operation != "Phase" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	o.at = time.Now()
	switch {
	case v.fenced && o.FencingToken < v.fence:
		o.status = http.StatusPreconditionFailed
	case v.busy || o.Expected != nil && *o.Expected != v.sequence:
		o.status = http.StatusConflict
	case o.Phase == v.phase:
		o.status = http.StatusOK
	default:
		o.status = http.StatusAccepted
	}
	v.fence = max(v.fence, o.FencingToken)
	if o.status == http.StatusAccepted {
		v.sequence++
		v.busy = true
		go v.carryOut(o.Phase)
	}
	v.orders = append(v.orders, o)
	v.mu.Unlock()
	v.record.printf("%s gets the order %s of %s with generation number %d: %d", v.id, o.Phase, o.Holder, o.FencingToken, o.status)
	w.WriteHeader(o.status)
}

// carryOut changes the stage once the running work has ended.
func (v *server) carryOut(phase string) {
	for {
		v.mu.Lock()
		active := v.active
		v.mu.Unlock()
		if active == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(switchTime)
	v.mu.Lock()
	v.phase, v.busy = phase, false
	v.mu.Unlock()
	v.register()
}

func (v *server) refuse(w http.ResponseWriter, status int) {
	if status != http.StatusMisdirectedRequest {
		w.Header().Set("X-Not-Executed", "1")
	}
	w.WriteHeader(status)
}

func (v *server) serve(w http.ResponseWriter, r *http.Request, id string) {
	if id == "" {
		v.refuse(w, http.StatusBadRequest)
		return
	}
	prefill := r.Header.Get("X-Phase") == "prefill"
	v.mu.Lock()
	if v.phase != "" && prefill != (v.phase == "prefill") {
		v.mu.Unlock()
		v.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if v.busy {
		v.mu.Unlock()
		v.refuse(w, http.StatusServiceUnavailable)
		return
	}
	v.active++
	if prefill {
		v.prefills = append(v.prefills, run{id, r.URL.Path, time.Now()})
	} else {
		v.runs = append(v.runs, run{id, r.URL.Path, time.Now()})
	}
	v.mu.Unlock()
	defer func() {
		v.mu.Lock()
		v.active--
		v.mu.Unlock()
	}()
	tokens, output := usage(r)
	switch {
	case prefill:
		time.Sleep(8*time.Millisecond + time.Duration(tokens)*time.Second/tokensPerS)
		v.mu.Lock()
		v.handles++
		handle := fmt.Sprintf("%s-%d", v.id, v.handles)
		v.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"Handle": handle, "Tokens": tokens, "Version": 1})
	case v.phase != "":
		v.stream(w, r, id, output)
	default:
		time.Sleep(workTime)
		v.mu.Lock()
		v.plain++
		spoils := v.spoil > 0 && v.plain%v.spoil == 0
		v.mu.Unlock()
		if spoils {
			v.answerSpoiled(w, id, wholeBody(id))
			return
		}
		w.Header().Set("X-Instance-Load", "1,0,6")
		w.Header().Set("X-Server-Stamp", "stamp-"+v.id)
		_, _ = io.WriteString(w, wholeBody(id))
	}
}

// eventTokens is the number of tokens in one event.
const eventTokens = 7

func (v *server) stream(w http.ResponseWriter, r *http.Request, id string, tokens int) {
	w.Header().Set("X-Server-Stamp", "stamp-"+v.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	out := http.NewResponseController(w)
	for i := first + 1; i <= max(tokens/eventTokens, 1); i++ {
		time.Sleep(eventTokens * tokenTime)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", i, id, i); err != nil || out.Flush() != nil {
			return
		}
	}
}

func usage(r *http.Request) (tokens, output int) {
	a, b, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	tokens, _ = strconv.Atoi(a)
	output, _ = strconv.Atoi(b)
	return tokens, output
}

// leave begins a planned shutdown: the server reports that it is draining and goes on serving. It returns
// when the store has accepted the report.
func (v *server) leave() time.Time {
	v.mu.Lock()
	v.draining = true
	v.mu.Unlock()
	v.register()
	v.record.printf("store: acknowledges that %s is draining", v.id)
	return time.Now()
}

// exit ends the server and removes its entry.
func (v *server) exit() {
	v.mu.Lock()
	v.stopped = true
	active := v.active
	v.mu.Unlock()
	v.record.printf("%s exits; %d requests at work", v.id, active)
	_ = v.http.Close()
	v.store.put("keyed.servers", v.id, nil)
}
