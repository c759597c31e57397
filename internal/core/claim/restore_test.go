package claim

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"github.com/pimentorill/pimentorill/internal/port"
)

// storeCopy is a copy of the store's data.
type storeCopy struct {
	entries   map[string]port.Entry
	expiresAt map[string]time.Time
	revision  uint64
}

func (s *memoryStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{maps.Clone(s.entries), maps.Clone(s.expiresAt), s.revision}
}

// restore replaces the store's data by those of a copy, and begins a new epoch.
func (s *memoryStore) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.expiresAt, s.revision = maps.Clone(c.entries), maps.Clone(c.expiresAt), c.revision
	s.epoch++
}

// restoreOnce replaces the store's entries, after some time, by those of now, as if it
// came back from an older copy.
func (sim *simulation) restoreOnce(after time.Duration) {
	c := sim.store.copy()
	sleep(after)
	sim.store.restore(c)
}

// violationsAfterRestore submits a key to one host, restores the store from a copy of
// before, and submits the key to another host.
func violationsAfterRestore(t *testing.T, kind keyKind) (violations []string) {
	sc := scenario{seed: 1, keys: []keyKind{kind}, submissions: []submission{{at: 100 * time.Millisecond, host: 0}, {at: 6 * time.Second, host: 1}}}
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(sc)
		go sim.restoreOnce(3 * time.Second)
		violations = sim.runScenario(sc)
	})
	return violations
}

// An issued key is run by the host that issued it, which remembers it without the store.
func TestIssuedKeyRunsOnceAcrossARestore(t *testing.T) {
	is := is.New(t)
	is.Equal(len(violationsAfterRestore(t, keyIssued)), 0)
}

// Guards against a second run of a key whose claim was acknowledged and then lost with
// the store's last seconds.
func TestCallersKeyRunsOnceAcrossARestore(t *testing.T) {
	for _, kind := range []keyKind{keyUndated, keyDated} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			is := is.New(t)
			violations := violationsAfterRestore(t, kind)
			t.Log(violations)
			is.Equal(len(violations), 0)
		})
	}
}

const (
	// restoreSeeds is the number of seeds of each kind of TestKeysRunOnceAcrossRestores.
	restoreSeeds = 200
	// troubledHost is the host that a scenario with restores pauses, kills, or runs in an
	// old build.
	troubledHost = 2
	// epochReadInterval is the time between two other calls of a host to the store.
	epochReadInterval = 2 * time.Second
	// returnMargin is the time after returnTimeout in which the last queries and writes end.
	returnMargin = 3 * time.Second
)

// restoreScenario is a scenario with restores of the store.
type restoreScenario struct {
	scenario
	restores []storeRestore
	trouble  hostTrouble
	// readsEpochs means that hosts make other calls to the store, so that they learn soon of
	// a restore.
	readsEpochs bool
	// oneShard means that all keys are in one shard, so that their documents are shared.
	oneShard bool
	// probeAt is when a new key must be served on each host that has no trouble.
	probeAt time.Duration
}

// storeRestore is a restore at some time from a copy of some age.
type storeRestore struct{ at, age time.Duration }

// hostTrouble is what happens to troubledHost.
type hostTrouble struct {
	at       time.Duration
	pausedBy time.Duration
	killed   bool
	oldBuild bool
}

// randomRestores returns a scenario with one or two restores in its first 20 seconds and
// submissions of six keys around them.
func randomRestores(seed uint64) (restoreScenario, *randomSource) {
	random := newRandomSource(seed + 1000)
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.intn(int((high-low)/time.Millisecond)))*time.Millisecond
	}
	sc := restoreScenario{scenario: scenario{seed: seed, faultPercent: []int{0, 0, 20}[random.intn(3)]}, readsEpochs: seed%2 == 0, oneShard: seed%4 < 2}
	first := storeRestore{at: between(time.Second, 12*time.Second)}
	first.age = min(first.at, between(0, 8*time.Second))
	sc.restores = append(sc.restores, first)
	if random.percent(50) {
		second := storeRestore{at: first.at + between(10*time.Millisecond, 8*time.Second)}
		second.age = min(second.at, between(0, 8*time.Second))
		sc.restores = append(sc.restores, second)
	}
	last := sc.restores[len(sc.restores)-1].at
	for key := range 6 {
		sc.keys = append(sc.keys, []keyKind{keyUndated, keyDated}[random.intn(2)])
		for range 2 + random.intn(5) {
			s := submission{key: key, host: random.intn(3), otherInput: random.percent(5)}
			lost := sc.restores[random.intn(len(sc.restores))]
			s.at = []time.Duration{
				between(lost.at-lost.age, lost.at+time.Millisecond), between(lost.at, lost.at+2*time.Second),
				between(0, last+20*time.Second), between(lost.at, last+20*time.Second),
			}[random.intn(4)]
			if random.percent(20) {
				s.fault = []int{faultRefused, faultLostRequest, faultLostResponse, faultSlowRun}[random.intn(4)]
			}
			sc.submissions = append(sc.submissions, s)
		}
	}
	sc.probeAt = last + epochReadInterval + returnTimeout + returnMargin
	sc.trouble.at = max(0, between(first.at-2*time.Second, last+time.Second))
	return sc, random
}

// keyInFirstShard returns the i-th key of a kind in the first shard.
func keyInFirstShard(i int, kind keyKind) string {
	for attempt := uint64(0); ; attempt++ {
		key := fmt.Sprintf("order-%d-%d", attempt, i)
		if kind == keyDated {
			key = ulid.MustNew(ulid.Now(), newRandomSource(attempt<<8+uint64(i))).String()
		}
		if parseCallerKey(testCustomer, key).addr.shard == 0 {
			return key
		}
	}
}

