package claim

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	// scenarioCount is the number of scenarios that TestAtMostOnce runs, unless the
	// flag rapid.checks is set.
	scenarioCount = 10_000
	// workerCount is the number of parallel subtests that share the scenarios.
	workerCount = 4
)

func TestMain(m *testing.M) {
	flag.Parse()
	setFlagDefault("rapid.checks", fmt.Sprint(scenarioCount/workerCount))
	setFlagDefault("rapid.seed", "4711")
	os.Exit(m.Run())
}

// setFlagDefault sets a flag that is not given on the command line.
func setFlagDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}

const (
	testWindow    = time.Minute
	testRetention = 4 * testWindow
	testCustomer  = "triglav"
)

// simulationStart is the start of each simulation in virtual time.
var simulationStart = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// submission is one submission of a request to a host.
type submission struct {
	// at is counted from the start of the scenario.
	at   time.Duration
	host int
	// key is the index of the key in the scenario.
	key int
	// otherInput means that the request differs from the key's usual one.
	otherInput bool
	fault      int
}

// keyKind is the kind of an idempotency key.
type keyKind int

const (
	keyUndated keyKind = iota
	keyDated
	keyIssued
)

// scenario is the input of one simulation.
type scenario struct {
	seed        uint64
	keys        []keyKind
	submissions []submission
	// outageAt is when the store's outage begins, counted from the start of the
	// scenario, and outageFor how long it lasts.
	outageAt  time.Duration
	outageFor time.Duration
	// faultPercent is the percentage of the store's writes whose responses are
	// lost. A quarter of it applies to the messages between hosts.
	faultPercent int
}

// pick draws a uniformly distributed number below n.
func pick(t *rapid.T, n int, label string) int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return rapid.SampledFrom(all).Draw(t, label)
}

func drawScenario(t *rapid.T) scenario {
	sc := scenario{seed: rapid.Uint64().Draw(t, "seed")}
	for range 1 + pick(t, 2, "keys") {
		sc.keys = append(sc.keys, keyKind(pick(t, 3, "kind")))
	}
	for range 2 + pick(t, 5, "submissions") {
		sc.submissions = append(sc.submissions, drawSubmission(t, len(sc.keys)))
	}
	sc.outageAt = time.Duration(pick(t, 400, "outage at")) * time.Millisecond
	sc.outageFor = []time.Duration{0, 0, 100 * time.Millisecond, 3 * time.Second}[pick(t, 4, "outage")]
	sc.faultPercent = []int{0, 20, 50}[pick(t, 3, "faults")]
	return sc
}

func drawSubmission(t *rapid.T, keyCount int) submission {
	s := submission{
		at:         time.Duration(pick(t, 400, "at")) * time.Millisecond,
		host:       pick(t, 3, "host"),
		key:        pick(t, keyCount, "key"),
		otherInput: pick(t, 10, "other") == 0,
	}
	if pick(t, 2, "faulty") == 0 {
		s.fault = pick(t, faultCount, "fault")
	}
	if pick(t, 8, "late") == 0 {
		s.at += []time.Duration{testWindow / 2, testWindow + time.Second, 3 * testWindow}[pick(t, 3, "by")]
	}
	return s
}

// runAllScenarios runs scenarioCount random scenarios in parallel subtests.
func runAllScenarios(t *testing.T) coverage {
	var mu sync.Mutex
	var total coverage
	t.Run("workers", func(t *testing.T) {
		for worker := range workerCount {
			t.Run(fmt.Sprint(worker), func(t *testing.T) {
				t.Parallel()
				runWorker(t, worker, func(c coverage) {
					mu.Lock()
					defer mu.Unlock()
					total.add(c)
				})
			})
		}
	})
	return total
}

// runWorker runs one worker's scenarios and passes the coverage of each to done.
// The leading draws give each worker different scenarios from the same seed.
func runWorker(t *testing.T, worker int, done func(coverage)) {
	rapid.Check(t, func(rt *rapid.T) {
		for range worker {
			rapid.Uint64().Draw(rt, "worker")
		}
		sc := drawScenario(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) {
			sim := newSimulation(sc)
			violations = sim.runScenario(sc)
			done(sim.coverage)
		})
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// Guards against a second run of a key and against a wrong response, for example
// not_run for a request that ran. The scenarios inject lost messages and writes,
// store outages, crashes and pauses of hosts. runScenario checks each scenario;
// the coverage shows that enough of them got that far.
func TestAtMostOnce(t *testing.T) {
	is := is.New(t)
	total := runAllScenarios(t)
	t.Logf("covered: %+v", total)
	is.True(total.runs > scenarioCount/2)
	is.True(total.replays > 0)
	is.True(total.rejectedNotRun > 0)
}

// Guards against a checker that cannot fail: each case breaks one guarantee, and
// the checker must report a violation.
func TestCheckerDetectsViolations(t *testing.T) {
	faulty := map[string]func(*simulation){
		"store without compare-and-swap":     func(sim *simulation) { sim.store.ignoreRevision, sim.net.lossPercent = true, 50 },
		"lost responses reported as not run": func(sim *simulation) { sim.reportLostAsNotRun = true },
	}
	for name, prepare := range faulty {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			violations := 0
			for seed := range uint64(200) {
				sc := concurrentScenario(seed)
				synctest.Test(t, func(*testing.T) {
					sim := newSimulation(sc)
					prepare(sim)
					violations += len(sim.runScenario(sc))
				})
			}
			is.True(violations > 0)
		})
	}
}

// concurrentScenario submits one key to each host, at random times within 400 ms;
// half of the submissions lose the service's response.
func concurrentScenario(seed uint64) scenario {
	random := newRandomSource(seed)
	sc := scenario{seed: seed, keys: []keyKind{keyDated}, faultPercent: 20}
	for host := range 3 {
		sc.submissions = append(sc.submissions, submission{
			at: time.Duration(random.intn(400)) * time.Millisecond, host: host, fault: faultLostResponse * random.intn(2),
		})
	}
	return sc
}
