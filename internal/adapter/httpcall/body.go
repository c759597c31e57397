package httpcall

import (
	"bufio"
	"io"
	"math"
	"net/http/httputil"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// lengthChunked and lengthUntilClose are the content lengths that fasthttp
	// returns for a chunked body and for one that ends with the connection.
	lengthChunked    = -1
	lengthUntilClose = port.LengthUntilClose
	// maxHeadersPerResponse limits the headers read for one response: those of the
	// interim responses (1xx) and that of the final one.
	maxHeadersPerResponse = 4
	// maxTrailerBytes limits the trailer after the last chunk.
	maxTrailerBytes = 4 << 10
)

// readHeader reads the header of the final response into resp and skips interim
// responses. headerTimeout bounds each of them. The error wraps ErrMalformedHeader if one is
// malformed.
func (c *conn) readHeader(resp *fasthttp.Response) error {
	for range maxHeadersPerResponse {
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		resp.Header.SetNoDefaultContentType(true)
		c.limitArrival(headerTimeout)
		head, err := c.peekHeader()
		c.limitArrival(0)
		if err != nil {
			return err
		}
		if err := validateHeader(head); err != nil {
			return err
		}
		if err := resp.Header.Read(c.reader); err != nil {
			return err
		}
		if status := resp.StatusCode(); status < 100 || status > 199 {
			return nil
		}
		resp.Header.Reset()
	}
	return errors.New("too many interim responses")
}

// attachBody sets a body stream on resp that returns io.EOF only after the
// complete body. fasthttp's own stream treats the end of the connection between
// two chunks as the end of the body. It sets no stream if the response has no body,
// which noBody says regardless of the header. The content length of a body that ends with the
// connection stays lengthUntilClose.
func (c *conn) attachBody(resp *fasthttp.Response, noBody bool) {
	r := c.reader
	status := resp.StatusCode()
	if noBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return
	}
	switch length := resp.Header.ContentLength(); length {
	case lengthChunked:
		resp.SetBodyStream(NewChunkedReader(r), -1)
	case lengthUntilClose:
		if c.reset { // no end is proper
			resp.SetBodyStream(&fixedLengthBody{r: r, remaining: math.MaxInt}, lengthUntilClose)
		} else {
			resp.SetBodyStream(r, lengthUntilClose)
		}
		resp.SetConnectionClose()
	default:
		resp.SetBodyStream(&fixedLengthBody{r: r, remaining: length}, length)
	}
}

// fixedLengthBody reads a body of a known length. It returns io.ErrUnexpectedEOF
// if the connection ends early.
type fixedLengthBody struct {
	r *bufio.Reader
	// remaining is the number of bytes not yet read.
	remaining int
}

// Read implements io.Reader.
func (b *fixedLengthBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	if err == io.EOF && b.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// NewChunkedReader returns a reader that decodes a chunked body from r. It returns
// io.EOF after the trailer, which it skips, io.ErrUnexpectedEOF if the connection
// ends early, and an error that wraps ErrMalformedBody if a chunk is malformed or the
// trailer too large.
func NewChunkedReader(r *bufio.Reader) io.Reader {
	return &chunkedReader{r: r, chunks: httputil.NewChunkedReader(r)}
}

// ErrMalformedBody means that a chunk of a chunked body is malformed or that its
// trailer is too large.
var ErrMalformedBody = errors.New("malformed chunk or trailer")

// chunkedReader decodes a chunked body and skips its trailer.
type chunkedReader struct {
	r      *bufio.Reader
	chunks io.Reader
	// err is returned by all further reads.
	err error
}

// Read implements io.Reader.
func (b *chunkedReader) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	var timeout interface{ Timeout() bool }
	switch {
	case err == io.EOF:
		err = b.skipTrailer()
	case err != nil && err != io.ErrUnexpectedEOF && !errors.As(err, &timeout):
		err = errors.Wrapf(ErrMalformedBody, "%v", err)
	}
	b.err = err
	return n, err
}

// skipTrailer reads up to the empty line that ends the trailer and returns io.EOF, or
// the error to be returned instead.
func (b *chunkedReader) skipTrailer() error {
	for remaining := maxTrailerBytes; remaining > 0; {
		line, err := b.r.ReadSlice('\n')
		switch {
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err == bufio.ErrBufferFull:
			return errors.Wrap(ErrMalformedBody, "trailer too large")
		case err != nil:
			return err
		}
		if len(line) <= 2 {
			return io.EOF
		}
		remaining -= len(line)
	}
	return errors.Wrap(ErrMalformedBody, "trailer too large")
}
