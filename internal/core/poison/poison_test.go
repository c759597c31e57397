package poison_test

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/poison"
	"github.com/pimentorill/pimentorill/internal/core/suspect"
	"github.com/pimentorill/pimentorill/internal/port"
)

type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *manualClock { return &manualClock{now: time.Unix(100_000, 0)} }

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newLedger(c *manualClock) *poison.Ledger {
	return poison.New(poison.Config{Clock: c, Log: slog.New(slog.DiscardHandler)})
}

// incarnation returns the i-th of a number of endpoints of a service.
func incarnation(service string, i int) *catalog.Endpoint {
	return &catalog.Endpoint{ID: fmt.Sprint("e", i), Service: service, StartedUnixMs: 1}
}

const (
	badPart  = poison.Trait("part/bad")
	goodPart = poison.Trait("part/good")
	// requestThreshold is the number of crashes from which a whole request is blamed.
	requestThreshold = 3
)

var (
	badRequestTrait   = poison.RequestTrait(suspect.NewFingerprint("triglav", "/bad", nil))
	soundRequestTrait = poison.RequestTrait(suspect.NewFingerprint("triglav", "/sound", nil))
)

func traitsOf(traits ...poison.Trait) []poison.Trait { return traits }

// crash records crashes of the endpoints from..to-1 of service "pool".
func crash(l *poison.Ledger, from, to int, traits ...poison.Trait) {
	for i := from; i < to; i++ {
		l.Crashed(incarnation("pool", i), traits)
	}
}

func isBlamed(l *poison.Ledger, traits ...poison.Trait) bool {
	_, blamed := l.Blamed(traits)
	return blamed
}

// crashesUntilBlamed returns how many crashes it takes until a trait is blamed.
func crashesUntilBlamed(trait poison.Trait) int {
	l := newLedger(newClock())
	for n := 1; ; n++ {
		crash(l, n, n+1, trait)
		if isBlamed(l, trait) {
			return n
		}
	}
}

var partThreshold = crashesUntilBlamed(badPart)

// Guards against traits that are blamed too early, or not.
func TestBlameAfterCrashesOfDifferentIncarnations(t *testing.T) {
	is := is.New(t)
	l := newLedger(newClock())
	is.True(l.Idle())
	for range 10 { // one crash, noticed by several requests
		crash(l, 0, 1, badPart, goodPart)
	}
	is.True(!l.Idle())
	crash(l, 1, partThreshold-1, badPart)
	is.True(!isBlamed(l, badPart))
	e := incarnation("pool", 0)
	e.StartedUnixMs = 2 // the same endpoint, started anew
	l.Crashed(e, traitsOf(badPart))
	blame, blamed := l.Blamed(traitsOf(goodPart, badPart))
	is.True(blamed)
	is.Equal(blame.Trait, badPart)
	is.Equal(blame.Crashes, partThreshold)
	is.True(!isBlamed(l, goodPart))
	is.Equal(l.Blames(), []poison.Blame{blame})
	is.Equal(crashesUntilBlamed(poison.RequestTrait(suspect.Fingerprint{})), 3)
}

// Guards against sound parts that are blamed because requests with them run beside
// crashing ones.
func TestCompletedResponseClears(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	l := newLedger(clock)
	crash(l, 0, partThreshold-1, goodPart, badPart)
	clock.advance(5 * time.Second)
	l.Completed("pool", traitsOf(goodPart))
	clock.advance(5 * time.Second)
	crash(l, 10, 10+partThreshold-1, goodPart, badPart)
	is.True(!isBlamed(l, goodPart))
	is.True(isBlamed(l, badPart))
	crash(l, 20, 21, goodPart)
	is.True(isBlamed(l, goodPart))
	l.Completed("pool", traitsOf(goodPart)) // it began before the blame
	is.True(!isBlamed(l, goodPart))
}

// Guards against clears at one service that end the blame for crashes at another.
func TestClearConcernsOneService(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	l := newLedger(clock)
	crash(l, 0, partThreshold, badPart)
	l.Crashed(incarnation("other", 0), traitsOf(badPart))
	clock.advance(time.Second)
	l.Completed("other", traitsOf(badPart))
	l.Completed("third", traitsOf(badPart))
	blame, blamed := l.Blamed(traitsOf(badPart))
	is.True(blamed)
	is.Equal(blame.Crashes, partThreshold)
}

