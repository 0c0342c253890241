package cases

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store, as PROTOCOL.md and NEWS.md describe it.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	era     int
	down    bool
	changed chan struct{}
	server  *http.Server
	address string
	calls   map[string]int
	// onAppend is called after each append of the system.
	onAppend func(topic string, offset int, record []byte)
}

type topic struct{ records []record }

type record struct {
	data []byte
	at   time.Time
}

const (
	answerTime = 4 * time.Millisecond
	maxWait    = 30 * time.Second
)

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string]*topic{}, era: 1, changed: make(chan struct{}), address: l.Addr().String(), calls: map[string]int{}}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

func keyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

// put writes a record of the operator or of a server. While the store is away it returns false.
func (s *store) put(name, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.append(name, [][]byte{keyed(key, value)})
	return true
}

// append adds records. The caller holds s.mu.
func (s *store) append(name string, data [][]byte) int {
	t := s.topic(name)
	offset := len(t.records)
	for _, d := range data {
		t.records = append(t.records, record{d, time.Now()})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// setDown makes the store answer 503 to every call, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// restore replaces the contents by a copy of the given time. It returns what was lost, by topic.
func (s *store) restore(copied time.Time) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := map[string]int{}
	for name, t := range s.topics {
		n := len(t.records)
		for n > 0 && t.records[n-1].at.After(copied) {
			n--
		}
		if len(t.records) > n {
			lost[name] = len(t.records) - n
		}
		t.records = slices.Clip(t.records[:n])
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	down := s.down
	q := r.URL.Query()
	name := q.Get("Topic")
	s.calls[r.URL.Path+" "+name]++
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(answerTime)
	switch r.URL.Path {
	case "/log-append":
		s.handleAppend(w, name, q.Get("At"), body)
	case "/log-read":
		from, _ := strconv.Atoi(q.Get("Source"))
		wait, _ := strconv.Atoi(q.Get("WaitMs"))
		limit, _ := strconv.Atoi(q.Get("MaxKb"))
		if limit <= 0 {
			limit = 1024
		}
		s.handleRead(w, r, name, from, limit<<10, min(time.Duration(wait)*time.Millisecond, maxWait))
	case "/log-newest":
		s.handleNewest(w, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) handleAppend(w http.ResponseWriter, name, at string, body []byte) {
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var data [][]byte
	for b := body; len(b) >= 4; {
		n := int(binary.BigEndian.Uint32(b))
		if len(b) < 4+n {
			break
		}
		data = append(data, slices.Clone(b[4:4+n]))
		b = b[4+n:]
	}
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	end := len(s.topic(name).records)
	if at != "" && at != strconv.Itoa(end) {
		s.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]any{"End": end})
		return
	}
	offset := s.append(name, data)
	end = len(s.topic(name).records)
	hook := s.onAppend
	s.mu.Unlock()
	if hook != nil {
		for i, d := range data {
			hook(name, offset+i, d)
		}
	}
	reply(w, http.StatusOK, map[string]any{"Offset": offset, "End": end})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request, name string, from, limit int, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		t := s.topic(name)
		end, changed, down := len(t.records), s.changed, s.down
		if down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from > end {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"First": 0})
			return
		}
		if from < end || wait == 0 {
			b := binary.BigEndian.AppendUint64(nil, uint64(end))
			b = binary.BigEndian.AppendUint64(b, 0)
			for i, d := range t.records[from:] {
				if i > 0 && len(b)+4+len(d.data) > limit {
					break
				}
				b = binary.BigEndian.AppendUint32(b, uint32(len(d.data)))
				b = append(b, d.data...)
			}
			s.mu.Unlock()
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(b)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, name string) {
	type item struct {
		Key, Value string
		Offset     int
	}
	s.mu.Lock()
	newest := map[string]item{}
	t := s.topic(name)
	for i, r := range t.records {
		n := 1 + int(r.data[0])
		key, value := string(r.data[1:n]), r.data[n:]
		if len(value) == 0 {
			delete(newest, key)
		} else {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	items := []item{}
	for _, i := range newest {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"items": items, "More": false, "End": end})
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot fail for the maps above
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
