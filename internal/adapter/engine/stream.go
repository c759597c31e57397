package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// errStreamTooLarge means that a stream reached its size limit before its end, or that
// one of its lines exceeded maxLineBytes.
var errStreamTooLarge = errors.New("engine: stream too large")

// doneMarker is the data of the event that terminates a stream.
var doneMarker = []byte("[DONE]")

// chunk is the data of one event of a completion stream.
type chunk struct {
	Choices []choice    `json:"choices"`
	Usage   *port.Usage `json:"usage,omitempty"`
}

// choice is a part of the completion.
type choice struct {
	// Text is one token, or empty.
	Text string `json:"text"`
	// FinishReason is set in the last choice, nil in the others.
	FinishReason *string `json:"finish_reason"`
}

// eventReader parses server-sent events. It ignores all fields except data.
type eventReader struct {
	lines *bufio.Reader
	// data is the data of the current event. Its memory is reused for each event.
	data []byte
}

// newEventReader returns an eventReader that reads at most limit bytes from r and then
// fails with errStreamTooLarge.
func newEventReader(r io.Reader, limit int64) *eventReader {
	bounded := &io.LimitedReader{R: r, N: limit}
	return &eventReader{lines: bufio.NewReaderSize(&limitedReader{bounded}, maxLineBytes)}
}

// limitedReader returns errStreamTooLarge where an io.LimitedReader returns io.EOF.
type limitedReader struct{ r *io.LimitedReader }

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.r.N <= 0 {
		return 0, errStreamTooLarge
	}
	return l.r.Read(p)
}

// readEvent returns the data of the next event, which is valid until the next
// call. It returns io.EOF if the stream ended between events, io.ErrUnexpectedEOF if
// it ended within one, and errStreamTooLarge.
func (e *eventReader) readEvent() ([]byte, error) {
	e.data = e.data[:0]
	hasData := false
	for {
		line, err := e.readLine()
		if err != nil {
			if err == io.EOF && hasData {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return e.data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if hasData {
			e.data = append(e.data, '\n')
		}
		hasData = true
		e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
	}
}

// readLine returns the next line without its line ending. The line is valid until the
// next call.
func (e *eventReader) readLine() ([]byte, error) {
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

// readCompletion reads a completion stream of at most limit bytes into result and
// passes each token to onToken if it is not nil. It returns nil only if the engine
// sent a finish reason together with the usage, and then the done marker. After an
// error result holds the part received so far.
func readCompletion(r io.Reader, limit int64, result *port.AttemptResult, onToken func(string)) error {
	events := newEventReader(r, limit)
	var text []byte
	defer func() { result.Text = string(text) }()
	finished := false
	for {
		data, err := events.readEvent()
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		if bytes.Equal(data, doneMarker) {
			if !finished {
				return errors.New("stream ended without a finish reason and usage")
			}
			return nil
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return errors.Wrap(err, "decode stream event")
		}
		for _, ch := range c.Choices {
			if ch.Text != "" {
				text = append(text, ch.Text...)
				result.Tokens++
				if onToken != nil {
					onToken(ch.Text)
				}
			}
			finished = finished || (ch.FinishReason != nil && c.Usage != nil)
		}
		if c.Usage != nil {
			result.Usage = *c.Usage
		}
	}
}
