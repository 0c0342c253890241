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
	lines, err := c.read()
	if err != nil {
		return failf(ErrUsage, "%v", err)
	}
	if len(lines) == 0 {
		return failf(ErrRefused, "no line names the request %q; it may have been answered in time and not sampled", c.ID)
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

func (c *ExplainCmd) read() ([]logLine, error) {
	if len(c.Files) == 0 {
		in := c.in
		if in == nil {
			in = os.Stdin
		}
		return c.scan(nil, in)
	}
	var out []logLine
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		out, err = c.scan(out, f)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return out, nil
}

// scan adds the lines about the request. A collector may have put its own text
// before the JSON object of a line.
func (c *ExplainCmd) scan(out []logLine, in io.Reader) ([]logLine, error) {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		line := s.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 || !bytes.Contains(line, []byte(c.ID)) {
			continue
		}
		var l logLine
		if json.Unmarshal(line[start:], &l) == nil && l.Request == c.ID {
			out = append(out, l)
		}
	}
	return out, s.Err()
}

// describe says in a line what was decided and why.
func (l *logLine) describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s +%.1f ms: ", l.Time.Format("15:04:05.000"), l.VM, l.Elapsed)
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
		return fmt.Sprintf("refused and not run: %s, %d calls", l.Reason, l.Tries)
	}
	return fmt.Sprintf("failed, may have run: %s, %d calls", l.Reason, l.Tries)
}
