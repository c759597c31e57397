package suspect

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	harmlessRunTime    = 20 * time.Millisecond
	timeToCrash        = 10 * time.Millisecond
	restartTime        = 700 * time.Millisecond
	networkDelay       = time.Millisecond
	maxSendsPerRequest = 12
	maxAttemptsPerSend = 3
)

func sleep(d time.Duration) { <-time.After(d) }

// host is a simulated host.
type host struct {
	fleet  *fleet
	guard  *Guard
	mu     sync.Mutex
	failed bool
	// crashesUntilFailure is the number of observed crashes after which the host
	// fails; 0 means never.
	crashesUntilFailure int
}

func (h *host) hasFailed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failed
}

// observeCrash counts an endpoint crash and reports whether the host has
// failed by now.
func (h *host) observeCrash() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashesUntilFailure--
	if h.crashesUntilFailure == 0 {
		h.failed = true
		h.guard.Close()
	}
	return h.failed
}

// hostStore is the store as seen by one host; writes of a failed host return
// an error.
type hostStore struct {
	*memStore
	host *host
}

func (s hostStore) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if s.host.hasFailed() {
		return port.Entry{}, port.ErrUnavailable
	}
	return s.memStore.CompareAndSwap(ctx, key, prev, value, ttl)
}

func (s hostStore) Delete(ctx context.Context, key string, prev uint64) error {
	if s.host.hasFailed() {
		return port.ErrUnavailable
	}
	return s.memStore.Delete(ctx, key, prev)
}

// fleet simulates hosts that send requests to servers.
type fleet struct {
	store     *memStore
	hosts     []*host
	endpoints map[string]*simEndpoint
	rnd       *rand.Rand
	mu        sync.Mutex
	// guardsDisabled sends requests without consulting the guards.
	guardsDisabled  bool
	harmlessRefused int
	answered        int
	// unreported counts, by request, the crashes that a host observed without
	// reporting them, because it failed at the same moment.
	unreportedCrashes map[Fingerprint]int
}

func newFleet(seed uint64, hosts, servers int) *fleet {
	f := &fleet{
		store: &memStore{entries: make(map[string]port.Entry)}, endpoints: make(map[string]*simEndpoint),
		rnd: rand.New(rand.NewPCG(seed, 1)), unreportedCrashes: make(map[Fingerprint]int),
	}
	for i := range servers {
		f.endpoints[fmt.Sprintf("server-%d", i)] = &simEndpoint{crashed: make(chan struct{})}
	}
	for i := range hosts {
		h := &host{fleet: f}
		h.guard = New(Config{
			Host: fmt.Sprintf("host-%d", i), Store: hostStore{f.store, h}, Clock: port.SystemClock{},
			Probe: func(_ context.Context, e string) (port.LoadReport, error) {
				sleep(networkDelay)
				return f.endpoints[e].probe()
			},
			Broadcast: func(r Record) { f.broadcast(h, r) },
			Witness:   hostWitness{f, h, i},
		})
		f.hosts = append(f.hosts, h)
	}
	return f
}

// hostWitness implements Witness for one host.
type hostWitness struct {
	fleet *fleet
	host  *host
	index int
}

// witnessFor returns the request's witness: the first live host from a position
// that depends only on the fingerprint, so that all hosts ask the same two. A
// host at that position skips itself.
func (w hostWitness) witnessFor(f Fingerprint) *host {
	hosts := w.fleet.hosts
	for i := range hosts {
		if h := hosts[(int(f[0])+i)%len(hosts)]; !h.hasFailed() && (h != w.host || i > 0) {
			return h
		}
	}
	return nil
}

func (w hostWitness) Register(_ context.Context, a Attempt) []Attempt {
	if w.host.hasFailed() {
		return nil
	}
	sleep(2 * networkDelay)
	if h := w.witnessFor(a.Fingerprint); h != nil {
		return h.guard.WitnessAttempt(a)
	}
	return nil
}

func (w hostWitness) Unregister(a Attempt) {
	if h := w.witnessFor(a.Fingerprint); h != nil && !w.host.hasFailed() {
		h.guard.WitnessAttempt(a)
	}
}

func (w hostWitness) HostResponds(_ context.Context, host string) bool {
	sleep(2 * networkDelay)
	for i, h := range w.fleet.hosts {
		if fmt.Sprintf("host-%d", i) == host {
			return !h.hasFailed()
		}
	}
	return false
}

func (f *fleet) broadcast(from *host, r Record) {
	if from.hasFailed() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if r.State == Suspect && r.Endpoint != "" {
			f.unreportedCrashes[r.Fingerprint]++
		}
		return
	}
	sleep(networkDelay)
	for _, h := range f.hosts {
		if h != from {
			h.guard.Merge(r)
		}
	}
}

func (f *fleet) randIntN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.IntN(n)
}

func (f *fleet) randomLiveHost() *host {
	for {
		if h := f.hosts[f.randIntN(len(f.hosts))]; !h.hasFailed() {
			return h
		}
	}
}

// send sends a request through a host, which may retry it. It reports whether
// the request was answered.
func (f *fleet) send(h *host, fingerprint Fingerprint, poison bool) (answered bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	for range maxAttemptsPerSend {
		endpoint := f.pick(h, fingerprint)
		var crashed bool
		crashed, err = f.attempt(ctx, h, fingerprint, endpoint, poison)
		if h.hasFailed() {
			return false, nil
		}
		if err == nil && !crashed {
			return true, nil
		}
		if verdict.From(err) != nil && verdict.From(err).Code == verdict.CodeQuarantined {
			return false, err
		}
	}
	return false, err
}

