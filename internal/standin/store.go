package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// maxWatchWait bounds the wait of one long poll.
const maxWatchWait = time.Minute

// Store serves a MemStore over HTTP, by the store's protocol:
//
//	GET    /v1/kv/{key}                        200 entry, 404
//	GET    /v1/kv/{key}?after=REV&wait_ms=N    200 entry (revision 0: no such key), 304
//	GET    /v1/kv?prefix=P                     200 entries
//	PUT    /v1/kv/{key}?prev=REV&ttl_ms=N      200 entry, 409 current entry
//	DELETE /v1/kv/{key}?prev=REV               204, 409
//
// Responses with entries, and those to reads and writes of a key, have the header
// Store-Epoch. A PUT with epoch=N gets 409 in another epoch.
// 400 means a malformed request; 429 and 503 mean that nothing was done. A write
// with an unknown outcome aborts the connection. Values are base64 in JSON
// responses and raw in PUT bodies.
type Store struct {
	server
	*MemStore
}

// NewStore returns a server for mem. Start makes it reachable.
func NewStore(mem *MemStore) *Store {
	s := &Store{MemStore: mem}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv", s.handleList)
	mux.HandleFunc("GET /v1/kv/{key...}", s.handleGet)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.handlePut)
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.handleDelete)
	s.handler = mux
	return s
}

func (s *Store) handleList(w http.ResponseWriter, r *http.Request) {
	entries, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
	if len(entries) > 0 {
		setEpoch(w, entries[0])
	}
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, entries)
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("after") {
		s.handleWatch(w, r)
		return
	}
	entry, err := s.Get(r.Context(), r.PathValue("key"))
	setEpoch(w, entry)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, entry)
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, err1 := queryUint(r, "after")
	wait, err2 := queryUint(r, "wait_ms")
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer cancel()
	entry, err := s.Watch(ctx, r.PathValue("key"), after)
	setEpoch(w, entry)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, entry)
}

func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	prev, err1 := queryUint(r, "prev")
	ttl, err2 := queryUint(r, "ttl_ms")
	epoch, err3 := queryUint(r, "epoch")
	value, err4 := io.ReadAll(http.MaxBytesReader(w, r.Body, port.MaxValueBytes))
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	entry, err := s.CompareAndSwapInEpoch(r.Context(), int64(epoch), r.PathValue("key"), prev, value, time.Duration(ttl)*time.Millisecond)
	setEpoch(w, entry)
	if errors.Is(err, port.ErrConflict) {
		writeJSON(w, http.StatusConflict, entry)
		return
	}
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, entry)
}

func (s *Store) handleDelete(w http.ResponseWriter, r *http.Request) {
	prev, err := queryUint(r, "prev")
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := s.Delete(r.Context(), r.PathValue("key"), prev); err != nil {
		writeStoreError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// setEpoch adds the epoch in which the entry was read or written.
func setEpoch(w http.ResponseWriter, entry port.Entry) {
	if entry.Epoch != 0 {
		w.Header().Set("Store-Epoch", strconv.FormatInt(entry.Epoch, 10))
	}
}

// queryUint returns a query parameter, 0 if it is missing.
func queryUint(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 63)
}

// writeStoreError responds with the status for err. It aborts the connection for
// port.ErrUncertain. An ended context means that a watch timed out: 304.
func writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, port.ErrUncertain):
		abortConnection()
	case errors.Is(err, port.ErrRateLimited):
		w.WriteHeader(http.StatusTooManyRequests)
	case errors.Is(err, port.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, port.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, port.ErrConflict):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		w.WriteHeader(http.StatusNotModified)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}
