package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Phase is a part of a run with its own request rate.
type Phase struct {
	Name     string
	Duration time.Duration
	// PerSecond is the mean request rate; arrivals follow a Poisson process.
	PerSecond float64
	// OnStart is called before the phase's first request and delays it until it
	// returns; nil does nothing.
	OnStart func()
}

// SendFunc sends request n, counted from 1, and returns its cost in the unit of
// release.Price. The error is nil if the complete response arrived. It is called
// concurrently.
type SendFunc func(ctx context.Context, n int) (int64, error)

// PhaseResult holds the outcome of a phase's requests.
type PhaseResult struct {
	Name string
	// Sent counts the requests; InTime those with a response before their deadline.
	Sent, InTime int
	// Cost is the cost that SendFunc returned for all requests of the phase,
	// failed ones included.
	Cost int64
	// Latency is the latency of the requests with a response, late ones
	// included, in microseconds.
	Latency *hdrhistogram.Histogram
}

// Attainment is the fraction of requests with a response in time, 0 if none was
// sent.
func (r PhaseResult) Attainment() float64 { return float64(r.InTime) / float64(max(1, r.Sent)) }

// CostPerResponse is the cost of all requests divided by the number of responses in
// time, or the whole cost if there is none.
func (r PhaseResult) CostPerResponse() float64 { return float64(r.Cost) / float64(max(1, r.InTime)) }

// RunOpenLoop sends requests at the phases' rates, regardless of the progress of
// earlier ones, and waits for all of them. A request counts in the phase in which
// it was due, also if it ends later; the last one of a phase may be sent just after
// the phase's end. deadline is the latency up to which a response is in time.
func RunOpenLoop(ctx context.Context, phases []Phase, deadline time.Duration, seed uint64, send SendFunc) []PhaseResult {
	rng := rand.New(rand.NewPCG(seed, seed))
	results := make([]PhaseResult, len(phases))
	var mu sync.Mutex
	var wg sync.WaitGroup
	n := 0
	for i, p := range phases {
		// The histogram covers 1 microsecond to 1 minute with 3 significant digits.
		results[i] = PhaseResult{Name: p.Name, Latency: hdrhistogram.New(1, 60_000_000, 3)}
		if p.OnStart != nil {
			p.OnStart()
		}
		due := time.Now()
		end := due.Add(p.Duration)
		for due.Before(end) {
			due = due.Add(time.Duration(rng.ExpFloat64() / p.PerSecond * float64(time.Second)))
			time.Sleep(time.Until(due))
			n++
			number := n
			wg.Go(func() {
				started := time.Now()
				cost, err := send(ctx, number)
				took := time.Since(started)
				mu.Lock()
				defer mu.Unlock()
				results[i].add(cost, err, took, deadline)
			})
		}
	}
	wg.Wait()
	return results
}

func (r *PhaseResult) add(cost int64, err error, took, deadline time.Duration) {
	r.Sent++
	r.Cost += cost
	if err != nil {
		return
	}
	// RecordValue leaves out latencies above the histogram's range, one minute,
	// which is far past any deadline.
	_ = r.Latency.RecordValue(max(1, took.Microseconds()))
	if took <= deadline {
		r.InTime++
	}
}