// pick returns a random server, or a random trial endpoint if the request
// needs a trial.
func (f *fleet) pick(h *host, fingerprint Fingerprint) string {
	if f.guardsDisabled || !h.guard.NeedsTrial(fingerprint) {
		return fmt.Sprintf("server-%d", f.randIntN(len(f.endpoints)))
	}
	trials := TrialEndpoints(slices.Collect(maps.Keys(f.endpoints)))
	return trials[f.randIntN(len(trials))]
}

func (f *fleet) attempt(ctx context.Context, h *host, fingerprint Fingerprint, endpoint string, poison bool) (bool, error) {
	if f.guardsDisabled {
		return f.endpoints[endpoint].run(poison)
	}
	done, err := h.guard.Admit(ctx, fingerprint, endpoint)
	if err != nil {
		return false, err
	}
	crashed, err := f.endpoints[endpoint].run(poison)
	onTrial := h.guard.lookup(fingerprint).State == OnTrial
	if crashed && onTrial && h.observeCrash() {
		return true, nil
	}
	done(resultOf(crashed, err))
	if crashed && !onTrial {
		h.observeCrash()
	}
	return crashed, err
}

func resultOf(crashed bool, err error) AttemptResult {
	switch {
	case crashed:
		return Crashed
	case err != nil:
		return Inconclusive
	default:
		return Survived
	}
}

// sendRepeatedly sends a request through random hosts until it is answered, at
// most maxSendsPerRequest times.
func (f *fleet) sendRepeatedly(fingerprint Fingerprint, poison bool) {
	for range maxSendsPerRequest {
		sleep(time.Duration(f.randIntN(400)) * time.Millisecond)
		done, err := f.send(f.randomLiveHost(), fingerprint, poison)
		f.mu.Lock()
		if done {
			f.answered++
		}
		if err != nil && !poison && verdict.From(err).Code == verdict.CodeQuarantined {
			f.harmlessRefused++
		}
		f.mu.Unlock()
		if done {
			return
		}
		sleep(3 * time.Second)
	}
}

// fingerprintOf returns the fingerprint of request i; the first poisonCount
// requests crash endpoints.
func fingerprintOf(i int) Fingerprint {
	return NewFingerprint("triglav", "guidebook", fmt.Append(nil, i))
}

// fleetResult counts the outcomes of one simulation.
type fleetResult struct {
	crashes, harmlessRefused, answered int
	// unreported is the number of crashes by poison requests that no live host
	// learned of.
	unreportedCrashes int
}

const (
	poisonCount   = 3
	harmlessCount = 60
)

// simulateFleet sends poison and harmless requests through 8 hosts to 24
// servers.
func simulateFleet(seed uint64, guardsDisabled, hostsFail bool) (got fleetResult) {
	f := newFleet(seed, 8, 24)
	f.guardsDisabled = guardsDisabled
	for i, h := range f.hosts {
		if hostsFail && i < 3 {
			h.crashesUntilFailure = 1 + f.randIntN(3)
		}
	}
	var all sync.WaitGroup
	for i := range poisonCount + harmlessCount {
		all.Go(func() {
			f.sendRepeatedly(fingerprintOf(i), i < poisonCount)
		})
	}
	all.Wait()
	for _, s := range f.endpoints {
		got.crashes += s.crashCount()
	}
	for _, h := range f.hosts {
		h.guard.Close()
	}
	sleep(quarantineTTL)
	got.harmlessRefused, got.answered = f.harmlessRefused, f.answered
	for i := range poisonCount {
		got.unreportedCrashes += f.unreportedCrashes[fingerprintOf(i)]
	}
	return got
}

func TestPoisonRequestsCrashAtMostTwoEndpointsOnAverage(t *testing.T) {
	const seeds = 100
	for _, hostsFail := range []bool{false, true} {
		t.Run(fmt.Sprintf("hosts fail %v", hostsFail), func(t *testing.T) {
			is := is.New(t)
			worst, unguardedCrashes, crashes, answered, unreported := 0, 0, 0, 0, 0
			for seed := range uint64(seeds) {
				synctest.Test(t, func(*testing.T) {
					got := simulateFleet(seed, false, hostsFail)
					worst = max(worst, got.crashes-got.unreportedCrashes)
					unreported += got.unreportedCrashes
					crashes += got.crashes
					answered += got.answered
					is.Equal(got.harmlessRefused, 0)
				})
				synctest.Test(t, func(*testing.T) { unguardedCrashes += simulateFleet(seed, true, false).crashes })
			}
			t.Logf("endpoints crashed per poison request: %.2f, worst simulation %.2f without %d unreported crashes, %.2f without guards; harmless requests answered: %d of %d",
				float64(crashes)/seeds/poisonCount, float64(worst)/poisonCount, unreported, float64(unguardedCrashes)/seeds/poisonCount, answered, seeds*harmlessCount)
			is.True(worst <= 2*poisonCount)
			is.True(unguardedCrashes > 2*poisonCount*seeds)
			is.Equal(answered, seeds*harmlessCount)
		})
	}
}