// Guards against crashes of long ago that add up.
func TestEvidenceBelowThresholdExpires(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	l := newLedger(clock)
	crash(l, 0, partThreshold-1, badPart)
	clock.advance(10*time.Minute + time.Second)
	is.Equal(len(l.Blames()), 0)
	is.True(l.Idle())
	crash(l, 10, 10+partThreshold-1, badPart)
	is.True(!isBlamed(l, badPart))
}

// Guards against blames that never end, and against a part that costs several
// endpoints each time that its blame lapses.
func TestBlameLapsesAndReturnsForLonger(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	l := newLedger(clock)
	crash(l, 0, partThreshold, badPart)
	for i, d := range []time.Duration{10 * time.Minute, 40 * time.Minute, 160 * time.Minute, 640 * time.Minute, 24 * time.Hour, 24 * time.Hour} {
		blame, blamed := l.Blamed(traitsOf(badPart))
		is.True(blamed)
		is.Equal(blame.Until.Sub(clock.Now()), d)
		clock.advance(d - time.Millisecond)
		is.True(isBlamed(l, badPart))
		clock.advance(time.Millisecond)
		is.True(!isBlamed(l, badPart))
		is.Equal(len(l.Blames()), 0)
		clock.advance(23 * time.Hour)
		crash(l, 100+i, 101+i, badPart)
	}
	clock.advance(48*time.Hour + time.Minute)
	is.Equal(len(l.Blames()), 0)
	is.True(l.Idle())
	crash(l, 0, 1, badPart)
	is.True(!isBlamed(l, badPart))
}

// Guards against hosts that all send crashing requests at once when a blame lapses.
func TestHostsLetBlameLapseOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	ends := make(map[time.Duration]bool)
	for i := range 50 {
		l := poison.New(poison.Config{Host: fmt.Sprint("edge-", i), Clock: clock, Log: slog.New(slog.DiscardHandler)})
		crash(l, 0, partThreshold, badPart)
		end := l.Blames()[0].Until.Sub(clock.Now())
		is.True(end >= 10*time.Minute && end < 20*time.Minute)
		ends[end.Truncate(time.Minute)] = true
	}
	is.True(len(ends) >= 8)
}

// Guards against blames that only the store's end or a day's wait takes back.
func TestLift(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	a, b, cutOff := newLedger(clock), newLedger(clock), newLedger(clock)
	crash(a, 0, partThreshold, badPart)
	b.Merge(a.Reports(false))
	cutOff.Merge(a.Reports(false))
	clock.advance(time.Minute)
	a.Lift(badPart)
	is.True(!isBlamed(a, badPart))
	is.True(b.Merge(a.Reports(true)))
	is.True(!isBlamed(b, badPart))
	clock.advance(time.Hour)
	b.Merge(cutOff.Reports(false))
	a.Restore(badPart, time.Hour+30*time.Second)
	is.True(!isBlamed(a, badPart))
	is.True(!isBlamed(b, badPart))
	crash(b, 10, 10+partThreshold, badPart)
	is.True(isBlamed(b, badPart))
}

// Guards against hosts that start anew and send requests that the others refuse.
func TestRestore(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	l := newLedger(clock)
	l.Restore(badPart, 2*time.Minute)
	blame, blamed := l.Blamed(traitsOf(badPart))
	is.True(blamed)
	is.True(blame.Since.Equal(clock.Now().Add(-2 * time.Minute)))
	is.Equal(len(l.Reports(false)), 0) // it has no evidence of its own
	clock.advance(8 * time.Minute)
	is.True(!isBlamed(l, badPart))
	crash(l, 0, 1, badPart) // as after any blame that lapsed
	is.True(isBlamed(l, badPart))

	l = newLedger(clock)
	l.Restore(badPart, 5*time.Hour) // a blame that grew long
	is.True(isBlamed(l, badPart))
	clock.advance(time.Minute)
	is.True(!isBlamed(l, badPart))
	l.Restore(badPart, time.Second)
	l.Completed("pool", traitsOf(badPart))
	is.True(!isBlamed(l, badPart))
	l.Restore("nonsense", time.Second)
	l.Restore(badPart, -time.Second)
	l.Restore(badPart, 1000*time.Hour)
	is.True(!isBlamed(l, badPart))
}

