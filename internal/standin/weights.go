package standin

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"
)

// errWeightsLimited means that the weight store's rate limit refused a fetch.
var errWeightsLimited = errors.New("weight store: rate limited")

// WeightStore stands in for the platform's rate-limited weight store.
type WeightStore struct {
	limiter *rate.Limiter

	mu      sync.Mutex
	fetched map[string]int // by engine id
	refused int
}

// NewWeightStore returns a store that allows perSecond fetches per second, in
// bursts of up to burst.
func NewWeightStore(perSecond float64, burst int) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), fetched: make(map[string]int)}
}

// Fetch counts a fetch of weights for the engine with that id, or fails with
// errWeightsLimited.
func (w *WeightStore) Fetch(engine string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.limiter.AllowN(time.Now(), 1) {
		w.refused++
		return errWeightsLimited
	}
	w.fetched[engine]++
	return nil
}

// Fetched returns the number of successful fetches for the engine with that id.
func (w *WeightStore) Fetched(engine string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fetched[engine]
}

// Refused returns the number of refused fetches of all engines.
func (w *WeightStore) Refused() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused
}
