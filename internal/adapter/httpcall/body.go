package httpcall

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

const (
	// lengthChunked and lengthUntilClose are fasthttp's marks for a body in
	// chunks and for one that ends with its connection.
	lengthChunked    = -1
	lengthUntilClose = -2
	// maxInterimResponses bounds the interim responses (1xx) before the final one.
	maxInterimResponses = 4
	// maxTrailerBytes bounds what follows the last chunk.
	maxTrailerBytes = 4 << 10
)

// readHeader reads the header of the final response.
func readHeader(r *bufio.Reader, resp *fasthttp.Response) error {
	for range maxInterimResponses {
		resp.Header.SetNoDefaultContentType(true)
		if err := resp.Header.Read(r); err != nil {
			return err
		}
		if status := resp.StatusCode(); status < 100 || status > 199 {
			return nil
		}
		resp.Header.Reset()
	}
	return errors.New("too many interim responses")
}

// attachBody gives resp a body stream that ends with io.EOF only after the
// whole body. fasthttp's own stream takes a connection that ends between two
// chunks for the end of the body.
func attachBody(r *bufio.Reader, resp *fasthttp.Response, none bool) {
	status := resp.StatusCode()
	if none || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return
	}
	switch length := resp.Header.ContentLength(); length {
	case lengthChunked:
		resp.SetBodyStream(NewChunkedReader(r), -1)
	case lengthUntilClose:
		resp.SetBodyStream(r, -1)
		resp.SetConnectionClose()
	default:
		resp.SetBodyStream(&fixedLengthBody{r: r, remaining: length}, length)
	}
}

// fixedLengthBody reads a body of a known length.
type fixedLengthBody struct {
	r         *bufio.Reader
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

// NewChunkedReader returns a reader of a body in chunks. It ends with io.EOF after
// the trailer, which it leaves out, and with ErrMalformedBody for what is no chunk.
func NewChunkedReader(r *bufio.Reader) io.Reader {
	return &chunkedReader{r: r, chunks: httputil.NewChunkedReader(r)}
}

// ErrMalformedBody means that a body in chunks can't be read.
var ErrMalformedBody = errors.New("chunk or trailer is malformed")

// chunkedReader reads a body in chunks with its trailer.
type chunkedReader struct {
	r      *bufio.Reader
	chunks io.Reader
	err    error
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

// skipTrailer reads to the empty line after the last chunk.
func (b *chunkedReader) skipTrailer() error {
	for left := maxTrailerBytes; left > 0; {
		line, err := b.r.ReadSlice('\n')
		if err != nil {
			return io.ErrUnexpectedEOF
		}
		if len(line) <= 2 {
			return io.EOF
		}
		left -= len(line)
	}
	return errors.Wrap(ErrMalformedBody, "trailer too large")
}
