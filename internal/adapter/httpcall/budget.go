package httpcall

import (
	"context"
	"io"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"
)

// smallBodyBytes is the size up to which a body takes nothing of a Budget.
const smallBodyBytes = 64 << 10

// Budget bounds the bodies of responses that are in memory at once, for all calls of a client
// together. It is safe for concurrent use.
type Budget struct {
	total int64
	taken *semaphore.Weighted
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(total int64) *Budget {
	return &Budget{total: total, taken: semaphore.NewWeighted(total)}
}

// ReadBody reads the complete body and passes it to use; the body is valid until use returns. Once more
// than smallBodyBytes have arrived, it waits until the budget has room for what the body may take, at most
// until the end of ctx. It returns ErrTooLarge if the body exceeds limit, or the whole budget, and the
// error of use.
func (b *Budget) ReadBody(ctx context.Context, resp *fasthttp.Response, limit int64, use func(raw []byte) error) error {
	limit = min(limit, b.total)
	body := resp.BodyStream()
	if body == nil {
		return use(nil)
	}
	raw, err := io.ReadAll(io.LimitReader(body, min(limit, smallBodyBytes)+1))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if int64(len(raw)) > smallBodyBytes && limit > smallBodyBytes {
		size := limit
		if length := int64(resp.Header.ContentLength()); length >= 0 {
			size = length
		}
		if size > limit {
			return ErrTooLarge
		}
		if err := b.taken.Acquire(ctx, size); err != nil {
			return err
		}
		defer b.taken.Release(size)
		whole := make([]byte, size+1) // no copies while it grows
		n := copy(whole, raw)
		for err = nil; n < len(whole) && err == nil; {
			var more int
			more, err = body.Read(whole[n:])
			n += more
		}
		if err != nil && err != io.EOF {
			return errors.Wrap(err, "read response")
		}
		raw = whole[:n]
	}
	if int64(len(raw)) > limit {
		return ErrTooLarge
	}
	return use(raw)
}
