package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// HostList stands in for the platform's host list, GET /v1/hosts. Readers see
// a list only some time after Set. HostList also implements port.HostList in process.
type HostList struct {
	server
	delay time.Duration

	mu       sync.Mutex
	versions []hostListVersion // oldest first
	outage   bool
}

// hostListVersion is a list and the time of its Set.
type hostListVersion struct {
	setAt time.Time
	hosts []port.ListedHost
}

// NewHostList returns an empty list whose changes become visible after delay.
func NewHostList(delay time.Duration) *HostList {
	h := &HostList{delay: delay}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		hosts, err := h.Hosts(r.Context())
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, http.StatusOK, hosts)
	})
	h.handler = mux
	return h
}

// Set replaces the list; readers see it after the delay. The first list is
// visible at once.
func (h *HostList) Set(hosts []port.ListedHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := time.Now()
	visible := h.visibleIndexLocked(at)
	h.versions = append(h.versions[max(visible, 0):], hostListVersion{setAt: at, hosts: slices.Clone(hosts)})
}

// visibleIndexLocked returns the index of the newest version that readers see at
// now, -1 if there is none. The caller holds mu.
func (h *HostList) visibleIndexLocked(now time.Time) int {
	for i := len(h.versions) - 1; i > 0; i-- {
		if !h.versions[i].setAt.After(now.Add(-h.delay)) {
			return i
		}
	}
	return min(len(h.versions), 1) - 1
}

// SetOutage switches an outage on or off. During an outage Hosts fails with
// port.ErrUnavailable, and the server responds 503.
func (h *HostList) SetOutage(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outage = on
}

// Hosts implements port.HostList.
func (h *HostList) Hosts(context.Context) ([]port.ListedHost, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage {
		return nil, errors.Wrap(port.ErrUnavailable, "standin: host list outage")
	}
	i := h.visibleIndexLocked(time.Now())
	if i < 0 {
		return []port.ListedHost{}, nil
	}
	return slices.Clone(h.versions[i].hosts), nil
}
