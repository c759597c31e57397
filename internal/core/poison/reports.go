package poison

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

const (
	// maxReports and maxReportBytes bound the reports in one message.
	maxReports     = 64
	maxReportBytes = 4000
	// maxReportedCrashes bounds the crashes at one service in a report: enough for the
	// longest blame.
	maxReportedCrashes = 8
	// freshTime is how long something that was learned is fresh.
	freshTime = 2 * time.Second
	// reportedClearAge is the age up to which clears are told when nothing else is
	// known of a trait that was never blamed.
	reportedClearAge = time.Minute
	// reportTransit is the time for which a report may be on its way. It is added to
	// its ages, so that evidence that returns to its source looks older there, not
	// newer.
	reportTransit = 400 * time.Millisecond
	// maxNameSize bounds the names of services and endpoints in bytes.
	maxNameSize = 128
)

// Report tells another host the evidence against a trait. It has ages instead of
// times, as the hosts' clocks differ.
type Report struct {
	Trait    Trait           `cbor:"1,keyasint"`
	Services []ServiceReport `cbor:"2,keyasint"`
}

// ServiceReport is the evidence at one service, or at all of them if it has no name.
type ServiceReport struct {
	Service string        `cbor:"1,keyasint,omitempty"`
	Crashes []CrashReport `cbor:"2,keyasint,omitempty"`
	// Cleared means that the trait was cleared, ClearAgeMs ago in milliseconds.
	Cleared    bool  `cbor:"3,keyasint,omitempty"`
	ClearAgeMs int64 `cbor:"4,keyasint,omitempty"`
}

// CrashReport is the crash of an incarnation of an endpoint.
type CrashReport struct {
	Endpoint      string `cbor:"1,keyasint"`
	StartedUnixMs int64  `cbor:"2,keyasint,omitempty"`
	// AgeMs is the time since the crash in milliseconds.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
}

// Reports returns what another host should know, the most important first: with fresh
// only what this host learned in the last 2 s, else of all evidence. There are at most
// 64, of about 4 KB together in CBOR.
func (l *Ledger) Reports(fresh bool) []Report {
	now := l.cfg.Clock.Now()
	l.lock(now)
	defer l.unlock()
	var reports []Report
	size := 0
	for _, e := range l.ranked(func(e *evidence) bool {
		if fresh {
			return !e.learnedAt.IsZero() && now.Sub(e.learnedAt) <= freshTime
		}
		return e.crashes > 0 || e.onceBlamed || now.Sub(e.learnedAt) <= reportedClearAge
	}) {
		r := e.report(e.trait, now)
		if len(r.Services) == 0 {
			continue
		}
		if size += r.size(); size > maxReportBytes || len(reports) == maxReports {
			break
		}
		reports = append(reports, r)
	}
	return reports
}

func (e *evidence) report(t Trait, now time.Time) Report {
	r := Report{Trait: t}
	for _, name := range e.serviceNames() {
		s := e.services[name]
		report := ServiceReport{Service: name}
		if !s.clearedAt.IsZero() {
			report.Cleared, report.ClearAgeMs = true, ageMs(now, s.clearedAt)
		}
		for _, i := range s.sorted()[:min(len(s.crashedAt), maxReportedCrashes)] {
			report.Crashes = append(report.Crashes, CrashReport{i.ID, i.StartedUnixMs, ageMs(now, s.crashedAt[i])})
		}
		r.Services = append(r.Services, report)
	}
	return r
}

// ageMs returns an age in milliseconds. It rounds up, so that it doesn't look younger.
func ageMs(now, at time.Time) int64 {
	return max(0, int64((now.Sub(at)+time.Millisecond-1)/time.Millisecond))
}

// size returns the largest size of the report in CBOR, in bytes.
func (r Report) size() int {
	size := len(r.Trait) + 8
	for _, s := range r.Services {
		size += len(s.Service) + 16
		for _, c := range s.Crashes {
			size += len(c.Endpoint) + 22
		}
	}
	return size
}

// valid reports whether another host may have sent the report.
func (r Report) valid() bool {
	if !r.Trait.valid() || len(r.Services) > maxServices+1 {
		return false
	}
	for _, s := range r.Services {
		if !validName(s.Service) && (s.Service != allServices || len(s.Crashes) > 0) ||
			len(s.Crashes) > maxCrashes || !validAge(s.ClearAgeMs) {
			return false
		}
		for _, c := range s.Crashes {
			if !validName(c.Endpoint) || c.StartedUnixMs < 0 || !validAge(c.AgeMs) {
				return false
			}
		}
	}
	return true
}

func validName(name string) bool { return name != "" && len(name) <= maxNameSize }

func validAge(ms int64) bool { return ms >= 0 && ms <= maxRetention.Milliseconds() }

// Merge adds the evidence of another host and reports whether this host learned
// something that others should know. It ignores malformed reports and evidence that
// has expired.
func (l *Ledger) Merge(reports []Report) (learned bool) {
	now := l.cfg.Clock.Now()
	l.lock(now)
	defer l.unlock()
	for _, r := range reports[:min(len(reports), maxReports)] {
		if !r.valid() {
			continue
		}
		e := l.evidenceOf(r.Trait)
		isNews := false
		for _, s := range r.Services {
			if at := receivedTime(now, s.ClearAgeMs); s.Cleared && now.Sub(at) <= maxRetention {
				isNews = e.addClear(s.Service, at) || isNews
				e.onceBlamed = e.onceBlamed || s.Service == allServices
			}
		}
		for _, s := range r.Services {
			for _, c := range s.Crashes {
				i := catalog.Incarnation{ID: c.Endpoint, StartedUnixMs: c.StartedUnixMs}
				at := receivedTime(now, c.AgeMs)
				if l.respondedSince(i, at) {
					continue
				}
				if !r.Trait.isRequest() {
					l.ended(s.Service, i, at)
				}
				isNews = l.clearByResponse(r.Trait, e, s.Service, at) || isNews
				isNews = e.addCrash(s.Service, i, at) || isNews
			}
		}
		l.settle(r.Trait, e, now, "cleared at another host")
		// Evidence that has expired is gone now and is no news.
		if isNews && l.traits[r.Trait] == e {
			l.learned(e, now)
			learned = true
		}
	}
	l.evict(now)
	return learned
}

// receivedTime returns the time of something with an age in a report that has arrived.
func receivedTime(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(ageMs)*time.Millisecond - reportTransit)
}
