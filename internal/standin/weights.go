package standin

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"
)

// errWeightsLimited means that the weight store refused a fetch for its rate.
var errWeightsLimited = errors.New("weight store: rate limited")

// WeightStore stands in for the platform's rate-limited weight store.
type WeightStore struct {
	limit *rate.Limiter

	mu      sync.Mutex
	fetched map[string]int
	refused int
}

// NewWeightStore allows perSecond fetches a second, in bursts up to burst.
func NewWeightStore(perSecond float64, burst int) *WeightStore {
	return &WeightStore{limit: rate.NewLimiter(rate.Limit(perSecond), burst), fetched: make(map[string]int)}
}

// Fetch gets the weights of one model for an engine, or refuses.
func (w *WeightStore) Fetch(engine string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.limit.AllowN(time.Now(), 1) {
		w.refused++
		return errWeightsLimited
	}
	w.fetched[engine]++
	return nil
}

// Fetched returns the number of fetches of an engine.
func (w *WeightStore) Fetched(engine string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fetched[engine]
}

// Refused returns the number of fetches refused.
func (w *WeightStore) Refused() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused
}
