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
	// issuedPrefix is the prefix of every issued key. Callers' own keys must not
	// start with it.
	issuedPrefix = "pk1_"
	// macBytes is the length of an issued key's MAC.
	macBytes = 16
	// issuedHeaderBytes is the length of the decoded key before the issuer's ID:
	// a ULID, the incarnation in 8 bytes, and the MAC.
	issuedHeaderBytes = len(ulid.ULID{}) + 8 + macBytes
	// maxIssuedKeysPerCustomer limits the keys that a host issues to one customer
	// within two claim windows.
	maxIssuedKeysPerCustomer = 20_000
	// maxIssuedKeys limits the keys that a host issues within two claim windows.
	maxIssuedKeys = 60_000
)

// issuedKey is the decoded content of an issued key.
type issuedKey struct {
	id ulid.ULID
	// issuer is the ID of the host that issued the key.
	issuer string
	// incarnation is the issuer's incarnation when it issued the key.
	incarnation uint64
}

// createdAt returns the key's timestamp, which is the time at which it was issued.
func (k issuedKey) createdAt() time.Time { return ulid.Time(k.id.Time()) }

// encode returns the key as text, signed for the customer.
func (k issuedKey) encode(customer string, secret []byte) string {
	raw := append([]byte(nil), k.id[:]...)
	raw = binary.BigEndian.AppendUint64(raw, k.incarnation)
	raw = append(raw, k.mac(customer, secret)...)
	raw = append(raw, k.issuer...)
	return issuedPrefix + base64.RawURLEncoding.EncodeToString(raw)
}

// mac returns the truncated HMAC of the customer and of the key's id, incarnation
// and issuer.
func (k issuedKey) mac(customer string, secret []byte) []byte {
	h := hmac.New(sha256.New, secret)
	body := hashParts([]byte("issued key"), []byte(customer), k.id[:],
		binary.BigEndian.AppendUint64(nil, k.incarnation), []byte(k.issuer))
	h.Write(body[:])
	return h.Sum(nil)[:macBytes]
}

// errNotIssuedToCustomer means that a key is malformed or that its MAC does not
// match the customer.
var errNotIssuedToCustomer = errors.New("claim: not a key issued to this customer")

// parseIssuedKey decodes an issued key and verifies its MAC. The error is
// errNotIssuedToCustomer.
func parseIssuedKey(customer, key string, secret []byte) (issuedKey, error) {
	raw, err := base64.RawURLEncoding.DecodeString(strings.TrimPrefix(key, issuedPrefix))
	if err != nil || len(raw) <= issuedHeaderBytes {
		return issuedKey{}, errNotIssuedToCustomer
	}
	var k issuedKey
	idBytes := len(k.id)
	copy(k.id[:], raw)
	k.incarnation = binary.BigEndian.Uint64(raw[idBytes:])
	k.issuer = string(raw[issuedHeaderBytes:])
	if !hmac.Equal(raw[idBytes+8:issuedHeaderBytes], k.mac(customer, secret)) {
		return issuedKey{}, errNotIssuedToCustomer
	}
	return k, nil
}

// issueLimiter limits the keys issued in the current and the previous window, to
// bound the memory used by the runs of issued keys, which only the issuing host
// keeps. It is safe for concurrent use.
type issueLimiter struct {
	mu sync.Mutex
	// windowEnd is the end of the current window.
	windowEnd time.Time
	// current and previous count the keys issued in a window, by customer.
	current, previous map[string]int
}

// allow counts a key for the customer and returns true, unless the limit of the
// host or of the customer is reached.
func (l *issueLimiter) allow(customer string, now time.Time, window time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.windowEnd) {
		l.rotate(now, window)
	}
	if l.current[customer]+l.previous[customer] >= maxIssuedKeysPerCustomer || total(l.current)+total(l.previous) >= maxIssuedKeys {
		return false
	}
	l.current[customer]++
	return true
}

// rotate starts a new window at now. The caller holds mu.
func (l *issueLimiter) rotate(now time.Time, window time.Duration) {
	l.previous = l.current
	if now.After(l.windowEnd.Add(window)) {
		l.previous = nil
	}
	l.current = make(map[string]int)
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
// within the claim window, on any host, even while the store is unavailable.
// The error is a *verdict.Error with NotRun.
func (c *Claims) Issue(customer string) (string, error) {
	if c.draining.Load() {
		return "", verdict.New(verdict.CodeNotReady, verdict.NotRun, "this host is shutting down").WithRetryAfter(storeFailurePause)
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
	k := issuedKey{id: id, issuer: self.ID, incarnation: self.Incarnation}
	return k.encode(customer, c.cfg.SigningSecret), nil
}
