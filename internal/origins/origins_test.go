package origins

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var originSeeds = flag.Int("origin-seeds", 3, "number of seeds of the fleet simulation")

// TestSingleVersionNeedsNoMessages guards against a cost for each stream while no version
// is being replaced.
func TestSingleVersionNeedsNoMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 4)
		f.versions["e1"] = "v1"
		f.start()
		defer f.end()
		for i := range 50 {
			f.hosts["edge-0"].followStore()
			is.True(f.hosts["edge-0"].begin(fmt.Sprint("s", i), "e1"))
		}
		is.Equal(f.asks, 0)
		// Another host resumes them, with one call of the store for all that arrive at the same
		// time, and so does one that has just started. One that is cut off can't know whether
		// another version has been registered since.
		f.followStore()
		calls := f.calls()
		var found sync.WaitGroup
		for i := range 50 {
			found.Go(func() { is.Equal(f.hosts["edge-3"].find(fmt.Sprint("s", i)), "v1") })
		}
		found.Wait()
		is.True(f.calls()-calls <= 8)
		f.change(func() { f.hosts["edge-1"].cutOff = true })
		f.hosts["edge-2"].start(false)
		time.Sleep(time.Second)
		is.Equal(f.hosts["edge-1"].find("s1"), "")
		is.Equal(f.hosts["edge-2"].find("s2"), "v1")
	})
}

// TestOriginOutlivesTheHostThatBeganTheStream guards against a record that is gone with its
// host.
func TestOriginOutlivesTheHostThatBeganTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 8)
		f.versions["e1"], f.versions["e2"] = "v1", "v2"
		f.start()
		defer f.end()
		is.True(f.hosts["edge-0"].begin("s1", "e1"))
		is.True(f.hosts["edge-0"].begin("s2", "e2"))
		f.stop("edge-0")
		for id, h := range f.hosts {
			if id != "edge-0" {
				is.Equal(h.find("s1"), "v1")
				is.Equal(h.find("s2"), "v2")
			}
		}
	})
}

// TestStreamsOfBeforeARolloutAreRecorded guards against refusing the streams that began
// without a record, shortly before another version was registered.
func TestStreamsOfBeforeARolloutAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 8)
		f.versions["e1"] = "v1"
		f.start()
		defer f.end()
		is.True(f.hosts["edge-0"].begin("s1", "e1"))
		is.Equal(f.asks, 0)
		f.change(func() { f.versions["e2"] = "v2" })
		f.followStore()
		time.Sleep(100 * time.Millisecond)
		f.stop("edge-0")
		for id, h := range f.hosts {
			if id != "edge-0" {
				is.Equal(h.find("s1"), "v1")
			}
		}
	})
}

// TestUnknownOriginIsNotGuessed guards against hosts that resume a stream though they can't
// know where it began.
func TestUnknownOriginIsNotGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 4)
		f.versions["e1"], f.versions["e2"] = "v1", "v2"
		f.start()
		defer f.end()
		is.Equal(f.hosts["edge-0"].find("nobody began it"), "")
		is.Equal(f.hosts["edge-0"].find(""), "")

		// A host knows a single version, but was cut off before another one came.
		f = newFleet(1, 4)
		f.versions["e1"] = "v1"
		f.start()
		defer f.end()
		f.change(func() { f.hosts["edge-3"].cutOff = true })
		time.Sleep(10 * time.Second)
		f.change(func() { f.versions["e2"] = "v2" })
		f.followStore()
		time.Sleep(100 * time.Millisecond) // until v2 has an entry
		is.True(f.hosts["edge-0"].begin("s2", "e2"))
		is.Equal(f.hosts["edge-3"].find("s2"), "")
		is.Equal(f.hosts["edge-1"].find("s2"), "v2")
	})
}

// TestHostThatLearnsLateDoesNotGuess guards against a host that has not learned of a new
// version yet and takes the former one for that of a stream whose record is lost.
func TestHostThatLearnsLateDoesNotGuess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 6)
		f.versions["e1"] = "v1"
		f.start()
		defer f.end()
		f.change(func() { f.versions["e2"] = "v2" })
		for id, h := range f.hosts {
			if id != "edge-5" {
				h.followStore()
			}
		}
		time.Sleep(500 * time.Millisecond)
		is.Equal(f.hosts["edge-5"].find("its record is lost"), "")
	})
}