// run runs the scenario and returns its violations. Of the runs of a key, ranOn lists the
// hosts.
func (sc restoreScenario) run() (violations []string, ranOn map[string][]int, total coverage) {
	sim := newSimulation(sc.scenario)
	if sc.oneShard {
		for i, kind := range sc.keys {
			sim.keys[i] = keyInFirstShard(i, kind)
		}
	}
	if sc.trouble.oldBuild {
		sim.net.nodes[troubledHost].oldBuild = true
	}
	sc.submissions = slices.Clone(sc.submissions)
	for host := range 3 {
		if host != troubledHost || sc.trouble == (hostTrouble{at: sc.trouble.at}) {
			sc.submissions = append(sc.submissions, submission{at: sc.probeAt, host: host, key: len(sim.keys)})
			sim.keys = append(sim.keys, fmt.Sprintf("probe-%d", host))
		}
	}
	for _, r := range sc.restores {
		go func() {
			sleep(r.at - r.age)
			c := sim.store.copy()
			sleep(r.age)
			sim.store.restore(c)
		}()
	}
	for i := range sim.hosts {
		if !sc.readsEpochs {
			break
		}
		go sim.readEpochs(i, sc.probeAt)
	}
	go func() {
		sleep(sc.trouble.at)
		if sc.trouble.killed {
			sim.net.nodes[troubledHost].crash()
		}
		sim.net.nodes[troubledHost].pause(sc.trouble.pausedBy)
	}()
	violations = sim.runScenario(sc.scenario)
	ranOn = make(map[string][]int)
	for input, ids := range sim.service.runs {
		for _, id := range ids {
			key := keyOfInput(input)
			ranOn[key] = append(ranOn[key], sc.submissions[id].host)
		}
	}
	if sc.faultPercent == 0 && sc.readsEpochs {
		for i := range 3 {
			if probe := fmt.Sprintf("probe-%d", i); slices.Contains(sim.keys, probe) && len(ranOn[probe]) == 0 {
				violations = append(violations, probe+" was not served after the bound")
			}
		}
	}
	return violations, ranOn, sim.coverage
}

// isAnswerOfOldBuild reports whether a violation is a wrong not_run of a host of an old
// build, which claims a key whose claim is lost at once.
func (sc restoreScenario) isAnswerOfOldBuild(violation string) bool {
	for id, s := range sc.submissions {
		if sc.trouble.oldBuild && s.host == troubledHost && strings.Contains(violation, fmt.Sprintf("then submission %d was answered", id)) {
			return true
		}
	}
	return false
}

// readEpochs reads the store now and then, as a host does for other purposes.
func (sim *simulation) readEpochs(host int, until time.Duration) {
	node := sim.net.nodes[host]
	end := time.Now().Add(until)
	sleep(time.Duration(host) * epochReadInterval / 3)
	for time.Now().Before(end) && !node.isCrashed() {
		e, _ := hostStore{memoryStore: sim.store, host: node}.Get(context.Background(), "other")
		sim.hosts[host].ObserveEpoch(e.Epoch)
		sleep(epochReadInterval)
	}
}

// isUnprotected reports whether a scenario may run a key twice, or deny that it ran: it ran
// on troubledHost, whose claims nobody wrote again in time.
func (sc restoreScenario) isUnprotected(ranOn []int) bool {
	lost := sc.trouble.killed || sc.trouble.oldBuild || sc.trouble.pausedBy > returnTimeout
	return lost && slices.Contains(ranOn, troubledHost)
}

// Guards against a second run of a key whose claim a restore of the store lost, and
// against a wrong not_run, whenever the host that held the claim answers within the bound.
// Where it doesn't, only keys that it ran may run twice; each such kind shows that some
// do, so that the check can fail.
func TestKeysRunOnceAcrossRestores(t *testing.T) {
	kinds := []struct {
		name        string
		trouble     func(*hostTrouble, *randomSource)
		unprotected bool
	}{
		{"all hosts alive", func(*hostTrouble, *randomSource) {}, false},
		{"a host paused within the bound", func(h *hostTrouble, r *randomSource) {
			h.pausedBy = time.Duration(r.intn(int((returnTimeout-returnMargin)/time.Millisecond))) * time.Millisecond
		}, false},
		{"a host paused beyond the bound", func(h *hostTrouble, _ *randomSource) { h.pausedBy = returnTimeout + 10*time.Second }, true},
		{"a host killed", func(h *hostTrouble, _ *randomSource) { h.killed = true }, true},
		{"a host of an old build", func(h *hostTrouble, _ *randomSource) { h.oldBuild = true }, true},
	}
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var total coverage
			twice := 0
			for seed := range uint64(restoreSeeds) {
				sc, random := randomRestores(seed)
				kind.trouble(&sc.trouble, random)
				var violations []string
				var ranOn map[string][]int
				synctest.Test(t, func(*testing.T) {
					var covered coverage
					violations, ranOn, covered = sc.run()
					total.add(covered)
				})
				for key, hosts := range ranOn {
					if sc.isUnprotected(hosts) {
						twice += len(hosts) - 1
						violations = slices.DeleteFunc(violations, func(v string) bool { return strings.Contains(v, key) })
					}
				}
				violations = slices.DeleteFunc(violations, sc.isAnswerOfOldBuild)
				if len(violations) > 0 {
					t.Errorf("seed %d: %v, ran on %v, %+v %+v", seed, violations, ranOn, sc.restores, sc.trouble)
				}
			}
			t.Logf("covered: %+v, unprotected keys that ran twice: %d", total, twice)
			is.Equal(twice > 0, kind.unprotected)
			is.True(total.runs > restoreSeeds*5)
			is.True(total.replays > restoreSeeds*3)
		})
	}
}
