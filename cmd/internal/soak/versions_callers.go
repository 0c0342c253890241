package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lentilpick/lentilpick/platform/standin"
)

const (
	maxTakeUps     = 4
	minTakeUpDelay = 100 * time.Millisecond
	maxTakeUpDelay = 800 * time.Millisecond
)

// streamTry is one request of a caller for a stream or the rest of one.
type streamTry struct {
	id          string
	node        *changesNode
	resumeAfter int
	resetAfter  int // the number of events after which the connection breaks, 0 for never
	status      int
	reason      string // of a refusal
	// events are the versions that wrote the events received.
	events      []string
	sent, ended time.Time
	err         error
	// wrong describes an event that is out of order or of another request.
	wrong string
}

// versionedStream is a stream and the tries to take it up.
type versionedStream struct{ tries []streamTry }

// begun returns the index of the try that brought the first event, -1 if none did.
func (s *versionedStream) begun() int {
	for i := range s.tries {
		if len(s.tries[i].events) > 0 {
			return i
		}
	}
	return -1
}

func (s *versionsRun) sendStreams(ctx context.Context, caller int, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxTakeUpDelay))))
		stream := versionedStream{}
		received := 0
		for try := 0; try <= maxTakeUps; try++ {
			t := streamTry{id: fmt.Sprintf("s%d-%d-%d", caller, i, try), node: s.nodes[rng.IntN(len(s.nodes))], resumeAfter: received}
			if rng.IntN(100) < resetPercent && slices.Contains(s.Beside, "resets") {
				t.resetAfter = 1 + rng.IntN(versionsEvents-1)
			}
			resumes := ""
			if b := stream.begun(); b >= 0 {
				resumes = stream.tries[b].id
			}
			t.send(ctx, client, resumes)
			stream.tries = append(stream.tries, t)
			received += len(t.events)
			if received == 0 || received >= versionsEvents || t.wrong != "" || ctx.Err() != nil {
				break
			}
			sleep(ctx, minTakeUpDelay+time.Duration(rng.Int64N(int64(maxTakeUpDelay-minTakeUpDelay))))
			if ctx.Err() != nil {
				break
			}
		}
		s.mu.Lock()
		s.streams = append(s.streams, stream)
		s.mu.Unlock()
	}
}

// send sends the request and reads events until the response ends.
func (t *streamTry) send(ctx context.Context, client *http.Client, resumes string) {
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	t.sent = time.Now()
	defer func() { t.ended = time.Now() }()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.node.callerAddress+"/resume/x", strings.NewReader("body"))
	if err != nil {
		t.err = err
		return
	}
	r.Host = standin.Host
	for k, v := range standin.Headers(t.id, true) {
		r.Header.Set(k, v)
	}
	r.Header.Set(standin.DeadlineHeader, strconv.FormatInt(versionsTimeout.Milliseconds(), 10))
	if resumes != "" {
		r.Header.Set(standin.ResumesHeader, resumes)
		r.Header.Set(standin.ResumeAfterHeader, strconv.Itoa(t.resumeAfter))
	}
	resp, err := client.Do(r)
	if err != nil {
		t.err = err
		return
	}
	defer resp.Body.Close()
	t.reason = resp.Header.Get("X-Refusal-Reason")
	if t.status = resp.StatusCode; t.status != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return
	}
	t.readEvents(bufio.NewReader(resp.Body))
}

func (t *streamTry) readEvents(r *bufio.Reader) {
	for t.wrong == "" && (t.resetAfter == 0 || len(t.events) < t.resetAfter) {
		var event strings.Builder
		for !strings.HasSuffix(event.String(), "\n\n") {
			line, err := r.ReadString('\n')
			event.WriteString(line)
			if err != nil {
				t.endEvents(err)
				return
			}
		}
		t.addEvent(event.String())
	}
}

func (t *streamTry) endEvents(err error) {
	t.err = err
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && t.resumeAfter+len(t.events) < versionsEvents {
		t.wrong = fmt.Sprintf("ends as complete after event %d", t.resumeAfter+len(t.events))
	}
}

// addEvent records an event. It must be the next one of this request.
func (t *streamTry) addEvent(event string) {
	target, version, ok := standin.ParseSigned(event)
	n := t.resumeAfter + len(t.events) + 1
	if !ok || event != standin.SignedEvent(t.id, n, target, version) {
		t.wrong = fmt.Sprintf("%q instead of event %d", event, n)
		return
	}
	t.events = append(t.events, version)
}
