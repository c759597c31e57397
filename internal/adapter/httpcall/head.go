package httpcall

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// ErrMalformedHeader means that the header of a response has a line that no server writes. What it
// says, and where the response ends, is not known.
var ErrMalformedHeader = errors.New("malformed response header")

// errHeaderTooLarge means that a header exceeds readBufferBytes.
var errHeaderTooLarge = errors.New("response header too large")

var (
	lineEnd   = []byte("\r\n")
	headerEnd = []byte("\r\n\r\n")
)

// peekHeader waits for a complete header and returns it unread, with its last empty line. It skips
// empty lines before it.
func (c *conn) peekHeader() ([]byte, error) {
	for wanted := 1; ; {
		_, err := c.reader.Peek(wanted)
		head, _ := c.reader.Peek(c.reader.Buffered())
		if bytes.HasPrefix(head, lineEnd) {
			_, _ = c.reader.Discard(len(lineEnd))
			wanted = 1
			continue
		}
		if end := bytes.Index(head, headerEnd); end >= 0 {
			return head[:end+len(headerEnd)], nil
		}
		switch {
		case err == io.EOF && len(head) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case len(head) == readBufferBytes:
			return nil, errHeaderTooLarge
		}
		wanted = len(head) + 1
	}
}

// validateHeader checks the lines of a complete header more strictly than fasthttp, which tolerates
// other names and statuses: a line that is read as another one may change which call the response
// belongs to, its outcome or its end. The error wraps ErrMalformedHeader.
func validateHeader(head []byte) error {
	lines := bytes.Split(bytes.TrimSuffix(head, headerEnd), lineEnd)
	if err := validateStatusLine(lines[0]); err != nil {
		return err
	}
	for _, line := range lines[1:] {
		name, value, ok := bytes.Cut(line, []byte(":"))
		switch {
		case !ok || !port.IsFieldName(name):
			return errors.Wrapf(ErrMalformedHeader, "field name %q", name)
		case !port.IsFieldValue(value):
			return errors.Wrapf(ErrMalformedHeader, "value of the field %s: %q", name, value)
		}
	}
	return nil
}

// validateStatusLine checks the first line of a header. The error wraps ErrMalformedHeader.
func validateStatusLine(line []byte) error {
	const version, status = "HTTP/1.", "200"
	rest, ok := bytes.CutPrefix(line, []byte(version))
	ok = ok && len(rest) >= len("1 ")+len(status) && isDigit(rest[0]) && rest[1] == ' '
	if ok {
		code, reason := rest[2:5], rest[5:]
		ok = code[0] >= '1' && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2]) && (len(reason) == 0 || reason[0] == ' ') && port.IsFieldValue(reason)
	}
	if !ok {
		return errors.Wrapf(ErrMalformedHeader, "status line %q", line)
	}
	return nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
