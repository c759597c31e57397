package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

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

// Traits returns the traits of an exchange without duplicates: the whole request by its
// API key, host, target and body, and the first parts of its prompt, 32 at most. The
// last part doesn't count, as it belongs to the request alone, and neither do parts
// without an ID.
func Traits(x *port.Exchange) []Trait {
	traits := []Trait{RequestTrait(suspect.NewFingerprint(x.APIKey, x.Host+x.Target, x.Body))}
	seen := make(map[string]bool)
	for i, part := range x.Prompt {
		if i+1 == len(x.Prompt) || len(seen) == maxParts {
			break
		}
		if part.ID != "" && !seen[part.ID] {
			seen[part.ID] = true
			traits = append(traits, PartTrait(part.ID))
		}
	}
	return traits
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
		c := id[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("._:-", c) >= 0) {
			return false
		}
	}
	return id != ""
}
