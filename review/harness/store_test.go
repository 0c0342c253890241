package harness

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

// store is a stand-in for the platform's store: a log with keyed and plain topics. It never
// fails by itself.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	address string
	server  *http.Server
}

type topic struct {
	records [][]byte
	newest  map[string]keyedRecord
	changed chan struct{} // closed and replaced by each append
}

type keyedRecord struct {
	value  []byte
	offset int
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string]*topic{}, address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyedRecord{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes the newest record of a key. An empty value drops the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.topic(name).append(name, append(record, value...))
}

func (t *topic) append(name string, record []byte) {
	offset := len(t.records)
	t.records = append(t.records, record)
	if n := 1 + int(record[0]); strings.HasPrefix(name, "keyed.") && len(record) >= n {
		key, value := string(record[1:n]), record[n:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = keyedRecord{value, offset}
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("Topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	offset := len(t.records)
	if at := r.URL.Query().Get("At"); at != "" && at != strconv.Itoa(offset) {
		s.mu.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"End": offset})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			break
		}
		t.append(name, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	end := len(t.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": end})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("Source"))
	waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
	expired := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := waitMs > 0; ; {
		s.mu.Lock()
		t := s.topic(q.Get("Topic"))
		end, changed := len(t.records), t.changed
		if from < end || !waiting {
			b := binary.BigEndian.AppendUint64(nil, uint64(end))
			b = binary.BigEndian.AppendUint64(b, 0)
			for _, rec := range t.records[min(from, end):] {
				b = binary.BigEndian.AppendUint32(b, uint32(len(rec)))
				b = append(b, rec...)
			}
			s.mu.Unlock()
			_, _ = w.Write(b)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-expired:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key, Value string
		Offset     int
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("Topic"))
	items := []item{}
	for k, v := range t.newest {
		items = append(items, item{k, base64.StdEncoding.EncodeToString(v.value), v.offset})
	}
	end := len(t.records)
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "More": false, "End": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
