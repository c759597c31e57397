package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

// evidence is what is known of one trait.
type evidence struct {
	// services holds the crashes and clears by service. Those of allServices are the
	// clears of an operator.
	services map[string]*serviceEvidence
	// restoredAt is when the blame began that an entry in the store names, and
	// restoredUntil how long it holds without other evidence; zero if there is none.
	restoredAt, restoredUntil time.Time
	// lapseDelay is added to the end of each blame at this host.
	lapseDelay time.Duration
	// withdrawnAt is when crashes were last withdrawn; zero if none were.
	withdrawnAt time.Time
	// learnedAt is when this host last learned something that others should know.
	learnedAt time.Time

	// The fields below are set by settle. crashes is the number of crashes that count,
	// until the end of the blame, if there are enough for one.
	crashes   int
	lastCrash time.Time
	until     time.Time
	// blamed means that the trait is blamed, since blamedSince. onceBlamed means that
	// it was at some time.
	blamed, onceBlamed bool
	blamedSince        time.Time
}

// allServices is the service in whose name an operator clears all of them.
const allServices = ""

type serviceEvidence struct {
	// crashedAt holds when this host learned of each crash that is not cleared,
	// earlier by the transit times if it learned it from another host.
	crashedAt map[catalog.Incarnation]time.Time
	// clearedAt is the time of the newest response with the trait that was received
	// whole while there were crashes; zero if none is known.
	clearedAt time.Time
}

// service returns the evidence of a service, or nil if there are too many services.
func (e *evidence) service(name string) *serviceEvidence {
	s := e.services[name]
	if s == nil {
		if len(e.services) >= maxServices && name != allServices {
			return nil
		}
		s = &serviceEvidence{crashedAt: make(map[catalog.Incarnation]time.Time)}
		e.services[name] = s
	}
	return s
}

// clearedAt returns the time of the newest clear at a service.
func (e *evidence) clearedAt(service string) time.Time {
	var at time.Time
	for _, name := range []string{service, allServices} {
		if s := e.services[name]; s != nil && s.clearedAt.After(at) {
			at = s.clearedAt
		}
	}
	return at
}

// addCrash records a crash and reports whether it is a new one that counts.
func (e *evidence) addCrash(service string, i catalog.Incarnation, at time.Time) bool {
	if cleared := e.clearedAt(service); !cleared.IsZero() && !at.After(cleared.Add(clearTolerance)) {
		return false
	}
	s := e.service(service)
	if s == nil {
		return false
	}
	known, ok := s.crashedAt[i]
	if !ok || at.After(known) {
		s.crashedAt[i] = at
	}
	if len(s.crashedAt) > maxCrashes {
		oldest := s.sorted()[maxCrashes]
		delete(s.crashedAt, oldest)
		return oldest != i
	}
	return !ok
}

// addClear records a clear and reports whether other hosts should know of it.
func (e *evidence) addClear(service string, at time.Time) bool {
	s := e.service(service)
	if s == nil || !at.After(s.clearedAt) {
		return false
	}
	isNews := at.Sub(s.clearedAt) > clearNewsInterval
	s.clearedAt = at
	return e.wipe() || isNews
}

// wipe removes the crashes that are cleared and reports whether there were any.
func (e *evidence) wipe() bool {
	wiped := false
	var newest time.Time
	for name, s := range e.services {
		cleared := e.clearedAt(name)
		if cleared.After(newest) {
			newest = cleared
		}
		for i, at := range s.crashedAt {
			if !cleared.IsZero() && !at.After(cleared.Add(clearTolerance)) {
				delete(s.crashedAt, i)
				wiped = true
			}
		}
	}
	if !e.restoredAt.IsZero() && !newest.IsZero() && !e.restoredAt.After(newest) {
		e.restoredAt, e.restoredUntil = time.Time{}, time.Time{}
		wiped = true
	}
	return wiped
}

// sorted returns the crashed incarnations, the newest crash first.
func (s *serviceEvidence) sorted() []catalog.Incarnation {
	list := make([]catalog.Incarnation, 0, len(s.crashedAt))
	for i := range s.crashedAt {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b catalog.Incarnation) int {
		return cmp.Or(s.crashedAt[b].Compare(s.crashedAt[a]), cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedUnixMs, b.StartedUnixMs))
	})
	return list
}

// crashCounter returns the number of crashes at a service that count against a trait with
// a threshold.
type crashCounter func(service string, s *serviceEvidence, threshold int) int

// settle removes what has expired and works out whether the trait is blamed.
func (e *evidence) settle(now time.Time, threshold int, counter crashCounter) {
	e.count(threshold, counter)
	retention := evidenceTTL
	if e.crashes >= threshold {
		retention = e.until.Sub(e.lastCrash) + blamedRetention
	}
	if e.crashes > 0 && now.Sub(e.lastCrash) > retention {
		for _, s := range e.services {
			clear(s.crashedAt)
		}
		e.restoredAt, e.restoredUntil = time.Time{}, time.Time{}
		e.count(threshold, counter)
	}
	clearRetention := clearTTL
	if e.onceBlamed {
		clearRetention = maxRetention
	}
	for name, s := range e.services {
		if !s.clearedAt.IsZero() && now.Sub(s.clearedAt) > clearRetention {
			s.clearedAt = time.Time{}
		}
		if len(s.crashedAt) == 0 && s.clearedAt.IsZero() {
			delete(e.services, name)
		}
	}
	e.blamed = e.crashes >= threshold && now.Before(e.until)
	e.onceBlamed = e.onceBlamed || e.blamed
}

// count sets crashes, lastCrash and until.
func (e *evidence) count(threshold int, counter crashCounter) {
	e.crashes, e.lastCrash, e.until = 0, e.restoredAt, time.Time{}
	for name, s := range e.services {
		e.crashes += counter(name, s, threshold)
		for _, at := range s.crashedAt {
			if at.After(e.lastCrash) {
				e.lastCrash = at
			}
		}
	}
	if !e.restoredAt.IsZero() {
		e.crashes = max(e.crashes, threshold)
	}
	if e.crashes < threshold {
		return
	}
	e.until = e.lastCrash.Add(blameTime(e.crashes-threshold) + e.lapseDelay)
	if e.restoredUntil.After(e.until) {
		e.until = e.restoredUntil
	}
}

// blameTime returns how long a trait is blamed after its newest crash, with the number
// of its crashes beyond the threshold.
func blameTime(beyond int) time.Duration {
	d := minBlameTime
	for ; beyond > 0 && d < maxBlameTime; beyond-- {
		d *= 4
	}
	return min(d, maxBlameTime)
}

// hasCrashes reports whether crashes are known that are not cleared.
func (e *evidence) hasCrashes() bool {
	for _, s := range e.services {
		if len(s.crashedAt) > 0 {
			return true
		}
	}
	return false
}

// hasClears reports whether a clear is remembered.
func (e *evidence) hasClears() bool {
	for _, s := range e.services {
		if !s.clearedAt.IsZero() {
			return true
		}
	}
	return false
}

// weight orders the evidence by importance.
func (e *evidence) weight() int {
	switch lift := e.services[allServices]; {
	case e.blamed:
		return blamedWeight + e.crashes
	case lift != nil && !lift.clearedAt.IsZero():
		return blamedWeight - 1
	case e.crashes == 0 && e.hasClears():
		return 1
	}
	return e.crashes
}

// blamedWeight is the least weight of a trait that is blamed.
const blamedWeight = 1 << 20