// TestStreamIsResumedWhileTheStoreIsAway guards against refusing all streams that began
// before the store was lost.
func TestStreamIsResumedWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 8)
		f.versions["e1"] = "v1"
		f.start()
		defer f.end()
		is.True(f.hosts["edge-0"].begin("s1", "e1"))
		f.change(func() { f.storeDown = true })
		time.Sleep(10 * time.Second)
		is.Equal(f.hosts["edge-1"].find("s1"), "v1")
		is.True(f.hosts["edge-0"].begin("s2", "e1")) // now recorded
		is.Equal(f.hosts["edge-2"].find("s2"), "v1")
	})
}

// TestNoStreamMixesVersions plays rollouts while hosts are killed and started, one or all at
// once, are cut off from each other or the store, and the store is away. It guards against a stream that is
// resumed at another version than the one that began it, and against hosts in touch that
// resume less than half of the streams.
func TestNoStreamMixesVersions(t *testing.T) {
	for seed := range uint64(*originSeeds) {
		for _, hosts := range []int{8, 24} {
			t.Run(fmt.Sprintf("%d hosts, seed %d", hosts, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playRollouts(t, newFleet(seed, hosts)) })
			})
		}
	}
}

func playRollouts(t *testing.T, f *fleet) {
	const duration = 2 * time.Minute
	version := 1
	for i := range 9 {
		f.versions[fmt.Sprint("e", i)] = "v1"
	}
	f.start()
	defer f.end()
	var tasks sync.WaitGroup
	every := func(lo, hi time.Duration, run func()) {
		tasks.Go(func() {
			for end := time.Now().Add(duration); time.Now().Before(end); {
				f.mu.Lock()
				pause := lo + time.Duration(f.rng.Int64N(int64(hi-lo)))
				f.mu.Unlock()
				time.Sleep(pause)
				run()
			}
		})
	}
	for _, h := range f.hosts {
		every(20*time.Millisecond, 800*time.Millisecond, h.followStore)
	}
	replaced := 0
	every(time.Second, 3*time.Second, func() { // rollouts, with pauses
		f.mu.Lock()
		defer f.mu.Unlock()
		if replaced%9 == 0 && f.rng.IntN(8) > 0 {
			return
		}
		if replaced%9 == 0 {
			version++
		}
		delete(f.versions, fmt.Sprint("e", replaced))
		f.versions[fmt.Sprint("e", replaced+9)] = fmt.Sprint("v", version)
		replaced++
	})
	every(2*time.Second, 8*time.Second, func() { // troubles
		f.mu.Lock()
		ids := slices.Sorted(maps.Keys(f.hosts))
		h := f.hosts[ids[f.rng.IntN(len(ids))]]
		kind, length := f.rng.IntN(5), time.Duration(500+f.rng.IntN(12000))*time.Millisecond
		if h.down || h.cutOff || h.storeCut || f.storeDown {
			f.mu.Unlock()
			return
		}
		h.disturbedAt = time.Now()
		set := func(on bool) {
			switch kind {
			case 0, 1:
				h.down = on
			case 2:
				h.cutOff = on
			case 3:
				h.storeCut = on
			case 4:
				f.storeDown = on
				for _, o := range f.hosts {
					o.disturbedAt = time.Now()
				}
			}
		}
		set(true)
		f.mu.Unlock()
		tasks.Go(func() {
			time.Sleep(length)
			f.mu.Lock()
			h.disturbedAt = time.Now()
			set(false)
			f.mu.Unlock()
			if kind <= 1 {
				h.start(false)
			}
		})
	})
	every(20*time.Second, 50*time.Second, func() { // all hosts are killed at once
		f.mu.Lock()
		var killed []*fakeHost
		for _, h := range f.hosts {
			if !h.down {
				killed = append(killed, h)
				h.down, h.disturbedAt = true, time.Now()
			}
		}
		away := time.Duration(500+f.rng.IntN(2500)) * time.Millisecond
		f.mu.Unlock()
		time.Sleep(away)
		for _, h := range killed {
			f.change(func() { h.disturbedAt = time.Now() })
			h.start(false)
		}
	})
	begun, resumed, refused, inTouch, inTouchResumed := 0, 0, 0, 0, 0
	stream := 0
	every(10*time.Millisecond, 60*time.Millisecond, func() { // callers
		f.mu.Lock()
		stream++
		attempt := fmt.Sprint("stream-", stream)
		ids := slices.Sorted(maps.Keys(f.hosts))
		first, second := f.hosts[ids[f.rng.IntN(len(ids))]], f.hosts[ids[f.rng.IntN(len(ids))]]
		length := time.Duration(f.rng.IntN(6000)) * time.Millisecond
		up := !first.down
		f.mu.Unlock()
		if !up {
			return
		}
		tasks.Go(func() {
			endpoint, actual := first.pick()
			if endpoint == "" || !first.begin(attempt, endpoint) {
				return
			}
			time.Sleep(length)
			f.mu.Lock()
			up := !second.down
			ofVersion := 0
			for _, v := range f.versions {
				if v == actual {
					ofVersion++
				}
			}
			touch := time.Since(second.disturbedAt) > 3*time.Second && !second.cutOff && !second.storeCut && !f.storeDown
			f.mu.Unlock()
			if !up {
				return
			}
			found := second.find(attempt)
			f.mu.Lock()
			defer f.mu.Unlock()
			begun++
			switch found {
			case "":
				refused++
			case actual:
				resumed++
			default:
				t.Errorf("%s began at %s, and goes on at %s", attempt, actual, found)
			}
			if touch && ofVersion >= 2 {
				inTouch++
				if found != "" {
					inTouchResumed++
				}
			}
		})
	})
	tasks.Wait()
	t.Logf("%d streams taken up: %d resumed, %d refused; at hosts in touch %d of %d; %.1f requests between hosts for each stream",
		begun, resumed, refused, inTouchResumed, inTouch, float64(f.asks)/float64(stream))
	if inTouch >= 12 && 2*inTouchResumed < inTouch {
		t.Errorf("hosts in touch resumed %d of %d streams", inTouchResumed, inTouch)
	}
}

