package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

const (
	// issuedPrefix starts every issued key; callers' own keys may not.
	issuedPrefix = "pk1_"
	// macBytes is the length of an issued key's MAC.
	macBytes = 16
	// issuedFixedBytes is the length of an issued key before the host's id.
	issuedFixedBytes = len(ulid.ULID{}) + 8 + macBytes
	// maxIssuedPerCustomer bounds the keys that a host issues to one
	// customer in a window.
	maxIssuedPerCustomer = 20_000
	// maxIssued bounds the keys that a host issues in a window.
	maxIssued = 60_000
)

// issuedKey is what an issued key says.
type issuedKey struct {
	id          ulid.ULID
	home        string
	incarnation uint64
}

func (k issuedKey) born() time.Time { return ulid.Time(k.id.Time()) }

// format returns the key's text, signed for one customer.
func (k issuedKey) format(customer string, secret []byte) string {
	raw := append([]byte(nil), k.id[:]...)
	raw = binary.BigEndian.AppendUint64(raw, k.incarnation)
	raw = append(raw, k.mac(customer, secret)...)
	raw = append(raw, k.home...)
	return issuedPrefix + base64.RawURLEncoding.EncodeToString(raw)
}

func (k issuedKey) mac(customer string, secret []byte) []byte {
	h := hmac.New(sha256.New, secret)
	body := hashParts([]byte("issued key"), []byte(customer), k.id[:],
		binary.BigEndian.AppendUint64(nil, k.incarnation), []byte(k.home))
	h.Write(body[:])
	return h.Sum(nil)[:macBytes]
}

// errForged means that a key was not issued by this fleet to this customer.
var errForged = errors.New("claim: not a key issued to this customer")

// parseIssued takes an issued key apart and checks its MAC.
func parseIssued(customer, key string, secret []byte) (issuedKey, error) {
	raw, err := base64.RawURLEncoding.DecodeString(strings.TrimPrefix(key, issuedPrefix))
	if err != nil || len(raw) <= issuedFixedBytes {
		return issuedKey{}, errForged
	}
	var k issuedKey
	idBytes := len(k.id)
	copy(k.id[:], raw)
	k.incarnation = binary.BigEndian.Uint64(raw[idBytes:])
	k.home = string(raw[issuedFixedBytes:])
	if !hmac.Equal(raw[idBytes+8:issuedFixedBytes], k.mac(customer, secret)) {
		return issuedKey{}, errForged
	}
	return k, nil
}

// issueLimiter counts the keys issued in the current and the last window, so
// that the memory that their runs take is bounded. It is safe for concurrent use.
type issueLimiter struct {
	mu        sync.Mutex
	windowEnd time.Time
	now, last map[string]int
}

// allow counts a key for the customer, unless the host or the customer has
// had its share within the window.
func (l *issueLimiter) allow(customer string, now time.Time, window time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.windowEnd) {
		l.turn(now, window)
	}
	if l.now[customer]+l.last[customer] >= maxIssuedPerCustomer || total(l.now)+total(l.last) >= maxIssued {
		return false
	}
	l.now[customer]++
	return true
}

func (l *issueLimiter) turn(now time.Time, window time.Duration) {
	l.last = l.now
	if now.After(l.windowEnd.Add(window)) {
		l.last = nil
	}
	l.now = make(map[string]int)
	l.windowEnd = now.Add(window)
}

func total(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// Issue returns a new key of this host for the customer. The key can be used
// within the claim window, through any host, also while the store is away.
// The error is a *verdict.Error with NotRun.
func (c *Claims) Issue(customer string) (string, error) {
	if c.draining.Load() {
		return "", verdict.New(verdict.CodeNotReady, verdict.NotRun, "this host is shutting down").WithRetryAfter(awayPause)
	}
	now := c.cfg.Clock.Now()
	if !c.limiter.allow(customer, now, c.window()) {
		return "", verdict.New(verdict.CodeShareExceeded, verdict.NotRun, "too many keys issued within the claim window").WithRetryAfter(time.Minute)
	}
	id, err := ulid.New(ulid.Timestamp(now), c.random)
	if err != nil {
		return "", verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "no random numbers")
	}
	self := c.self()
	k := issuedKey{id: id, home: self.ID, incarnation: self.Incarnation}
	return k.format(customer, c.cfg.Secret), nil
}
