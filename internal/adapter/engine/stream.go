package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// errStreamTooLarge means that a stream went past the size limit.
var errStreamTooLarge = errors.New("engine: stream too large")

// doneMark is the data of the event that ends a stream.
var doneMark = []byte("[DONE]")

// chunk is the JSON of one event of a completion stream.
type chunk struct {
	Choices []choice    `json:"choices"`
	Usage   *port.Usage `json:"usage,omitempty"`
}

type choice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// eventReader reads server-sent events and yields their data.
type eventReader struct {
	lines *bufio.Reader
	data  []byte
}

// newEventReader reads at most limit bytes from r.
func newEventReader(r io.Reader, limit int64) *eventReader {
	bounded := &io.LimitedReader{R: r, N: limit}
	return &eventReader{lines: bufio.NewReaderSize(&limitError{bounded}, eventBufferBytes)}
}

// limitError turns the silent end of a LimitedReader into errStreamTooLarge.
type limitError struct{ r *io.LimitedReader }

func (l *limitError) Read(p []byte) (int, error) {
	if l.r.N <= 0 {
		return 0, errStreamTooLarge
	}
	return l.r.Read(p)
}

// next returns the data of the next event. It is valid until the next call.
// io.EOF means that the stream ended between events.
func (e *eventReader) next() ([]byte, error) {
	e.data = e.data[:0]
	seen := false
	for {
		line, err := e.line()
		if err != nil {
			if err == io.EOF && seen {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if seen {
				return e.data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if seen {
			e.data = append(e.data, '\n')
		}
		seen = true
		e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
	}
}

// line returns the next line without its end.
func (e *eventReader) line() ([]byte, error) {
	line, err := e.lines.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return nil, errStreamTooLarge
	}
	if err == io.EOF && len(line) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readCompletion reads a completion stream into a. It returns nil only if the
// engine gave a finish reason, its usage and the end mark.
func readCompletion(r io.Reader, limit int64, a *port.AttemptResult, onToken func(string)) error {
	events := newEventReader(r, limit)
	var text []byte
	defer func() { a.Text = string(text) }()
	finished := false
	for {
		data, err := events.next()
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		if bytes.Equal(data, doneMark) {
			if !finished {
				return errors.New("stream ended without a finish reason and usage")
			}
			return nil
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return errors.Wrap(err, "decode stream")
		}
		for _, ch := range c.Choices {
			if ch.Text != "" {
				text = append(text, ch.Text...)
				a.Tokens++
				if onToken != nil {
					onToken(ch.Text)
				}
			}
			finished = finished || (ch.FinishReason != nil && c.Usage != nil)
		}
		if c.Usage != nil {
			a.Usage = *c.Usage
		}
	}
}
