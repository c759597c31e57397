package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

func engineAttempt(id, prompt string, tokens int) port.Attempt {
	input, _ := json.Marshal(prompt)
	return port.Attempt{
		ID:       id,
		Endpoint: release.Endpoint{ID: "e"},
		Service:  release.Service{Kind: release.KindEngine},
		Stage:    release.Stage{MaxTokens: tokens},
		Input:    input,
	}
}

// newDirectFor returns a Direct that reaches e under the id of engineAttempt.
func newDirectFor(e *Engine) *Direct {
	d := NewDirect()
	d.Add("e", e)
	return d
}

func TestSlotsAreGrantedByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := NewEngine(EngineConfig{BackendConfig: BackendConfig{StartsWarm: true}, TokenTime: time.Second})
		d := newDirectFor(e)
		var mu sync.Mutex
		var order []string
		var wg sync.WaitGroup
		for i, priority := range []int{3, 9, 1, 5} {
			wg.Go(func() {
				a := engineAttempt(fmt.Sprint(i), "x", 1)
				a.Priority = priority
				_, err := d.Call(t.Context(), a)
				is.NoErr(err)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, a.ID)
			})
			synctest.Wait()
		}
		wg.Wait()
		is.Equal(order, []string{"0", "2", "3", "1"}) // call 0 got the free slot at once
	})
}

func TestPrefixCacheIsBoundedAndItsEventsAreDelayedAndDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := NewEngine(EngineConfig{
			BackendConfig: BackendConfig{StartsWarm: true}, CacheBlocks: 2, CacheEventDelay: time.Minute,
		})
		d := newDirectFor(e)
		call := func(id, prompt string) port.Usage {
			got, err := d.Call(t.Context(), engineAttempt(id, prompt, 1))
			is.NoErr(err)
			return got.Usage
		}
		shared := strings.Repeat("guide ", BlockTokens)
		is.Equal(call("1", shared+"a").CachedTokens, int64(0))
		is.Equal(call("2", shared+"b").CachedTokens, int64(BlockTokens))
		is.Equal(call("2b", shared+"b").PromptTokens, int64(1)) // the last word fills no block
		is.Equal(len(e.CacheEvents(0).Events), 0)               // CacheEventDelay has not passed
		time.Sleep(time.Minute)
		is.Equal(len(e.CacheEvents(0).Events), 1) // the shared block was stored once
		e.DropCacheEvents(0.5, 7)
		call("3", strings.Repeat("other ", 20*BlockTokens)) // ten times the capacity
		is.Equal(e.CachedBlocks(), 2)
		time.Sleep(time.Minute)
		events := e.CacheEvents(0).Events
		last := events[len(events)-1].Sequence
		is.True(int(last) > len(events))                       // dropped events leave gaps in the sequence
		is.Equal(call("4", shared+"a").CachedTokens, int64(0)) // the shared block was evicted
	})
}

func TestCallsAboveColdLimitCrashTheEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := BackendConfig{Slots: 4, ColdLimit: 2, WarmAfter: 3, LoadReportDelay: time.Second}
		e := NewEngine(EngineConfig{BackendConfig: cfg, TokenTime: time.Minute})
		d := newDirectFor(e)
		run := func(n int) (failed int) {
			var wg sync.WaitGroup
			var mu sync.Mutex
			for i := range n {
				wg.Go(func() {
					_, err := d.Call(t.Context(), engineAttempt(fmt.Sprint(n, i), "x", 1))
					if err != nil {
						mu.Lock()
						failed++
						mu.Unlock()
					}
				})
				synctest.Wait()
			}
			wg.Wait()
			return failed
		}
		is.Equal(run(2), 0) // at ColdLimit
		is.Equal(run(1), 0) // the third completed call warms the endpoint
		is.Equal(e.Load().Cold, false)
		is.Equal(run(4), 0)
		e.TurnCold()
		is.Equal(run(3), 3) // one call above ColdLimit crashes all three
		is.Equal(e.Stats().UnreportedOverruns, 1)
		is.Equal(run(3), 3) // reported: the first overrun interrupted all three callers
		s := e.Stats()
		is.Equal(s.ColdOverruns, 2)
		is.Equal(s.UnreportedOverruns, 1)
		is.Equal(s.MaxColdCalls, 3)
	})
}

// TestAttemptChargesSumToTotal checks that the charges of all attempts sum to the
// total, whether they complete, time out, break off or crash, and that no work
// continues after its caller left.
func TestAttemptChargesSumToTotal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "calls")
		timeoutSeconds := rapid.SliceOfN(rapid.IntRange(0, 20), n, n).Draw(rt, "cancelAfter")
		crashAfterSeconds := rapid.IntRange(0, 30).Draw(rt, "crashAt")
		streamBreaks := rapid.IntRange(0, 3).Draw(rt, "breaks")
		synctest.Test(t, func(t *testing.T) {
			cfg := BackendConfig{Slots: 3, StartsWarm: true, ColdLimit: 20}
			e := NewEngine(EngineConfig{BackendConfig: cfg, TokenTime: time.Second, CacheBlocks: 8})
			d := newDirectFor(e)
			e.BreakStreams(streamBreaks, 2)
			var wg sync.WaitGroup
			for i, seconds := range timeoutSeconds {
				wg.Go(func() {
					// The millisecond keeps the deadline off the times of the tokens.
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(seconds)*time.Second+time.Millisecond)
					defer cancel()
					_, err := d.Call(ctx, engineAttempt(fmt.Sprint(i), "x", 10))
					if err != nil && verdict.From(err).Verdict == verdict.NotRun {
						t.Error("a call got not_run, want no refusals")
					}
				})
			}
			wg.Go(func() {
				time.Sleep(time.Duration(crashAfterSeconds) * time.Second)
				e.Crash()
			})
			wg.Wait()
			var sum port.Usage
			for i := range timeoutSeconds {
				u, ended, err := d.AttemptUsage(t.Context(), release.Endpoint{ID: "e"}, fmt.Sprint(i))
				if err != nil || !ended {
					t.Errorf("attempt %d: ended %v, %v", i, ended, err)
				}
				sum = sum.Add(u)
			}
			if sum != e.Charged() {
				t.Errorf("attempts %+v, total %+v", sum, e.Charged())
			}
			if l := e.Load(); l.Running != 0 || l.Waiting != 0 {
				t.Errorf("calls remain after all callers left: %+v", l)
			}
		})
	})
}
