package claim

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// loadDocument returns the cached document, or reads it from the store and caches
// it. A document that does not exist is empty.
func (w *shardWriter) loadDocument(addr documentAddress) (*cachedDocument, error) {
	if cached, ok := w.cache[addr]; ok {
		return cached, nil
	}
	if w.cache == nil {
		w.cache = make(map[documentAddress]*cachedDocument)
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	e, err := w.shared.store.Get(ctx, addr.storeKey())
	if errors.Is(err, port.ErrNotFound) {
		e, err = port.Entry{Epoch: e.Epoch}, nil
	}
	if err != nil {
		return nil, err
	}
	d, err := decodeDocument(e.Value)
	if err != nil {
		return nil, err
	}
	cached := &cachedDocument{doc: d, revision: e.Revision, epoch: e.Epoch, fresh: true}
	w.cache[addr] = cached
	return cached, nil
}

// compareAndSwap writes the document if its revision is still that of prev, in the same
// epoch. On ErrConflict it returns the current entry.
func (w *shardWriter) compareAndSwap(addr documentAddress, prev *cachedDocument, d *document) (port.Entry, error) {
	value, err := d.encode()
	if err != nil {
		return port.Entry{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	return w.shared.store.CompareAndSwapInEpoch(ctx, prev.epoch, addr.storeKey(), prev.revision, value, w.ttl(addr))
}

// ttl returns the time to live of a document after a write. The document must not
// expire while any host still accepts one of its keys or uses a claim in it; see
// usableUntil.
func (w *shardWriter) ttl(addr documentAddress) time.Duration {
	if addr.bucket == undatedBucket {
		return w.shared.undatedRetention + w.shared.claimWindow()
	}
	left := max(0, addr.end().Sub(w.shared.clock.Now()))
	return left + 4*w.shared.claimWindow()
}

// cacheAfterFailure replaces the cached document after a failed write: with the
// current content if the write conflicted, otherwise with nothing.
func (w *shardWriter) cacheAfterFailure(addr documentAddress, current port.Entry, err error) {
	delete(w.cache, addr)
	if !errors.Is(err, port.ErrConflict) || current.Revision == 0 {
		return
	}
	d, decodeErr := decodeDocument(current.Value)
	if decodeErr == nil {
		w.cache[addr] = &cachedDocument{doc: d, revision: current.Revision, epoch: current.Epoch, fresh: true}
	}
}
