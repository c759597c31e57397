package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const (
	// slowBuckets is the distance from the others' median at which an answer is slow: about
	// three times as long.
	slowBuckets = 3
	// badScore and suspectScore are the scores, deviations from what the others' answers let
	// expect, from which a version is bad or suspected.
	badScore, suspectScore = 5, 2.5
	// minBad and minSuspect are the fewest bad answers for these.
	minBad, minSuspect = 8, 4
	// minExcess and minRatio are the least difference and ratio of the shares of bad answers.
	minExcess, minRatio = 0.02, 1.5
	// minCompared is the number of others' answers to a route below which those of shortly
	// before are compared, and minInZone that below which those of all zones are.
	minCompared, minInZone = 10, 5
	// minSpread is the part of the bad answers that must be left without the endpoint that
	// has most of them, times the number of the others' parts.
	minSpread = 0.3
)

// Finding is what the answers say about the target.
type Finding struct {
	Bad, Suspected bool
	// Route is empty for all routes together. Slow tells slow answers from failures.
	Route string
	Slow  bool
	// TargetBad of TargetAnswers were bad, against OtherBad of OtherAnswers.
	TargetBad, TargetAnswers, OtherBad, OtherAnswers int64
	Score                                            float64
}

// String describes the finding for logs.
func (f Finding) String() string {
	kind := "failures"
	if f.Slow {
		kind = "slow answers"
	}
	return fmt.Sprintf("%s: %d of %d, others %d of %d", kind, f.TargetBad, f.TargetAnswers, f.OtherBad, f.OtherAnswers)
}

// side identifies counts that are compared.
type side struct {
	route, zone string
	target      bool
}

// table holds the counts over some time.
type table map[side]*Counts

func (t table) get(s side) *Counts {
	if t[s] == nil {
		t[s] = &Counts{}
	}
	return t[s]
}

func (t table) clone() table {
	out := make(table, len(t))
	for s, c := range t {
		copied := *c
		out[s] = &copied
	}
	return out
}

// minus returns the counts since an earlier table.
func (t table) minus(earlier table) table {
	out := t.clone()
	for s, c := range earlier {
		out.get(s).add(*c, -1)
	}
	return out
}

// others returns the others' counts of each route in all zones.
func (t table) others() map[string]*Counts {
	others := make(map[string]*Counts)
	for s, c := range t {
		if s.target {
			continue
		}
		if others[s.route] == nil {
			others[s.route] = &Counts{}
		}
		others[s.route].add(*c, 1)
	}
	return others
}

// stratum compares the answers of one route in one zone.
type stratum struct{ targetBad, target, otherBad, other int64 }

// sum adds up the strata of a test.
type sum struct {
	stratum
	deviation, variance float64
}

func (t *sum) add(s stratum) {
	if s.target <= 0 || s.other <= 0 {
		return
	}
	n, m := float64(s.target+s.other), float64(s.targetBad+s.otherBad)
	t.deviation += float64(s.targetBad) - float64(s.target)*m/n
	t.variance += float64(s.target) * float64(s.other) * m * (n - m) / (n * n * max(1, n-1))
	t.targetBad, t.target, t.otherBad, t.other = t.targetBad+s.targetBad, t.target+s.target, t.otherBad+s.otherBad, t.other+s.other
}

// merge adds the strata of another test.
func (t *sum) merge(o sum) {
	t.deviation, t.variance = t.deviation+o.deviation, t.variance+o.variance
	t.targetBad, t.target, t.otherBad, t.other = t.targetBad+o.targetBad, t.target+o.target, t.otherBad+o.otherBad, t.other+o.other
}

func (t *sum) finding(k test) Finding {
	f := Finding{Route: k.route, Slow: k.slow, TargetBad: t.targetBad, TargetAnswers: t.target, OtherBad: t.otherBad, OtherAnswers: t.other}
	if t.variance <= 0 {
		return f
	}
	// By Bernstein's inequality the chance of such a deviation is at most exp(-score*score/2),
	// also for few answers.
	f.Score = t.deviation / math.Sqrt(t.variance+max(0, t.deviation)/3)
	share := float64(t.targetBad) / float64(t.target)
	expected := (float64(t.targetBad) - t.deviation) / float64(t.target)
	differs := share >= expected+minExcess && share >= expected*minRatio
	f.Bad = differs && f.Score >= badScore && t.targetBad >= minBad
	f.Suspected = differs && f.Score >= suspectScore && t.targetBad >= minSuspect
	return f
}

// test identifies a comparison: of all routes if the name is empty.
type test struct {
	route string
	slow  bool
}

// slot holds the sums of all tests over a short time, within which both sides met the same
// trouble.
type slot map[test]sum

func (s slot) add(k test, o stratum) {
	t := s[k]
	t.add(o)
	s[k] = t
}

// compare returns the sums of the tests of a table. A route that the others hardly served
// meanwhile is compared with lately, what they did shortly before.
func (t table) compare(lately table) slot {
	out := make(slot)
	others, before := t.others(), lately.others()
	for s, c := range t {
		if !s.target || c.answers() <= 0 {
			continue
		}
		all, other := others[s.route], t[side{s.route, s.zone, false}]
		if all == nil || all.answers() < minCompared {
			all, other = before[s.route], lately[side{s.route, s.zone, false}]
		}
		if all == nil {
			continue
		}
		if other == nil || other.answers() < minInZone {
			other = all
		}
		limit := all.medianBucket() + slowBuckets
		failures := stratum{c.Failures, c.answers(), other.Failures, other.answers()}
		slow := stratum{c.above(limit), c.timed(), other.above(limit), other.timed()}
		for _, route := range []string{s.route, ""} {
			out.add(test{route, false}, failures)
			out.add(test{route, true}, slow)
		}
	}
	return out
}

// findings returns the findings of the tests over some slots that are at least suspicious,
// in a fixed order.
func findings(slots []slot) []Finding {
	total := make(slot)
	for _, s := range slots {
		for k, v := range s {
			t := total[k]
			t.merge(v)
			total[k] = t
		}
	}
	var found []Finding
	for k, t := range total {
		if f := t.finding(k); f.Suspected {
			found = append(found, f)
		}
	}
	slices.SortFunc(found, func(a, b Finding) int { return cmp.Compare(b.Score, a.Score) })
	return found
}
