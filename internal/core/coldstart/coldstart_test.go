package coldstart

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	testHosts         = 4
	attemptsPerSecond = 5.0
	// faultsPerRun and maxFaultInterval, the longest time between two faults,
	// make a run of about three minutes of virtual time.
	faultsPerRun     = 25
	maxFaultInterval = 16 * time.Second
	// maxPause bounds a host's pause.
	maxPause = 40 * time.Second
)

// TestColdEndpointStaysWithinItsLimit runs random sequences of host pauses, host
// replacements and endpoint restarts, with lost and delayed messages. Each host's
// first attempt without a permit after an endpoint restart finds its connection
// closed, so no host reaches the new process without a sign of the restart.
func TestColdEndpointStaysWithinItsLimit(t *testing.T) {
	var answered, coldStartsEnded int
	rapid.Check(t, func(rt *rapid.T) {
		f := newTestFleet(rapid.Uint64().Draw(rt, "seed"), testHosts)
		f.chooseConditions()
		for _, h := range f.hosts {
			f.startLoad(h, attemptsPerSecond)
		}
		restartRate := f.rng.Float64()
		for range faultsPerRun {
			f.loop.RunUntil(f.loop.Now().Add(time.Duration(f.rng.Int64N(int64(maxFaultInterval)))))
			f.injectFault(restartRate)
			if f.server.overloads > 0 {
				rt.Fatalf("cold endpoint ran %d attempts at a time, its limit is %d", f.server.maxColdAttempts, testEndpoint.ColdLimit)
			}
		}
		answered += f.server.answeredTotal
		coldStartsEnded += f.server.coldStartsEnded
	})
	t.Logf("%d attempts answered, %d cold starts ended", answered, coldStartsEnded)
	is.New(t).True(coldStartsEnded > 0)
}

// chooseConditions draws the run's message loss, delays and attempt behaviour.
func (f *testFleet) chooseConditions() {
	f.lossRate = []float64{0, 0.02, 0.2}[f.rng.IntN(3)]
	f.maxDelay = []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}[f.rng.IntN(3)]
	f.maxPermitSlack = []time.Duration{2 * time.Second, MaxPermitLifetime - attemptTimeout}[f.rng.IntN(2)]
	f.server.closeRate = []float64{0, 0.05}[f.rng.IntN(2)]
	f.hangRate = []float64{0, 0.05, 0.5}[f.rng.IntN(3)]
	f.misroutedRate = []float64{0, 0.05, 0.25}[f.rng.IntN(3)]
}

// injectFault restarts the endpoint with probability restartRate, and otherwise
// pauses, delays the clock of or replaces a host.
func (f *testFleet) injectFault(restartRate float64) {
	if f.rng.Float64() < restartRate {
		f.server.restart()
		return
	}
	i := f.rng.IntN(testHosts)
	h := f.hosts[i]
	if f.holder != nil && f.rng.IntN(2) == 0 {
		h = f.holder
	}
	pause := time.Duration(f.rng.Int64N(int64(maxPause)))
	switch f.rng.IntN(4) {
	case 0:
		h.pausedUntil = f.loop.Now().Add(pause)
	case 1:
		h.pausedUntil = f.loop.Now().Add(pause / 8) // shorter than the lease's TTL
	case 2:
		// The host's clock stops during the pause and stays behind.
		if h.clockLag == 0 {
			h.clockLag = min(pause, MaxLeaseOverlap)
			h.pausedUntil = f.loop.Now().Add(h.clockLag)
		}
	default:
		f.replaceHost(i, attemptsPerSecond)
	}
}

// TestRestartedEndpointWarmsUpWithinItsLimit runs the same load on a cold endpoint
// with and without Limiters. With them it must become warm without a restart;
// without them it must get more attempts than its limit and answer fewer.
func TestRestartedEndpointWarmsUpWithinItsLimit(t *testing.T) {
	is := is.New(t)
	limited, unlimited := runWarmUp(t, testHosts, false), runWarmUp(t, testHosts, true)
	is.Equal(limited.server.overloads, 0)
	is.Equal(limited.server.lostAttempts, 0)
	is.True(!limited.server.cold)
	is.True(unlimited.server.overloads > 0)
	is.True(limited.server.answeredTotal > unlimited.server.answeredTotal)
}

// BenchmarkWarmUp logs the warm-up of an endpoint for different numbers of hosts
// at the same total load.
func BenchmarkWarmUp(b *testing.B) {
	for b.Loop() {
		for _, hosts := range []int{2, 4, 8, 16, 32} {
			runWarmUp(b, hosts, false)
		}
	}
}

// runWarmUp runs one minute of load on a cold endpoint that restarts when it gets
// more attempts than its limit. The total load is the same for each number of hosts.
func runWarmUp(t testing.TB, hosts int, unlimited bool) *testFleet {
	f := newTestFleet(5, hosts)
	f.unlimited = unlimited
	f.server.restartsOnOverload = true
	for _, h := range f.hosts {
		f.startLoad(h, attemptsPerSecond*testHosts/float64(hosts))
	}
	start := f.loop.Now()
	f.loop.RunUntil(start.Add(time.Minute))
	warm := "never"
	if !f.server.cold {
		warm = f.server.warmAt.Sub(start).Round(10 * time.Millisecond).String()
	}
	t.Logf("%d hosts, unlimited %v: warm after %s and %d permit requests, %d answered, %d lost in %d restarts, %d rejected",
		hosts, unlimited, warm, f.coldPermitRequests, f.server.answeredTotal, f.server.lostAttempts, f.server.incarnation, f.rejectedAttempts)
	return f
}
