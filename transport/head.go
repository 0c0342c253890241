package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/valyala/fasthttp"
)

// ErrInvalidHead reports bytes that are not the head of an HTTP/1 response.
var ErrInvalidHead = errors.New("not the head of an HTTP/1 response")

// maxInterimHeads bounds the interim (1xx) responses before a response.
const maxInterimHeads = 100

// parseStatus returns the status code of a status line. The library that decodes the header takes
// any three digits for a status, 000 for 200, and any version of the protocol for HTTP/1.0.
func parseStatus(line []byte) (int, error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	if v := string(version); v != "HTTP/1.1" && v != "HTTP/1.0" || len(code) != 3 || !isFieldValue(rest) {
		return 0, fmt.Errorf("status line %.40q: %w", line, ErrInvalidHead)
	}
	status := 0
	for _, c := range code {
		if c < '0' || c > '9' {
			return 0, fmt.Errorf("status %q: %w", code, ErrInvalidHead)
		}
		status = 10*status + int(c-'0')
	}
	if status < fasthttp.StatusContinue || status == fasthttp.StatusSwitchingProtocols || status >= 600 {
		return 0, fmt.Errorf("status %q: %w", code, ErrInvalidHead)
	}
	return status, nil
}

// readHead reads the heads of interim responses and that of the response, and returns its status.
func readHead(r *bufio.Reader, h *fasthttp.ResponseHeader) (int, error) {
	for range maxInterimHeads {
		var c headChecker
		head, err := peekHead(r, &c)
		if err != nil {
			return 0, err
		}
		if err := checkFraming(head); err != nil {
			return 0, err
		}
		if err := h.Read(r); err != nil {
			return 0, err
		}
		if c.status >= fasthttp.StatusOK {
			return c.status, nil
		}
	}
	return 0, fmt.Errorf("more than %d interim responses: %w", maxInterimHeads, ErrInvalidHead)
}

// peekHead returns the next head, which it checks as it arrives, and leaves it in the buffer. The
// error wraps ErrTooLarge if the head does not fit into the buffer.
func peekHead(r *bufio.Reader, c *headChecker) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		_, err := r.Peek(n)
		b, _ := r.Peek(r.Buffered())
		if err := c.feed(b[c.bytes:]); err != nil {
			return nil, err
		}
		if c.done {
			return b[:c.bytes], nil
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("head of more than %d bytes: %w", len(b), ErrTooLarge)
		case errors.Is(err, io.EOF) && !isProtocolPrefix(b):
			return nil, fmt.Errorf("connection closed after %.40q: %w", b, ErrInvalidHead)
		case errors.Is(err, io.EOF) && len(b) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// checkFraming returns an error for a response of HTTP/1.0 with a transfer encoding, which that
// version does not have. The library ignores the field and would pass the chunks on as the body.
func checkFraming(head []byte) error {
	if !bytes.HasPrefix(head, []byte("HTTP/1.0")) {
		return nil
	}
	for field := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(field, []byte(":"))
		if strings.EqualFold(string(name), fasthttp.HeaderTransferEncoding) {
			return fmt.Errorf("HTTP/1.0 with a transfer encoding: %w", ErrInvalidHead)
		}
	}
	return nil
}

// isProtocolPrefix reports whether b may be the beginning of a status line.
func isProtocolPrefix(b []byte) bool {
	const protocol = "HTTP/1."
	n := min(len(b), len(protocol))
	return string(b[:n]) == protocol[:n]
}
