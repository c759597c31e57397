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

// blockWords is the number of words in one block of a prompt.
const blockWords = 16

// maxBlocks bounds the blocks of a prompt that are looked at.
const maxBlocks = 64

// homeBlocks is the number of blocks that name a prompt's home endpoint when
// no cache is known to hold it.
const homeBlocks = 2

// The bound on imbalance: an endpoint is taken for its cache only while its
// load is at most imbalanceFactor times the average plus imbalanceSlack.
const (
	imbalanceFactor = 1.25
	imbalanceSlack  = 0.25
)

// Blocks returns the hashes of the whole blocks of a prompt, each over the
// block's words and all before them.
func Blocks(input json.RawMessage) []uint64 {
	var out []uint64
	h := xxhash.New()
	n := 0
	for word := range strings.FieldsSeq(promptOf(input)) {
		_, _ = h.WriteString(word)
		_, _ = h.WriteString("\x00")
		n++
		if n%blockWords == 0 {
			out = append(out, h.Sum64())
		}
		if len(out) == maxBlocks {
			break
		}
	}
	return out
}

// promptOf returns a JSON string's value, and any other JSON as its text.
func promptOf(input json.RawMessage) string {
	var s string
	if json.Unmarshal(input, &s) == nil {
		return s
	}
	return string(input)
}

// byPrefix returns the endpoint that is likely to hold the longest prefix of
// the prompt: by the index of caches, else the prompt's home by rendezvous
// hashing. It returns false for work without a prompt, and if all such
// endpoints are loaded beyond the bound.
func (p *Picker) byPrefix(g *group, w pipeline.AttemptInfo, options []option) (release.Endpoint, bool) {
	if !g.engine || p.index == nil {
		return release.Endpoint{}, false
	}
	blocks := Blocks(w.Input)
	if len(blocks) == 0 {
		return release.Endpoint{}, false
	}
	near := nearest(options)
	bound := loadBound(near)
	if o, ok := p.byIndex(near, blocks, bound); ok {
		return *o.endpoint, true
	}
	return home(near, blocks, bound)
}

// nearest returns the options of the nearest tier.
func nearest(options []option) []option {
	n := 1
	for n < len(options) && options[n].tier == options[0].tier {
		n++
	}
	return options[:n]
}

// loadBound returns the load up to which an endpoint is taken for its cache.
func loadBound(options []option) float64 {
	sum := 0.0
	for _, o := range options {
		sum += o.load
	}
	bound := imbalanceFactor*sum/float64(len(options)) + imbalanceSlack
	return min(bound, fullLoad)
}

// byIndex returns the least loaded of the endpoints whose cache is known to
// hold the longest prefix within the bound.
func (p *Picker) byIndex(options []option, blocks []uint64, bound float64) (option, bool) {
	var best option
	longest := 0
	for _, o := range options {
		if o.load >= bound || o.cold {
			continue
		}
		n := p.index.Held(o.endpoint.ID, blocks)
		if n > longest || n > 0 && n == longest && o.load < best.load {
			best, longest = o, n
		}
	}
	return best, longest > 0
}

// home returns the first endpoint within the bound in the order that
// rendezvous hashing gives for the prompt, so that all hosts agree.
func home(options []option, blocks []uint64, bound float64) (release.Endpoint, bool) {
	key := blocks[min(len(blocks), homeBlocks)-1]
	ranked := slices.Clone(options)
	slices.SortFunc(ranked, func(a, b option) int {
		return cmp.Compare(weight(key, b.endpoint.ID), weight(key, a.endpoint.ID))
	})
	for _, o := range ranked {
		if o.load < bound {
			return *o.endpoint, true
		}
	}
	return release.Endpoint{}, false
}

// weight returns the rendezvous weight of an endpoint for a key.
func weight(key uint64, id string) uint64 {
	return mix(key ^ xxhash.Sum64String(id))
}

// mix spreads the bits of x over the whole word.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= math.MaxUint64/3 | 1
	x ^= x >> 29
	x *= 0xff51afd7ed558ccd
	x ^= x >> 32
	return x
}
