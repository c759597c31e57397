package poison_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/pimentorill/pimentorill/internal/core/poison"
	"github.com/pimentorill/pimentorill/internal/core/suspect"
)

// drawReports draws reports of a few traits, with ages at which no evidence has expired.
func drawReports(t *rapid.T) []poison.Report {
	age := rapid.Int64Range(0, (9 * time.Minute).Milliseconds())
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) poison.Report {
		r := poison.Report{Trait: poison.PartTrait(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "trait"))}
		for _, service := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"", "s1", "s2"}), 1, 3, rapid.ID).Draw(t, "services") {
			s := poison.ServiceReport{Service: service, Cleared: service == "" || rapid.Bool().Draw(t, "cleared")}
			if s.Cleared {
				s.ClearAgeMs = age.Draw(t, "clear age")
			}
			for range rapid.IntRange(0, 5).Draw(t, "crashes") {
				if service != "" {
					s.Crashes = append(s.Crashes, poison.CrashReport{Endpoint: fmt.Sprint("e", rapid.IntRange(0, 5).Draw(t, "endpoint")), StartedUnixMs: 1, AgeMs: age.Draw(t, "age")})
				}
			}
			r.Services = append(r.Services, s)
		}
		return r
	}), 0, 8).Draw(t, "reports")
}

// knowledge returns everything that a ledger would tell, in an order that doesn't
// depend on when it learned it.
func knowledge(l *poison.Ledger) string {
	reports := l.Reports(false)
	slices.SortFunc(reports, func(a, b poison.Report) int { return cmp.Compare(a.Trait, b.Trait) })
	text, err := json.Marshal([]any{reports, l.Blames()})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// Guards against hosts that differ by the order in which they heard of things.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newClock()
		a, b := newLedger(clock), newLedger(clock)
		reports := drawReports(t)
		a.Merge(reports)
		for _, r := range rapid.Permutation(reports).Draw(t, "order") {
			b.Merge([]poison.Report{r})
		}
		if knowledge(a) != knowledge(b) {
			t.Fatalf("differ by order:\n%s\n%s", knowledge(a), knowledge(b))
		}
		before := knowledge(a)
		if a.Merge(reports) || knowledge(a) != before {
			t.Fatalf("changed by a repetition:\n%s\n%s", before, knowledge(a))
		}
	})
}

// Guards against evidence that hosts keep alive by telling each other.
func TestEchoesRenewNothing(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	a, b := newLedger(clock), newLedger(clock)
	crash(a, 0, partThreshold, badPart)
	crash(a, 0, 1, goodPart)
	until := a.Blames()[0].Until
	learned := 0
	for range 20 * 60 * 2 {
		reports := a.Reports(false)
		clock.advance(200 * time.Millisecond)
		if b.Merge(reports) {
			learned++
		}
		reply := b.Reports(false)
		clock.advance(300 * time.Millisecond)
		if a.Merge(reply) {
			learned++
		}
		if blames := a.Blames(); len(blames) > 0 {
			is.Equal(blames[0].Until, until)
		}
	}
	is.Equal(learned, 1)
	is.True(!isBlamed(a, badPart))
	is.True(!isBlamed(b, badPart))
	clock.advance(25 * time.Hour)
	a.Blames()
	b.Blames()
	is.True(a.Idle())
	is.True(b.Idle())
}

// Guards against a host that adds up alone: three hosts, each of which saw one crash.
func TestHostsAddUpTogether(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	var hosts []*poison.Ledger
	for i := range partThreshold {
		hosts = append(hosts, newLedger(clock))
		crash(hosts[i], i, i+1, badPart)
	}
	for _, h := range hosts[1:] {
		is.True(hosts[0].Merge(h.Reports(true)))
	}
	is.True(isBlamed(hosts[0], badPart))
	is.True(hosts[1].Merge(hosts[0].Reports(true)))
	is.True(isBlamed(hosts[1], badPart))
	clock.advance(3 * time.Second)
	is.Equal(len(hosts[0].Reports(true)), 0)
	is.Equal(len(hosts[0].Reports(false)), 1)
}

// Guards against clears that other hosts miss because they heard of the crash by
// another way.
func TestClearsTravel(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	a, b, c := newLedger(clock), newLedger(clock), newLedger(clock)
	crash(a, 0, partThreshold, goodPart)
	crashes := a.Reports(true)
	b.Merge(crashes)
	is.True(isBlamed(b, goodPart))
	clock.advance(10 * time.Millisecond)
	a.Completed("pool", traitsOf(goodPart))
	clears := a.Reports(true)
	is.True(c.Merge(clears)) // before the crashes
	is.True(!c.Merge(crashes))
	is.True(!isBlamed(c, goodPart))
	is.True(b.Merge(c.Reports(true)))
	is.True(!isBlamed(b, goodPart))
	is.True(!b.Merge(a.Reports(true)))
}

