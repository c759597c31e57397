package origins

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// largeFleet returns a started fleet of hundreds of hosts, of which few watch the store, whose
// link is bounded, with endpoints of two versions.
func largeFleet(hosts int) *fleet {
	f := newFleet(8, hosts)
	for i := range 15 {
		f.watchers = append(f.watchers, fmt.Sprint("edge-", i*hosts/15))
	}
	f.link = 125_000_000
	for i := range 100 {
		f.versions[fmt.Sprint("e", i)] = fmt.Sprint("v", 1+i%2)
	}
	// What hosts have to know of endpoints, of other hosts and of the configuration.
	f.entries[ownKeyPrefix+"state"] = fakeEntry{value: make([]byte, 600*hosts)}
	f.start()
	return f
}

// beginStreams has each host begin a stream in each of some rounds, and returns the versions of
// those that began.
func (f *fleet) beginStreams(rounds int, pause time.Duration) map[string]string {
	actual := make(map[string]string)
	var mu sync.Mutex
	var begun sync.WaitGroup
	for round := range rounds {
		for i, id := range slices.Sorted(maps.Keys(f.hosts)) {
			h, stream, endpoint := f.hosts[id], fmt.Sprintf("%016x-%s-%d", round, id, time.Now().UnixMilli()), fmt.Sprint("e", (round*31+i*7)%100)
			delay := pause * time.Duration(i) / time.Duration(len(f.hosts))
			begun.Go(func() {
				time.Sleep(delay)
				if h.begin(stream, endpoint) {
					mu.Lock()
					defer mu.Unlock()
					actual[stream] = f.versions[endpoint]
				}
			})
		}
		time.Sleep(pause)
	}
	begun.Wait()
	return actual
}

// loseAll kills all hosts for some time.
func (f *fleet) loseAll(down time.Duration) {
	f.change(func() {
		for _, h := range f.hosts {
			h.down = true
		}
	})
	time.Sleep(down)
	f.change(func() { f.linkBytes = 0 })
}

// joinEmpty starts all hosts, which read what they have to know.
func (f *fleet) joinEmpty() {
	var joined sync.WaitGroup
	for _, h := range f.hosts {
		h.startEmpty(false)
		joined.Go(h.join)
	}
	joined.Wait()
}

// takeUp has hosts resume streams, at most a number of them, and returns how many go on. All
// that do must go on at their version.
func (f *fleet) takeUp(is *is.I, actual map[string]string, most int) int {
	resumed := 0
	var mu sync.Mutex
	var tasks sync.WaitGroup
	for i, stream := range slices.Sorted(maps.Keys(actual)) {
		if i*most/len(actual) == (i+1)*most/len(actual) && most < len(actual) {
			continue
		}
		h, delay := f.hosts[fmt.Sprint("edge-", i*7%len(f.hosts))], 800*time.Millisecond*time.Duration(i)/time.Duration(len(actual))
		tasks.Go(func() {
			time.Sleep(delay)
			found := h.find(stream)
			mu.Lock()
			defer mu.Unlock()
			if found != "" {
				resumed++
				is.Equal(found, actual[stream])
			}
		})
	}
	tasks.Wait()
	return resumed
}

// TestHundredsOfHostsStartAfterAllWereLost guards against hosts that start together and read so
// much of the streams' origins that no read ends within its time bound: they know nothing for
// seconds, refuse all requests, and then resume few streams.
func TestHundredsOfHostsStartAfterAllWereLost(t *testing.T) {
	for _, hosts := range []int{195, 360} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := largeFleet(hosts)
				defer f.end()
				time.Sleep(time.Second)
				f.followStore()
				// Streams begin for 25 s, some 1.3 a second at each host.
				actual := f.beginStreams(32, 800*time.Millisecond)
				time.Sleep(5 * time.Second)
				f.loseAll(2600 * time.Millisecond)
				startedAt := time.Now()
				f.joinEmpty()
				took := time.Since(startedAt)
				t.Logf("hosts know the state after %v", took)
				is.True(took < time.Second)
				resumed := f.takeUp(is, actual, 400)
				t.Logf("%d of 400 streams resumed; the store sent %d KB", resumed, f.linkBytes/1000)
				is.True(resumed >= 380)
			})
		})
	}
}

// TestStreamsOfTheLastMomentGoOn guards against hundreds of hosts that write the records of
// their streams so seldom that most of those under way when all hosts are lost are not in the
// store: many streams last no longer than a second.
func TestStreamsOfTheLastMomentGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := largeFleet(195)
		defer f.end()
		time.Sleep(time.Second)
		f.followStore()
		f.beginStreams(12, 250*time.Millisecond)
		calls := f.calls()
		streams := f.beginStreams(3, 250*time.Millisecond)
		t.Logf("%d streams began, %d calls of the store", len(streams), f.calls()-calls)
		f.loseAll(time.Second)
		f.joinEmpty()
		resumed := f.takeUp(is, streams, len(streams))
		t.Logf("%d of %d streams go on", resumed, len(streams))
		is.True(5*resumed >= 4*len(streams))
	})
}
