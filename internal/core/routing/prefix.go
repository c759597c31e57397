package routing

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
)

// wordsPerBlock is the number of words in one block of a prompt.
const wordsPerBlock = 16

// maxPromptBlocks limits how many blocks of a prompt are considered.
const maxPromptBlocks = 64

// hashKeyBlocks is the number of blocks at the start of a prompt that determine
// its endpoint by hashing when no cache is known to hold them.
const hashKeyBlocks = 2

// An endpoint is picked for its cache only while its load is below
// imbalanceFactor times the mean load plus imbalanceSlack, and below fullLoad.
// Loads are fractions of the slots.
const (
	imbalanceFactor = 1.25
	imbalanceSlack  = 0.25
)

// Blocks returns the hashes of a prompt's complete blocks, at most
// maxPromptBlocks of them. Each hash covers the block and all blocks before it.
func Blocks(input json.RawMessage) []uint64 {
	var out []uint64
	h := xxhash.New()
	n := 0
	for word := range strings.FieldsSeq(promptText(input)) {
		_, _ = h.WriteString(word)
		_, _ = h.WriteString("\x00")
		n++
		if n%wordsPerBlock == 0 {
			out = append(out, h.Sum64())
		}
		if len(out) == maxPromptBlocks {
			break
		}
	}
	return out
}

// promptText returns the value of a JSON string, or any other JSON as text.
func promptText(input json.RawMessage) string {
	var s string
	if json.Unmarshal(input, &s) == nil {
		return s
	}
	return string(input)
}

// pickByPrefix returns the endpoint of the nearest tier that is likely to have
// the longest prefix of the prompt cached: by the index of caches, otherwise by
// rendezvous hashing. It returns false if there is no index, the service's
// endpoints are not engines, the prompt has no complete block, or all endpoints
// of the tier have reached the load limit.
func (p *Picker) pickByPrefix(g *serviceEndpoints, info pipeline.AttemptInfo, candidates []candidate) (release.Endpoint, bool) {
	if !g.isEngine || p.index == nil {
		return release.Endpoint{}, false
	}
	blocks := Blocks(info.Input)
	if len(blocks) == 0 {
		return release.Endpoint{}, false
	}
	nearest := nearestTier(candidates)
	maxLoad := cacheLoadLimit(nearest)
	if c, ok := p.pickByIndex(nearest, blocks, maxLoad); ok {
		return *c.endpoint, true
	}
	return pickByHash(nearest, blocks, maxLoad)
}

// nearestTier returns the candidates of the nearest tier. There must be at
// least one candidate.
func nearestTier(candidates []candidate) []candidate {
	n := 1
	for n < len(candidates) && candidates[n].tier == candidates[0].tier {
		n++
	}
	return candidates[:n]
}

// cacheLoadLimit returns the load below which one of the candidates may be
// picked for its cache.
func cacheLoadLimit(candidates []candidate) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.load
	}
	maxLoad := imbalanceFactor*sum/float64(len(candidates)) + imbalanceSlack
	return min(maxLoad, fullLoad)
}

// pickByIndex returns the endpoint below the load limit whose cache holds the
// longest prefix according to the index; among equals, the least loaded. It
// skips cold endpoints. It returns false if no cache holds the first block.
func (p *Picker) pickByIndex(candidates []candidate, blocks []uint64, maxLoad float64) (candidate, bool) {
	var best candidate
	longest := 0
	for _, c := range candidates {
		if c.load >= maxLoad || c.cold {
			continue
		}
		n := p.index.CachedPrefix(c.endpoint.ID, blocks)
		if n > longest || n > 0 && n == longest && c.load < best.load {
			best, longest = c, n
		}
	}
	return best, longest > 0
}

// pickByHash returns the first endpoint below the load limit in the order that
// rendezvous hashing gives for the prompt, so that hosts with the same
// candidates agree. It returns false if no endpoint is below the limit.
func pickByHash(candidates []candidate, blocks []uint64, maxLoad float64) (release.Endpoint, bool) {
	key := blocks[min(len(blocks), hashKeyBlocks)-1]
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Compare(hashWeight(key, b.endpoint.ID), hashWeight(key, a.endpoint.ID))
	})
	for _, c := range ranked {
		if c.load < maxLoad {
			return *c.endpoint, true
		}
	}
	return release.Endpoint{}, false
}

// hashWeight returns the rendezvous hashing weight of an endpoint for a key.
func hashWeight(key uint64, id string) uint64 {
	return mixBits(key ^ xxhash.Sum64String(id))
}

// mixBits spreads the bits of x over the whole word.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= math.MaxUint64/3 | 1
	x ^= x >> 29
	x *= 0xff51afd7ed558ccd
	x ^= x >> 32
	return x
}
