package transport

import (
	"bytes"
	"fmt"
)

// headChecker checks the head of one response as it arrives: its status line, and that each line
// after it is a field of HTTP/1.1 (RFC 9112, sections 2.2 and 5). The library that decodes the head
// takes a blank in a name, appends a line that begins with a blank to the value before it, and ends
// a line at a bare line feed. A head with one wrong byte would then lose its framing or a field.
type headChecker struct {
	line   []byte // beginning of a line that is not complete
	status int    // 0 until the status line has been read
	bytes  int
	done   bool // the empty line at the end of the head has been read
}

// feed checks the next bytes of the head. It ignores what follows the head, of which bytes is the
// length. The error wraps ErrInvalidHead, or ErrTooLarge for a head longer than maxHeadBytes.
func (c *headChecker) feed(b []byte) error {
	for len(b) > 0 && !c.done {
		line, rest, complete := bytes.Cut(b, []byte("\n"))
		c.bytes += len(b) - len(rest)
		if c.bytes > maxHeadBytes {
			return fmt.Errorf("head of more than %d bytes: %w", maxHeadBytes, ErrTooLarge)
		}
		if !complete {
			c.line = append(c.line, line...)
			return nil
		}
		if len(c.line) > 0 {
			line = append(c.line, line...)
		}
		if err := c.checkLine(line); err != nil {
			return err
		}
		c.line, b = c.line[:0], rest
	}
	return nil
}

// checkLine checks a line without its line feed.
func (c *headChecker) checkLine(line []byte) (err error) {
	line, ok := bytes.CutSuffix(line, []byte("\r"))
	switch {
	case !ok:
		return fmt.Errorf("line %.40q without a carriage return: %w", line, ErrInvalidHead)
	case c.status == 0:
		c.status, err = parseStatus(line)
		return err
	case len(line) == 0:
		c.done = true
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(name) == len(line) || !IsFieldName(name) || !isFieldValue(value) {
		return fmt.Errorf("%.40q is not a field: %w", line, ErrInvalidHead)
	}
	return nil
}

// IsFieldName reports whether b is a name of a field: a token of HTTP (RFC 9110, section 5.6.2), which
// has neither blanks nor control characters.
func IsFieldName(b []byte) bool {
	for _, c := range b {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// isFieldValue reports whether b has no control character other than a tab.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
