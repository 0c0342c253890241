package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// ExplainCmd prints the logged decisions about one request.
type ExplainCmd struct {
	ID    string   `arg:"" help:"Identifier of the request."`
	Files []string `arg:"" optional:"" type:"path" help:"Log files of the nodes; without any, standard input is read."`

	in io.Reader
}

// maxLogLineBytes bounds the length of a log line; the scanner fails on a longer one.
const maxLogLineBytes = 1 << 20

// logLine is a node's log line about a request or about its own start or stop.
type logLine struct {
	Time           time.Time `json:"time"`
	VM             string    `json:"vm"`
	Message        string    `json:"msg"`
	Request        string    `json:"request_id"`
	Route          string    `json:"route"`
	Service        string    `json:"service"`
	Configuration  uint64    `json:"configuration"`
	Target         string    `json:"target"`
	Stage          string    `json:"stage"`
	Reason         string    `json:"reason"`
	Outcome        string    `json:"outcome"`
	Error          string    `json:"error"`
	ElapsedMs      float64   `json:"elapsed_ms"`
	FirstMs        float64   `json:"first_ms"`
	PredictedMs    float64   `json:"predicted_ms"`
	UncachedTokens int       `json:"uncached_tokens"`
	Attempts       int       `json:"tries"`
	Status         int       `json:"status"`
	Parts          string    `json:"parts"`
	Events         int       `json:"events"`
}

// Run implements the command.
func (c *ExplainCmd) Run(g *Globals) error {
	var log requestLog
	if err := c.read(&log); err != nil {
		return failf(ErrUsage, "%v", err)
	}
	lines := log.lines
	if len(lines) == 0 {
		return failf(ErrRefused, "no log line of request %q; it may have been answered in time and not sampled%s", c.ID, log.describeKilledNodes())
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	if g.JSON {
		return g.printValue(lines)
	}
	for _, l := range lines {
		fmt.Fprintln(g.out, l.describe())
	}
	return nil
}

// requestLog holds the log lines that concern a request.
type requestLog struct {
	lines []logLine
	// nodeEvents holds the starts and stops of nodes. A node that is killed does not log the
	// outcome of its requests in progress.
	nodeEvents []logLine
}

const (
	msgStarted = "started"
	msgStopped = "stopped"
)

// describeKilledNodes returns the nodes that have started again without a logged stop, as the
// ending of an error message.
func (s *requestLog) describeKilledNodes() string {
	slices.SortStableFunc(s.nodeEvents, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	var killed []string
	running := map[string]bool{}
	for _, l := range s.nodeEvents {
		if l.Message == msgStarted && running[l.VM] {
			killed = append(killed, fmt.Sprintf("%s before %s", l.VM, l.Time.Format(explainTimeFormat)))
		}
		running[l.VM] = l.Message == msgStarted
	}
	if len(killed) == 0 {
		return ""
	}
	return ", or it was in progress on a node that ended without a planned stop: " + strings.Join(killed, ", ")
}

func (c *ExplainCmd) read(out *requestLog) error {
	if len(c.Files) == 0 {
		in := c.in
		if in == nil {
			in = os.Stdin
		}
		return c.scan(out, in)
	}
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = c.scan(out, f)
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// scan adds the lines about the request and the starts and stops of nodes. It ignores text before
// the JSON object of a line, which a log collector may have added.
func (c *ExplainCmd) scan(out *requestLog, in io.Reader) error {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		line := s.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 || !c.mayMatch(line) {
			continue
		}
		var l logLine
		switch {
		case json.Unmarshal(line[start:], &l) != nil:
		case l.Request == c.ID:
			out.lines = append(out.lines, l)
		case l.Request == "" && (l.Message == msgStarted || l.Message == msgStopped):
			out.nodeEvents = append(out.nodeEvents, l)
		}
	}
	return s.Err()
}

// mayMatch filters lines cheaply before they are decoded.
func (c *ExplainCmd) mayMatch(line []byte) bool {
	return bytes.Contains(line, []byte(c.ID)) ||
		bytes.Contains(line, []byte(`"`+msgStarted+`"`)) || bytes.Contains(line, []byte(`"`+msgStopped+`"`))
}

// explainTimeFormat is the format of times in the output.
const explainTimeFormat = "15:04:05.000"

// describe returns one line of text: what was decided and why.
func (l *logLine) describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s +%.1f ms: ", l.Time.Format(explainTimeFormat), l.VM, l.ElapsedMs)
	switch l.Message {
	case "send":
		fmt.Fprintf(&b, "sent to %s of %s (%s), first result predicted in %.1f ms, %d tokens to read; route %s, configuration %d",
			l.Target, l.Service, l.Stage, l.PredictedMs, l.UncachedTokens, l.Route, l.Configuration)
	case "retry":
		fmt.Fprintf(&b, "%s failed (%s)%s, tried again", l.Target, l.cause(), l.describePrompt())
	case "no_retry":
		fmt.Fprintf(&b, "%s failed (%s)%s, not tried again", l.Target, l.cause(), l.describePrompt())
	case "outcome":
		b.WriteString(l.describeOutcome())
	default:
		b.WriteString(l.Message)
	}
	return b.String()
}

func (l *logLine) cause() string {
	if l.Error == "" {
		return l.Reason
	}
	return l.Reason + ": " + l.Error
}

// describePrompt describes how far the stream of a request with a prompt had come, or returns
// an empty string for other requests.
func (l *logLine) describePrompt() string {
	if l.Parts == "" {
		return ""
	}
	return fmt.Sprintf(" after %d events, prompt parts %s", l.Events, l.Parts)
}

func (l *logLine) describeOutcome() string {
	switch l.Outcome {
	case "answered":
		return fmt.Sprintf("answered with status %d, first result after %.1f ms, %d calls", l.Status, l.FirstMs, l.Attempts)
	case "not_run":
		refusal := fmt.Sprintf("refused and not run: %s, %d calls", l.Reason, l.Attempts)
		if l.Configuration != 0 {
			refusal += fmt.Sprintf(", by configuration %d", l.Configuration)
		}
		return refusal
	}
	return fmt.Sprintf("failed, may have run: %s, %d calls", l.Reason, l.Attempts)
}