// pick returns an endpoint that the host knows and its version; empty if it knows none.
func (h *fakeHost) pick() (id, version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	usable := h.registry.MayBegin(h.snapshot.Usable["pool"])
	if len(usable) == 0 {
		return "", ""
	}
	e := usable[h.rng.IntN(len(usable))]
	return e.ID, e.SoftwareVersion
}

// TestHostOutOfStepDoesNotResumeStreams guards against a host that is cut off, or stood still,
// just before the first endpoint of a version is registered and takes its facts for those in
// force: the host that began the stream is gone with its record.
func TestHostOutOfStepDoesNotResumeStreams(t *testing.T) {
	for _, test := range []struct {
		name    string
		disturb func(h *fakeHost, on bool)
	}{
		{"cut off", func(h *fakeHost, on bool) { h.cutOff = on }},
		{"cut off from the other hosts, a late response of the store", func(h *fakeHost, on bool) { h.partitioned, h.lateFacts = on, on }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(3, 8)
				f.versions["e1"], f.versions["e2"] = "v1", "v1"
				f.start()
				defer f.end()
				time.Sleep(12 * time.Second)
				f.followStore()
				outOfStep := f.hosts["edge-6"]
				f.change(func() { test.disturb(outOfStep, true) })
				time.Sleep(200 * time.Millisecond)
				f.change(func() { f.versions["e3"] = "v2" })
				f.followStore()
				time.Sleep(200 * time.Millisecond)
				is.True(f.hosts["edge-7"].begin("s1", "e3"))
				time.Sleep(500 * time.Millisecond)
				f.followStore()
				f.change(func() { f.hosts["edge-7"].down = true })
				is.Equal(outOfStep.find("s1"), "")
				// Once it is in step again, the stream goes on.
				f.change(func() { test.disturb(outOfStep, false) })
				f.followStore()
				is.Equal(outOfStep.find("s1"), "v2")
			})
		})
	}
}

// TestStreamsGoOnAfterAllHostsWereLost guards against streams that are refused, or resumed at
// another version, because all hosts were killed at once and every record was in their memory.
func TestStreamsGoOnAfterAllHostsWereLost(t *testing.T) {
	for _, test := range []struct {
		name     string
		versions []string // of the endpoints when the streams begin
		left     string   // the version that has left when the hosts start again
	}{
		{"one version", []string{"v1", "v1"}, ""},
		{"two versions", []string{"v1", "v2"}, ""},
		{"the old version has just left", []string{"v1", "v2"}, "v1"},
		{"the new version is taken back", []string{"v1", "v2"}, "v2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(5, 8)
				f.versions["e1"], f.versions["e3"] = "v1", "v1"
				f.start()
				defer f.end()
				time.Sleep(12 * time.Second)
				f.followStore()
				actual := make(map[string]string)
				begin := func(stream string, host int, endpoint string) {
					actual[stream] = f.versions[endpoint]
					is.True(f.hosts[fmt.Sprint("edge-", host)].begin(stream, endpoint))
				}
				for i := range 16 {
					begin(fmt.Sprint("before-", i), i%8, "e1")
				}
				f.change(func() { f.versions["e2"], f.versions["e4"] = test.versions[1], test.versions[1] })
				f.followStore()
				time.Sleep(200 * time.Millisecond)
				f.followStore()
				for i := range 32 {
					begin(fmt.Sprint("during-", i), i%8, fmt.Sprint("e", 1+i%2))
				}
				time.Sleep(500 * time.Millisecond)
				f.change(func() {
					for _, h := range f.hosts {
						h.down = true
					}
					for id, version := range f.versions {
						if version == test.left {
							delete(f.versions, id)
						}
					}
				})
				time.Sleep(2600 * time.Millisecond)
				for _, h := range f.hosts {
					h.start(false)
				}
				time.Sleep(500 * time.Millisecond)
				f.followStore()
				for stream, version := range actual {
					is.Equal(f.hosts[fmt.Sprint("edge-", len(stream)%8)].find(stream), version)
				}
				is.Equal(f.hosts["edge-1"].find("nobody began it") == "", test.versions[1] == "v2")
			})
		})
	}
}