// Guards against reports that another host sends by mistake or in another form.
func TestMalformedReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	l := newLedger(newClock())
	day := (24 * time.Hour).Milliseconds()
	three := []poison.CrashReport{{Endpoint: "e1"}, {Endpoint: "e2"}, {Endpoint: "e3"}, {Endpoint: "e4"}}
	with := func(change func(c *poison.CrashReport)) []poison.CrashReport {
		list := slices.Clone(three)
		change(&list[3])
		return list
	}
	for i, r := range []poison.Report{
		{},
		{Trait: "part/x"},
		{Trait: "nonsense", Services: []poison.ServiceReport{{Service: "s", Crashes: three}}},
		{Trait: "part/", Services: []poison.ServiceReport{{Service: "s", Crashes: three}}},
		{Trait: "part/a b", Services: []poison.ServiceReport{{Service: "s", Crashes: three}}},
		{Trait: "part/~zz", Services: []poison.ServiceReport{{Service: "s", Crashes: three}}},
		{Trait: poison.Trait("part/" + strings.Repeat("x", 65)), Services: []poison.ServiceReport{{Service: "s", Crashes: three}}},
		{Trait: "request/12", Services: []poison.ServiceReport{{Service: "s", Crashes: three}}},
		{Trait: "part/x", Services: []poison.ServiceReport{{Crashes: three}}},
		{Trait: "part/x", Services: []poison.ServiceReport{{Service: strings.Repeat("s", 1000), Crashes: three}}},
		{Trait: "part/x", Services: make([]poison.ServiceReport, 1000)},
		{Trait: "part/x", Services: []poison.ServiceReport{{Service: "s", Crashes: make([]poison.CrashReport, 1000)}}},
		{Trait: "part/x", Services: []poison.ServiceReport{{Service: "s", Crashes: with(func(c *poison.CrashReport) { c.AgeMs = -1 })}}},
		{Trait: "part/x", Services: []poison.ServiceReport{{Service: "s", Crashes: with(func(c *poison.CrashReport) { c.AgeMs = 1 << 62 })}}},
		{Trait: "part/x", Services: []poison.ServiceReport{{Service: "s", Crashes: with(func(c *poison.CrashReport) { c.AgeMs = 3 * day })}}},
		{Trait: "part/x", Services: []poison.ServiceReport{{Service: "s", Crashes: with(func(c *poison.CrashReport) { c.Endpoint = "" })}}},
		{Trait: "part/x", Services: []poison.ServiceReport{{Service: "s", Crashes: with(func(c *poison.CrashReport) { c.Endpoint = strings.Repeat("e", 1000) })}}},
		{Trait: "part/x", Services: []poison.ServiceReport{{Service: "s", Crashes: with(func(c *poison.CrashReport) { c.StartedUnixMs = -5 })}}},
		{Trait: "part/x", Services: []poison.ServiceReport{{Service: "s", Cleared: true, ClearAgeMs: -1}, {Service: "s2", Crashes: three}}},
	} {
		if l.Merge([]poison.Report{r}) || len(l.Reports(false)) > 0 || len(l.Blames()) > 0 {
			t.Errorf("report %d changed something: %+v", i, l.Reports(false))
		}
	}
	is.True(l.Idle())
	is.True(l.Merge([]poison.Report{{Trait: "part/x", Services: []poison.ServiceReport{{Service: "s", Crashes: three}}}}))
	is.True(isBlamed(l, "part/x"))
}

// Guards against made-up parts that push out a suspect or a blamed part, use up memory
// or fill the messages.
func TestFloodOfTraits(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	l := newLedger(clock)
	crash(l, 0, partThreshold, "part/blamed")
	crash(l, 0, partThreshold-1, "part/suspect")
	l.Lift("part/lifted")
	fingerprint := suspect.Fingerprint{}
	for i := range 600 {
		clock.advance(10 * time.Millisecond)
		flood := traitsOf(poison.RequestTrait(fingerprint))
		fingerprint[i%16]++
		for j := range 31 {
			flood = append(flood, poison.PartTrait(fmt.Sprintf("flood-%d-%d", i, j)))
		}
		l.Crashed(incarnation(strings.Repeat("long", 20), 1000+i), flood)
	}
	is.True(isBlamed(l, "part/blamed"))
	is.True(!isBlamed(l, "part/suspect"))
	crash(l, 9, 10, "part/suspect")
	is.True(isBlamed(l, "part/suspect"))
	for _, fresh := range []bool{true, false} {
		reports := l.Reports(fresh)
		encoded, err := cbor.Marshal(reports)
		is.NoErr(err)
		is.True(len(reports) > 10)
		is.True(len(encoded) <= 4096)
	}
	other := newLedger(clock)
	other.Merge(l.Reports(false))
	is.True(isBlamed(other, "part/blamed"))
	is.True(isBlamed(other, "part/suspect"))
}

// Guards against more blamed traits than may be remembered, and against a blame that
// evidence too weak for one pushes out.
func TestBoundOfBlamedTraits(t *testing.T) {
	is := is.New(t)
	l := newLedger(newClock())
	const batch = 50
	crashBatches := func(crashes int, name string) {
		for i := 0; i < 2200; i += batch {
			var traits []poison.Trait
			for j := range batch {
				traits = append(traits, poison.PartTrait(fmt.Sprint(name, i+j)))
			}
			crash(l, 0, crashes, traits...)
		}
	}
	crashBatches(partThreshold, "blamed-")
	blamed := len(l.Blames())
	is.True(blamed > 1900 && blamed <= 2048)
	crashBatches(1, "suspect-")
	is.Equal(len(l.Blames()), blamed)
}

// Guards against a trait that crashes many endpoints of many services and uses up
// memory and messages.
func TestBoundOfCrashes(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	l := newLedger(clock)
	for i := range 5000 {
		l.Crashed(incarnation(fmt.Sprint("service-", i%40), i), traitsOf(badPart))
	}
	is.True(l.Blames()[0].Crashes <= 8*16)
	encoded, err := cbor.Marshal(l.Reports(false))
	is.NoErr(err)
	is.True(len(encoded) <= 4096)
	other := newLedger(clock)
	other.Merge(l.Reports(false))
	is.True(isBlamed(other, badPart))
}
