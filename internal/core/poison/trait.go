package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"sync"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/suspect"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Trait is what requests may have in common and what may crash endpoints: the request
// as a whole ("request/HEX") or a part of its prompt ("part/ID"). It is at most
// maxTraitSize bytes long and holds only letters, digits and "._:~/-", so that it can
// be used in keys, logs and metrics.
type Trait string

const (
	partPrefix    = "part/"
	requestPrefix = "request/"
	// hashedPrefix begins the hash that replaces an ID. It can't begin other IDs.
	hashedPrefix = "~"
	// maxIDSize is the size of an ID in bytes from which its hash replaces it, and
	// maxTraitSize that of the largest trait.
	maxIDSize    = 64
	maxTraitSize = len(requestPrefix) + maxIDSize
	// maxParts bounds the parts of a prompt that count.
	maxParts = 32
)

// PartTrait returns the trait of the requests with a part in their prompts. A hash
// replaces an ID that is long or holds other characters than letters, digits and
// "._:-".
func PartTrait(id string) Trait {
	if len(id) > maxIDSize || !isPlain(id) {
		hash := sha256.Sum256([]byte(id))
		id = hashedPrefix + hex.EncodeToString(hash[:16])
	}
	return Trait(partPrefix + id)
}

// RequestTrait returns the trait of the requests with a fingerprint.
func RequestTrait(f suspect.Fingerprint) Trait { return Trait(requestPrefix + f.String()) }

// Request is a request as the ledger knows it. It is safe for concurrent use.
type Request struct {
	exchange *port.Exchange
	traits   func() []Trait
}

// NewRequest returns the request that an exchange carries for a customer, whose name is empty
// if it is not known.
func NewRequest(customer string, x *port.Exchange) *Request {
	return &Request{exchange: x, traits: sync.OnceValue(func() []Trait { return traits(customer, x) })}
}

// ID returns the attempt id that the caller assigned.
func (r *Request) ID() string { return r.exchange.ID }

// Traits returns the traits without duplicates: the whole request by its customer, host,
// target and body, and the first parts of its prompt, 32 at most. API keys, which endpoints
// don't see, and spellings of host and target that mean the same make no difference. The last
// part doesn't count, as it belongs to the request alone, and neither do parts without an ID.
// The caller must not change the list.
func (r *Request) Traits() []Trait { return r.traits() }

// formerTrait returns the trait by which hosts of older builds know the whole request.
func (r *Request) formerTrait() Trait {
	x := r.exchange
	return RequestTrait(suspect.NewFingerprint(x.APIKey, x.Host+x.Target, x.Body))
}

func traits(customer string, x *port.Exchange) []Trait {
	whole := suspect.NewFingerprint(customer, catalog.CanonicalHost(x.Host)+canonicalTarget(x.Target), x.Body)
	list := []Trait{RequestTrait(whole)}
	seen := make(map[string]bool)
	for i, part := range x.Prompt {
		if i+1 == len(x.Prompt) || len(seen) == maxParts {
			break
		}
		if part.ID != "" && !seen[part.ID] {
			seen[part.ID] = true
			list = append(list, PartTrait(part.ID))
		}
	}
	return list
}

// canonicalTarget returns a request target in the normal form of RFC 3986, section 6.2.2:
// unreserved characters are not percent-encoded, and encodings are in upper case.
func canonicalTarget(target string) string {
	if !strings.Contains(target, "%") {
		return target
	}
	var b strings.Builder
	for i := 0; i < len(target); i++ {
		decoded, err := hex.DecodeString(target[min(i+1, len(target)):min(i+3, len(target))])
		switch {
		case target[i] != '%' || err != nil || len(decoded) != 1:
			b.WriteByte(target[i])
			continue
		case isUnreserved(decoded[0]):
			b.WriteByte(decoded[0])
		default:
			b.WriteString(strings.ToUpper(target[i : i+3]))
		}
		i += 2
	}
	return b.String()
}

func isUnreserved(c byte) bool { return isAlphanumeric(c) || strings.IndexByte("-._~", c) >= 0 }

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

func (t Trait) isRequest() bool { return strings.HasPrefix(string(t), requestPrefix) }

// threshold returns the number of crashes from which the trait is blamed.
func (t Trait) threshold() int {
	if t.isRequest() {
		return requestThreshold
	}
	return partThreshold
}

// valid reports whether PartTrait or RequestTrait may have returned the trait.
func (t Trait) valid() bool {
	if id, ok := strings.CutPrefix(string(t), partPrefix); ok {
		id, hashed := strings.CutPrefix(id, hashedPrefix)
		return isPlain(id) && len(id) <= maxIDSize && (!hashed || isHash(id))
	}
	id, ok := strings.CutPrefix(string(t), requestPrefix)
	return ok && isHash(id)
}

func isHash(id string) bool {
	hash, err := hex.DecodeString(id)
	return err == nil && len(hash) == 16
}

func isPlain(id string) bool {
	for i := range len(id) {
		if !isAlphanumeric(id[i]) && strings.IndexByte("._:-", id[i]) < 0 {
			return false
		}
	}
	return id != ""
}
