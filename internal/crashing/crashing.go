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
	crashes = 3
	// memory is how long a crash counts.
	memory = time.Minute
	// refusal is how long the entry in the store stands.
	refusal = 2 * time.Minute
	// maxRequests bounds the requests that are counted.
	maxRequests = 4096
	// tellTimeout bounds the word to the oldest host, writeTimeout that to the store.
	tellTimeout  = time.Second
	writeTimeout = 2 * time.Second
	kindCrash    = "crash"
	// keyPart stands behind the system's own prefix in the store's keys.
	keyPart = "crashing/"
)

// Peers reaches the other hosts.
type Peers interface {
	Candidates() []string
	Self() string
	Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error)
	Handle(kind string, fn port.RequestHandler)
}

// List counts crashes. It is safe for concurrent use.
type List struct {
	peers  Peers
	feed   port.WatchableStore
	prefix string
	clock  port.Clock
	log    *slog.Logger

	mu     sync.Mutex
	counts map[suspect.Fingerprint]*count
}

// count is the endpoints that a request crashed.
type count struct {
	endpoints map[string]time.Time
	entered   bool
}

// crash is what a host tells the oldest one.
type crash struct {
	Print    suspect.Fingerprint `cbor:"1,keyasint"`
	Endpoint string              `cbor:"2,keyasint"`
}

// New returns a list that counts nothing yet, and answers the other hosts.
// prefix begins the system's own keys in the store.
func New(peers Peers, feed port.WatchableStore, prefix string, clock port.Clock, log *slog.Logger) *List {
	l := &List{peers: peers, feed: feed, prefix: prefix, clock: clock, log: log, counts: make(map[suspect.Fingerprint]*count)}
	peers.Handle(kindCrash, func(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
		var c crash
		if err := cbor.Unmarshal(payload, &c); err != nil {
			return nil, errors.Wrap(err, "decode crash")
		}
		l.take(c)
		return []byte{1}, nil
	})
	return l
}

// Print returns the fingerprint of an exchange: path, caller's key and body.
func Print(x *port.Exchange) suspect.Fingerprint {
	return suspect.NewFingerprint(x.APIKey, x.Host+x.Target, x.Body)
}

// Refused returns the fingerprint that a key of the store refuses, as text.
func Refused(key string) (string, bool) {
	_, print, ok := strings.Cut(key, keyPart)
	return print, ok
}

// Crashed takes in that an endpoint's connection broke while it ran the
// exchange. It does not wait.
func (l *List) Crashed(x *port.Exchange, endpoint string) {
	c := crash{Print(x), endpoint}
	go func() {
		for _, host := range l.peers.Candidates() {
			if host == l.peers.Self() {
				l.take(c)
				return
			}
			payload, err := cbor.Marshal(c)
			if err != nil {
				l.log.Error("crash not told", slog.Any("error", err))
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
			_, err = l.peers.Ask(ctx, host, kindCrash, payload)
			cancel()
			if err == nil {
				return
			}
		}
	}()
}

// take counts a crash, and enters the request in the store at the last one.
func (l *List) take(c crash) {
	now := l.clock.Now()
	l.mu.Lock()
	n := l.counts[c.Print]
	if n == nil {
		if len(l.counts) >= maxRequests {
			l.forget(now)
		}
		n = &count{endpoints: make(map[string]time.Time)}
		l.counts[c.Print] = n
	}
	n.endpoints[c.Endpoint] = now
	for e, at := range n.endpoints {
		if now.Sub(at) > memory {
			delete(n.endpoints, e)
		}
	}
	enter := len(n.endpoints) >= crashes && !n.entered
	n.entered = n.entered || enter
	l.mu.Unlock()
	if enter {
		l.enter(c.Print)
	}
}

// forget drops what has not crashed anything lately. l.mu is held.
func (l *List) forget(now time.Time) {
	for print, n := range l.counts {
		fresh := false
		for _, at := range n.endpoints {
			fresh = fresh || now.Sub(at) <= memory
		}
		if !fresh {
			delete(l.counts, print)
		}
	}
}

// enter has all hosts refuse the request.
func (l *List) enter(print suspect.Fingerprint) {
	l.log.Warn("request crashes endpoints and is refused", slog.String("fingerprint", print.String()))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		lease, err := l.feed.GrantLease(ctx, refusal)
		if err == nil {
			_, err = l.feed.CompareAndSwap(ctx, l.prefix+keyPart+print.String(), []byte("{}"), 0, lease)
		}
		if err != nil && !errors.Is(err, port.ErrConflict) {
			l.log.Warn("refusal not entered in the store", slog.String("fingerprint", print.String()), slog.Any("error", err))
			l.mu.Lock()
			if n := l.counts[print]; n != nil {
				n.entered = false
			}
			l.mu.Unlock()
		}
	}()
}
