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

// ExplainCmd prints what the logs tell of one request.
type ExplainCmd struct {
	ID    string   `arg:"" help:"Identifier of the request."`
	Files []string `arg:"" optional:"" type:"path" help:"Log files of the nodes; standard input without any."`

	in io.Reader
}

// maxLogLine bounds one log line; a longer one is passed over.
const maxLogLine = 1 << 20

// logLine is a decision of a node about a request, as the node logs it.
type logLine struct {
	Time      time.Time `json:"time"`
	VM        string    `json:"vm"`
	Message   string    `json:"msg"`
	Request   string    `json:"request_id"`
	Route     string    `json:"route"`
	Service   string    `json:"service"`
	Config    uint64    `json:"configuration"`
	Target    string    `json:"target"`
	Stage     string    `json:"stage"`
	Reason    string    `json:"reason"`
	Outcome   string    `json:"outcome"`
	Error     string    `json:"error"`
	Elapsed   float64   `json:"elapsed_ms"`
	First     float64   `json:"first_ms"`
	Predicted float64   `json:"predicted_ms"`
	Uncached  int       `json:"uncached_tokens"`
	Tries     int       `json:"tries"`
	Status    int       `json:"status"`
}

// Run implements the command.
func (c *ExplainCmd) Run(g *Globals) error {
	var found story
	if err := c.read(&found); err != nil {
		return failf(ErrUsage, "%v", err)
	}
	lines := found.lines
	if len(lines) == 0 {
		return failf(ErrRefused, "no line names the request %q; it may have been answered in time and not sampled%s", c.ID, found.lost())
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

// story is what the logs tell of a request.
type story struct {
	lines []logLine
	// nodes holds the starts and ends of nodes. A node that is killed loses the
	// lines of its open requests.
	nodes []logLine
}

const (
	msgStarted = "started"
	msgStopped = "stopped"
)

// lost names the nodes that have started again without having stopped.
func (s *story) lost() string {
	slices.SortStableFunc(s.nodes, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	var killed []string
	running := map[string]bool{}
	for _, l := range s.nodes {
		if l.Message == msgStarted && running[l.VM] {
			killed = append(killed, fmt.Sprintf("%s before %s", l.VM, l.Time.Format(explainTime)))
		}
		running[l.VM] = l.Message == msgStarted
	}
	if len(killed) == 0 {
		return ""
	}
	return ", or it was open on a node that ended without stopping: " + strings.Join(killed, ", ")
}

func (c *ExplainCmd) read(out *story) error {
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

// scan adds the lines about the request. A collector may have put its own text
// before the JSON object of a line.
func (c *ExplainCmd) scan(out *story, in io.Reader) error {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		line := s.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 || !c.matters(line) {
			continue
		}
		var l logLine
		switch {
		case json.Unmarshal(line[start:], &l) != nil:
		case l.Request == c.ID:
			out.lines = append(out.lines, l)
		case l.Request == "" && (l.Message == msgStarted || l.Message == msgStopped):
			out.nodes = append(out.nodes, l)
		}
	}
	return s.Err()
}

// matters tells lines that may be used from the many others before they are decoded.
func (c *ExplainCmd) matters(line []byte) bool {
	return bytes.Contains(line, []byte(c.ID)) ||
		bytes.Contains(line, []byte(`"`+msgStarted+`"`)) || bytes.Contains(line, []byte(`"`+msgStopped+`"`))
}

// explainTime is the form of times in the answer.
const explainTime = "15:04:05.000"

// describe says in a line what was decided and why.
func (l *logLine) describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s +%.1f ms: ", l.Time.Format(explainTime), l.VM, l.Elapsed)
	switch l.Message {
	case "send":
		fmt.Fprintf(&b, "sent to %s of %s (%s), first result predicted in %.1f ms, %d tokens to read; route %s, configuration %d",
			l.Target, l.Service, l.Stage, l.Predicted, l.Uncached, l.Route, l.Config)
	case "retry":
		fmt.Fprintf(&b, "%s failed (%s), tried again", l.Target, l.cause())
	case "no_retry":
		fmt.Fprintf(&b, "%s failed (%s), not tried again", l.Target, l.cause())
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

func (l *logLine) describeOutcome() string {
	switch l.Outcome {
	case "answered":
		return fmt.Sprintf("answered with status %d, first result after %.1f ms, %d calls", l.Status, l.First, l.Tries)
	case "not_run":
		refusal := fmt.Sprintf("refused and not run: %s, %d calls", l.Reason, l.Tries)
		if l.Config != 0 {
			refusal += fmt.Sprintf(", by configuration %d", l.Config)
		}
		return refusal
	}
	return fmt.Sprintf("failed, may have run: %s, %d calls", l.Reason, l.Tries)
}