// TestRestoredStoreNamesNoSingleVersion guards against hosts that start with a store that was
// restored from an older copy, which lacks the entry of the newest version, and resume streams
// of that version at the one before.
func TestRestoredStoreNamesNoSingleVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(6, 8)
		f.versions["e1"] = "v1"
		f.start()
		defer f.end()
		time.Sleep(12 * time.Second)
		older := make(map[string]fakeEntry)
		f.change(func() {
			maps.Copy(older, f.entries)
			f.versions["e2"] = "v2"
		})
		f.followStore()
		time.Sleep(200 * time.Millisecond)
		f.followStore()
		is.True(f.hosts["edge-0"].begin("s1", "e2"))
		time.Sleep(time.Second)
		f.change(func() {
			for _, h := range f.hosts {
				h.down = true
			}
			f.entries, f.epoch = older, f.epoch+1
			delete(f.versions, "e2")
		})
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			h.start(false)
		}
		for range 20 {
			time.Sleep(time.Second)
			f.followStore()
			is.Equal(f.hosts["edge-3"].find("s1"), "")
		}
		time.Sleep(30 * time.Second) // until all streams of before have ended
		f.followStore()
		is.Equal(f.hosts["edge-3"].find("began later"), "v1")
	})
}

// TestEntryOfAFormerVersionIsRemoved guards against entries that stay for good, so that no
// version is ever the single one again.
func TestEntryOfAFormerVersionIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(7, 4)
		f.versions["e1"], f.versions["e2"] = "v1", "v2"
		f.start()
		defer f.end()
		time.Sleep(time.Second)
		f.change(func() { delete(f.versions, "e1") })
		for range 600 {
			time.Sleep(time.Second)
			f.followStore()
		}
		f.hosts["edge-0"].start(false)
		time.Sleep(time.Second)
		is.Equal(f.hosts["edge-0"].find("began later"), "v2")
		maps.DeleteFunc(f.entries, func(_ string, e fakeEntry) bool { return !f.holds(e) })
		is.Equal(len(f.entries), 1)
	})
}

// TestDoubtOfAnyHostHoldsForAll guards against a host that resumes a stream although the hosts that
// it asks know that the endpoint was another process, of another version, when the stream began.
func TestDoubtOfAnyHostHoldsForAll(t *testing.T) {
	for _, draining := range []bool{false, true} {
		t.Run(fmt.Sprint("draining ", draining), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(1, 8)
				f.versions["e1"], f.versions["e2"], f.versions["e3"] = "v1", "v1", "v2"
				f.start()
				defer f.end()
				is.True(f.hosts["edge-0"].begin("s1", "e1"))
				is.True(f.hosts["edge-0"].begin("s2", "e2"))
				f.change(func() {
					f.hosts["edge-7"].lateFacts = true
					f.versions["e1"], f.draining["e1"] = "v2", draining
				})
				f.followStore()
				f.stop("edge-0")
				for id, h := range f.hosts {
					if id != "edge-0" {
						is.Equal(h.find("s1"), "")
						is.Equal(h.find("s2"), "v1")
					}
				}
			})
		})
	}
}

// TestVersionThatIsOnlySeenDrainingCounts guards against hosts that take a version for the only one
// at which streams can have begun, though endpoints of another one are registered that get no new work.
func TestVersionThatIsOnlySeenDrainingCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 4)
		f.versions["e1"] = "v1"
		f.start()
		defer f.end()
		is.Equal(f.hosts["edge-0"].find("of another host"), "v1")
		f.change(func() { f.versions["e2"], f.draining["e2"] = "v2", true })
		f.followStore()
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.hosts["edge-0"].find("of another host"), "")
		f.change(func() { delete(f.versions, "e2") })
		f.followStore()
		is.Equal(f.hosts["edge-0"].find("of another host"), "")
		f.hosts["edge-2"].start(false) // knows it from the store
		is.Equal(f.hosts["edge-2"].find("of another host"), "")
	})
}
