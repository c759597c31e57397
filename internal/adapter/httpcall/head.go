package httpcall

import (
	"bytes"
	"io"
	"regexp"
	"strconv"

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

// statusLine is the form of a status line; its groups are the status and the reason.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] ([0-9]{3})(?: (.*))?$`)

// validateStatusLine checks the first line of a header. The error wraps ErrMalformedHeader.
func validateStatusLine(line []byte) error {
	parts := statusLine.FindSubmatch(line)
	if parts != nil {
		status, _ := strconv.Atoi(string(parts[1]))
		if port.IsStatus(status) && port.IsFieldValue(parts[2]) {
			return nil
		}
	}
	return errors.Wrapf(ErrMalformedHeader, "status line %q", line)
}
