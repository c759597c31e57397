// Package crashing keeps a request that crashes endpoints from reaching more of
// them. Each host reports the crashes that it detects to the first candidate for
// the coordinator that accepts the report. When a request has crashed
// crashThreshold endpoints within crashTTL, the host that received the reports
// writes an entry for the request to the store, and all hosts refuse the request
// until the entry expires.
package crashing

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/suspect"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// crashThreshold is the number of crashed endpoints from which a request is
	// refused. A lower one would refuse harmless requests that happened to run on
	// endpoints that crashed.
	crashThreshold = 3
	// crashTTL is how long a crash counts towards crashThreshold.
	crashTTL = time.Minute
	// refusalTTL is how long a request is refused: the TTL of the lease of its entry
	// in the store.
	refusalTTL = 2 * time.Minute
	// pruneThreshold is the number of tracked requests from which those without a
	// crash within crashTTL are pruned. It does not bound the tracked requests.
	pruneThreshold = 4096
	// reportTimeout bounds a report to one host, and writeTimeout the two store calls
	// that write an entry.
	reportTimeout = time.Second
	writeTimeout  = 2 * time.Second
	// kindCrashReport is the kind of peer requests that carry a crashReport.
	kindCrashReport = "crash"
	// refusalKeyPrefix is the prefix of the entries' keys, which end with the
	// fingerprint. It follows the prefix of pimentorill's own keys in the store.
	refusalKeyPrefix = "crashing/"
)

// Peers connects to the other hosts. *peering.Group implements it.
type Peers interface {
	// Candidates returns the ids of the candidates for the coordinator in order of
	// preference.
	Candidates() []string
	// Self returns this host's id.
	Self() string
	// Ask sends a request to another host and returns its response.
	Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error)
	// Handle sets the handler for requests of a kind.
	Handle(kind string, fn port.RequestHandler)
}

// Tracker tracks which requests crashed which endpoints. It is safe for concurrent
// use.
type Tracker struct {
	peers     Peers
	store     port.WatchableStore
	keyPrefix string
	clock     port.Clock
	log       *slog.Logger

	mu       sync.Mutex
	requests map[suspect.Fingerprint]*trackedRequest
}

// trackedRequest holds the crashes of one request.
type trackedRequest struct {
	// crashedAt holds when the request last crashed each endpoint, by endpoint id.
	crashedAt map[string]time.Time
	// refused is set before the entry that refuses the request is written, and reset
	// only if that fails. It stays set once the entry has expired.
	refused bool
}

// crashReport is the message that reports a crash to another host.
type crashReport struct {
	Fingerprint suspect.Fingerprint `cbor:"1,keyasint"`
	Endpoint    string              `cbor:"2,keyasint"`
}

// New returns a Tracker without crashes and registers its handler for the reports
// of other hosts with peers. keyPrefix is the prefix of pimentorill's own keys in
// the store.
func New(peers Peers, store port.WatchableStore, keyPrefix string, clock port.Clock, log *slog.Logger) *Tracker {
	t := &Tracker{peers: peers, store: store, keyPrefix: keyPrefix, clock: clock, log: log, requests: make(map[suspect.Fingerprint]*trackedRequest)}
	peers.Handle(kindCrashReport, func(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
		var c crashReport
		if err := cbor.Unmarshal(payload, &c); err != nil {
			return nil, errors.Wrap(err, "decode crash report")
		}
		t.recordCrash(c)
		return []byte{1}, nil
	})
	return t
}

// Fingerprint returns the fingerprint of an exchange's API key, host, target and
// body.
func Fingerprint(x *port.Exchange) suspect.Fingerprint {
	return suspect.NewFingerprint(x.APIKey, x.Host+x.Target, x.Body)
}

// RefusedFingerprint returns the fingerprint in the store key of an entry that
// refuses a request, as text, and reports whether the key is one of such an entry.
func RefusedFingerprint(key string) (string, bool) {
	_, fingerprint, ok := strings.Cut(key, refusalKeyPrefix)
	return fingerprint, ok
}

// ReportCrash reports that the connection to an endpoint broke while the endpoint
// may have run the exchange. It returns at once; the report is sent to the
// candidates in turn until one accepts it, and is lost if none does.
func (t *Tracker) ReportCrash(x *port.Exchange, endpoint string) {
	c := crashReport{Fingerprint(x), endpoint}
	go func() {
		for _, host := range t.peers.Candidates() {
			if host == t.peers.Self() {
				t.recordCrash(c)
				return
			}
			payload, err := cbor.Marshal(c)
			if err != nil {
				t.log.Error("crash report to other hosts not encoded", slog.Any("error", err))
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			_, err = t.peers.Ask(ctx, host, kindCrashReport, payload)
			cancel()
			if err == nil {
				return
			}
		}
	}()
}

// recordCrash records a crash that this host or another one reported, and has the
// request refused once crashThreshold is reached.
func (t *Tracker) recordCrash(c crashReport) {
	now := t.clock.Now()
	t.mu.Lock()
	request := t.requests[c.Fingerprint]
	if request == nil {
		if len(t.requests) >= pruneThreshold {
			t.pruneWithoutRecentCrash(now)
		}
		request = &trackedRequest{crashedAt: make(map[string]time.Time)}
		t.requests[c.Fingerprint] = request
	}
	request.crashedAt[c.Endpoint] = now
	for e, at := range request.crashedAt {
		if now.Sub(at) > crashTTL {
			delete(request.crashedAt, e)
		}
	}
	refuse := len(request.crashedAt) >= crashThreshold && !request.refused
	request.refused = request.refused || refuse
	t.mu.Unlock()
	if refuse {
		t.refuseRequest(c.Fingerprint)
	}
}

// pruneWithoutRecentCrash removes the requests without a crash within crashTTL.
// t.mu must be held.
func (t *Tracker) pruneWithoutRecentCrash(now time.Time) {
	for fingerprint, request := range t.requests {
		recent := false
		for _, at := range request.crashedAt {
			recent = recent || now.Sub(at) <= crashTTL
		}
		if !recent {
			delete(t.requests, fingerprint)
		}
	}
}

// refuseRequest starts to write the entry that makes all hosts refuse the request,
// and returns without waiting for the store. If the write fails, the next crash of
// the request starts another one.
func (t *Tracker) refuseRequest(fingerprint suspect.Fingerprint) {
	t.log.Warn("request crashes endpoints and is refused", slog.String("fingerprint", fingerprint.String()))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		lease, err := t.store.GrantLease(ctx, refusalTTL)
		if err == nil {
			_, err = t.store.CompareAndSwap(ctx, t.keyPrefix+refusalKeyPrefix+fingerprint.String(), []byte("{}"), 0, lease)
		}
		if err != nil && !errors.Is(err, port.ErrConflict) {
			t.log.Warn("refusal not written to the store", slog.String("fingerprint", fingerprint.String()), slog.Any("error", err))
			t.mu.Lock()
			if request := t.requests[fingerprint]; request != nil {
				request.refused = false
			}
			t.mu.Unlock()
		}
	}()
}
