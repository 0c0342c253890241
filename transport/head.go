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
		if err := checkFraming(r, line); err != nil {
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
	return peekUntil(r, func(b []byte) int { return bytes.IndexByte(b, '\n') })
}

// peekUntil returns the next bytes up to the index that find returns for them, which is negative
// until they have arrived, and leaves them in the buffer.
func peekUntil(r *bufio.Reader, find func(b []byte) int) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		_, err := r.Peek(n)
		b, _ := r.Peek(r.Buffered())
		if i := find(b); i >= 0 {
			return b[:i], nil
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

// endOfHead returns the index of the empty line that ends a head, or a negative number.
func endOfHead(b []byte) int {
	crlf, lf := bytes.Index(b, []byte("\n\r\n")), bytes.Index(b, []byte("\n\n"))
	if crlf < 0 || lf >= 0 && lf < crlf {
		return lf
	}
	return crlf
}

// checkFraming returns an error for a response of HTTP/1.0 with a transfer encoding, which that
// version does not have. The library ignores the field and would pass the chunks on as the body.
func checkFraming(r *bufio.Reader, line []byte) error {
	if !bytes.HasPrefix(line, []byte("HTTP/1.0")) {
		return nil
	}
	head, err := peekUntil(r, endOfHead)
	if err != nil {
		return err
	}
	for field := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(field, []byte(":"))
		if strings.EqualFold(string(bytes.TrimSpace(name)), fasthttp.HeaderTransferEncoding) {
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
