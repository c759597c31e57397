// Package crashing keeps a request that crashes endpoints from reaching more of
// them. Each host tells the oldest one of the crashes that it sees; at the third
// one that host enters the request in the store, and all hosts refuse it while
// the entry stands.
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
	// crashes is the number of endpoints after which a request is refused.
	// Fewer would refuse those that happened to run on endpoints that died.
	crashThreshold = 3
	// memory is how long a crash counts.
	crashTTL = time.Minute
	// refusal is how long the entry in the store stands.
	refusalTTL = 2 * time.Minute
	// maxTrackedRequests bounds the requests that are counted.
	maxTrackedRequests = 4096
	// reportTimeout bounds the word to the oldest host, writeTimeout that to the store.
	reportTimeout = time.Second
	writeTimeout  = 2 * time.Second
	kindCrash     = "crash"
	// refusalKeyPrefix stands behind the system's own prefix in the store's keys.
	refusalKeyPrefix = "crashing/"
)

// Peers reaches the other hosts.
type Peers interface {
	Candidates() []string
	Self() string
	Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error)
	Handle(kind string, fn port.RequestHandler)
}

// Tracker counts crashes. It is safe for concurrent use.
type Tracker struct {
	peers     Peers
	store     port.WatchableStore
	keyPrefix string
	clock     port.Clock
	log       *slog.Logger

	mu       sync.Mutex
	requests map[suspect.Fingerprint]*trackedRequest
}

// count is the endpoints that a request crashed.
type trackedRequest struct {
	crashedAt map[string]time.Time
	refused   bool
}

// crash is what a host tells the oldest one.
type crashReport struct {
	Fingerprint suspect.Fingerprint `cbor:"1,keyasint"`
	Endpoint    string              `cbor:"2,keyasint"`
}

// New returns a list that counts nothing yet, and answers the other hosts.
// prefix begins the system's own keys in the store.
func New(peers Peers, feed port.WatchableStore, prefix string, clock port.Clock, log *slog.Logger) *Tracker {
	l := &Tracker{peers: peers, store: feed, keyPrefix: prefix, clock: clock, log: log, requests: make(map[suspect.Fingerprint]*trackedRequest)}
	peers.Handle(kindCrash, func(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
		var c crashReport
		if err := cbor.Unmarshal(payload, &c); err != nil {
			return nil, errors.Wrap(err, "decode crash")
		}
		l.recordCrash(c)
		return []byte{1}, nil
	})
	return l
}

// Fingerprint returns the fingerprint of an exchange: path, caller's key and body.
func Fingerprint(x *port.Exchange) suspect.Fingerprint {
	return suspect.NewFingerprint(x.APIKey, x.Host+x.Target, x.Body)
}

// RefusedFingerprint returns the fingerprint that a key of the store refuses, as text.
func RefusedFingerprint(key string) (string, bool) {
	_, print, ok := strings.Cut(key, refusalKeyPrefix)
	return print, ok
}

// ReportCrash takes in that an endpoint's connection broke while it ran the
// exchange. It does not wait.
func (l *Tracker) ReportCrash(x *port.Exchange, endpoint string) {
	c := crashReport{Fingerprint(x), endpoint}
	go func() {
		for _, host := range l.peers.Candidates() {
			if host == l.peers.Self() {
				l.recordCrash(c)
				return
			}
			payload, err := cbor.Marshal(c)
			if err != nil {
				l.log.Error("crash not told", slog.Any("error", err))
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			_, err = l.peers.Ask(ctx, host, kindCrash, payload)
			cancel()
			if err == nil {
				return
			}
		}
	}()
}

// take counts a crash, and enters the request in the store at the last one.
func (l *Tracker) recordCrash(c crashReport) {
	now := l.clock.Now()
	l.mu.Lock()
	n := l.requests[c.Fingerprint]
	if n == nil {
		if len(l.requests) >= maxTrackedRequests {
			l.pruneExpired(now)
		}
		n = &trackedRequest{crashedAt: make(map[string]time.Time)}
		l.requests[c.Fingerprint] = n
	}
	n.crashedAt[c.Endpoint] = now
	for e, at := range n.crashedAt {
		if now.Sub(at) > crashTTL {
			delete(n.crashedAt, e)
		}
	}
	enter := len(n.crashedAt) >= crashThreshold && !n.refused
	n.refused = n.refused || enter
	l.mu.Unlock()
	if enter {
		l.refuseRequest(c.Fingerprint)
	}
}

// forget drops what has not crashed anything lately. l.mu is held.
func (l *Tracker) pruneExpired(now time.Time) {
	for print, n := range l.requests {
		fresh := false
		for _, at := range n.crashedAt {
			fresh = fresh || now.Sub(at) <= crashTTL
		}
		if !fresh {
			delete(l.requests, print)
		}
	}
}

// enter has all hosts refuse the request.
func (l *Tracker) refuseRequest(print suspect.Fingerprint) {
	l.log.Warn("request crashes endpoints and is refused", slog.String("fingerprint", print.String()))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		lease, err := l.store.GrantLease(ctx, refusalTTL)
		if err == nil {
			_, err = l.store.CompareAndSwap(ctx, l.keyPrefix+refusalKeyPrefix+print.String(), []byte("{}"), 0, lease)
		}
		if err != nil && !errors.Is(err, port.ErrConflict) {
			l.log.Warn("refusal not entered in the store", slog.String("fingerprint", print.String()), slog.Any("error", err))
			l.mu.Lock()
			if n := l.requests[print]; n != nil {
				n.refused = false
			}
			l.mu.Unlock()
		}
	}()
}
