package claim

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// load returns the document as last seen, or reads it.
func (w *shardWriter) load(addr address) (*cachedDocument, error) {
	if cached, ok := w.docs[addr]; ok {
		return cached, nil
	}
	if w.docs == nil {
		w.docs = make(map[address]*cachedDocument)
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	e, err := w.env.store.Get(ctx, addr.name())
	if errors.Is(err, port.ErrNotFound) {
		e, err = port.Entry{}, nil
	}
	if err != nil {
		return nil, err
	}
	d, err := decodeDocument(e.Value)
	if err != nil {
		return nil, err
	}
	cached := &cachedDocument{doc: d, revision: e.Revision, fresh: true}
	w.docs[addr] = cached
	return cached, nil
}

func (w *shardWriter) swap(addr address, prev uint64, d *document) (port.Entry, error) {
	value, err := d.encode()
	if err != nil {
		return port.Entry{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	return w.env.store.CompareAndSwap(ctx, addr.name(), prev, value, w.ttl(addr))
}

// ttl returns how long a document must outlive its last write: no key of it
// may be taken by any host after the document is gone.
func (w *shardWriter) ttl(addr address) time.Duration {
	if addr.bucket == undatedBucket {
		return w.env.retention + w.env.window()
	}
	left := max(0, addr.end().Sub(w.env.clock.Now()))
	return left + 4*w.env.window()
}

// remember keeps what a failed swap told of the document.
func (w *shardWriter) remember(addr address, current port.Entry, err error) {
	delete(w.docs, addr)
	if !errors.Is(err, port.ErrConflict) || current.Revision == 0 {
		return
	}
	d, decodeErr := decodeDocument(current.Value)
	if decodeErr == nil {
		w.docs[addr] = &cachedDocument{doc: d, revision: current.Revision, fresh: true}
	}
}
