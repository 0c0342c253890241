package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// ErrInvalidHead reports bytes that are not the head of an HTTP/1 response.
var ErrInvalidHead = errors.New("not the head of an HTTP/1 response")

// maxInterimHeads bounds the interim (1xx) responses before a response.
const maxInterimHeads = 100

// parseStatus returns the status code of a status line. The library that decodes the header takes
// any three digits for a status, 000 for 200, and any version of the protocol for HTTP/1.0.
func parseStatus(line []byte) (int, error) {
	version, rest, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	if v := string(version); v != "HTTP/1.1" && v != "HTTP/1.0" || len(code) != 3 {
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
		line, err := peekLine(r)
		if err != nil {
			return 0, err
		}
		status, err := parseStatus(line)
		if err != nil {
			return 0, err
		}
		if err := h.Read(r); err != nil {
			return 0, err
		}
		if status >= fasthttp.StatusOK {
			return status, nil
		}
	}
	return 0, fmt.Errorf("more than %d interim responses: %w", maxInterimHeads, ErrInvalidHead)
}

// peekLine returns the next line without its line feed and leaves it in the buffer. The error
// wraps ErrTooLarge if the line does not fit into the buffer.
func peekLine(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		_, err := r.Peek(n)
		b, _ := r.Peek(r.Buffered())
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			return b[:i], nil
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("status line of more than %d bytes: %w", len(b), ErrTooLarge)
		case errors.Is(err, io.EOF) && !isProtocolPrefix(b):
			return nil, fmt.Errorf("connection closed after %.40q: %w", b, ErrInvalidHead)
		case errors.Is(err, io.EOF) && len(b) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// isProtocolPrefix reports whether b may be the beginning of a status line.
func isProtocolPrefix(b []byte) bool {
	const protocol = "HTTP/1."
	n := min(len(b), len(protocol))
	return string(b[:n]) == protocol[:n]
}