// Guards against blames that operators can't see or understand.
func TestBlamesAreLogged(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	var lines strings.Builder
	changes := 0
	l := poison.New(poison.Config{Clock: clock, Log: slog.New(slog.NewTextHandler(&lines, nil)), OnChange: func() { changes++ }})
	logged := func(all ...string) {
		t.Helper()
		for _, s := range all {
			if !strings.Contains(lines.String(), s) {
				t.Errorf("%q not in the log: %s", s, lines.String())
			}
		}
		lines.Reset()
	}
	crash(l, 0, 1, badPart)
	clock.advance(time.Second)
	crash(l, 1, partThreshold, badPart)
	logged("trait=part/bad", "e0 at pool 1s ago", "e1 at pool 0s ago")
	is.Equal(changes, partThreshold)
	clock.advance(11 * time.Minute)
	l.Reports(false)
	logged("reason=lapsed")
	is.Equal(changes, partThreshold+1)
	crash(l, 7, 8, badPart)
	logged("trait=part/bad")
	l.Completed("pool", traitsOf(badPart))
	logged(`reason="cleared by a response"`)
	clock.advance(3 * time.Second)
	crash(l, 0, partThreshold, badPart)
	lines.Reset()
	l.Lift(badPart)
	logged(`reason="lifted by an operator"`)
}

// Guards against data races.
func TestConcurrentUse(t *testing.T) {
	clock := newClock()
	a, b := newLedger(clock), newLedger(clock)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 200 {
				crash(a, i, i+1, badPart, goodPart)
				a.Completed("pool", traitsOf(goodPart))
				b.Merge(a.Reports(g%2 == 0))
				a.Merge(b.Reports(true))
				a.Blamed(traitsOf(goodPart, badPart))
				b.Blames()
				clock.advance(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	if !isBlamed(b, badPart) {
		t.Error("the bad part is not blamed")
	}
}

// Guards against sound parts that are refused because they were there at each crash of a
// part that crashes endpoints.
func TestPartThatAnotherExplainsIsNotBlamed(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	l := newLedger(clock)
	request := func(parts ...string) *port.Exchange {
		x := &port.Exchange{Target: "/x"}
		for _, id := range append(parts, "own") {
			x.Prompt = append(x.Prompt, port.PromptPart{ID: id})
		}
		return x
	}
	l.Responded("pool", poison.NewRequest("", request("good")))
	clock.advance(1500 * time.Millisecond) // the response no longer clears what comes
	crash(l, 0, partThreshold, goodPart, badPart)
	is.True(isBlamed(l, badPart))
	is.True(!isBlamed(l, goodPart))
	is.Equal(len(l.Blames()), 1)
	l.Restore(goodPart, time.Second) // a host without those responses has written an entry
	is.True(!isBlamed(l, goodPart))
	crash(l, partThreshold, partThreshold+1, goodPart) // without the other one
	is.True(isBlamed(l, goodPart))
	l.Responded("pool", poison.NewRequest("", request("good")))
	is.True(!isBlamed(l, goodPart))
	is.True(isBlamed(l, badPart))
}

// Guards against sound parts that are refused because all endpoints of a service were lost
// at once: no response can clear them then.
func TestEndpointsLostTogetherBlameNothing(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	l := newLedger(clock)
	for i := range 18 {
		l.Crashed(incarnation("pool", i), traitsOf(goodPart))
		clock.advance(time.Millisecond)
	}
	is.True(!isBlamed(l, goodPart))
}

// Guards against a sound request that is refused because it was sent, at each try, to an endpoint
// that another one crashed.
func TestRequestAtCrashesOfAnotherOneIsNotBlamed(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	l := newLedger(clock)
	for i := range requestThreshold + 1 {
		traits := traitsOf(badRequestTrait)
		if i > 0 {
			traits = append(traits, soundRequestTrait)
		}
		l.Crashed(incarnation("pool", i), traits)
		clock.advance(time.Second)
	}
	_, blamed := l.Blamed(traitsOf(badRequestTrait))
	is.True(blamed)
	_, blamed = l.Blamed(traitsOf(soundRequestTrait))
	is.True(!blamed)
	l.Crashed(incarnation("pool", 9), traitsOf(soundRequestTrait)) // alone
	_, blamed = l.Blamed(traitsOf(soundRequestTrait))
	is.True(blamed)
}
