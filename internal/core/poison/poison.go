// Package poison finds what in requests crashes endpoints: whole requests, and parts
// of prompts that requests share.
//
// The evidence against a trait of requests are the incarnations of endpoints that
// crashed while they may have been writing a response to a request with it. A response
// with the trait that was received whole clears it of the crashes at its service so
// far, so that what crashing requests share with sound ones is not blamed for long. A
// trait with enough crashes is blamed, and requests with it are not to be sent. Each
// blame lapses after a time and comes back, for longer, with the first further crash.
// Endpoints that were lost together are not enough for a blame. The crash of an endpoint
// that responds later is withdrawn: it had been silent, or out of reach.
//
// Hosts tell each other the evidence (Reports, Merge), and each decides by itself: no
// host has to add up for the others, and none needs the store. Evidence is merged by
// union and by the newest clear, in any order and any number of times.
package poison

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// requestThreshold and partThreshold are the numbers of crashes from which a whole
	// request and a part are blamed.
	requestThreshold = 3
	partThreshold    = 4
	// minBlameTime is how long a blame holds after the newest crash. It is four times
	// as long for each crash beyond the threshold, up to maxBlameTime.
	minBlameTime = 10 * time.Minute
	maxBlameTime = 24 * time.Hour
	// lapseSpread is the time over which the hosts let a blame lapse, so that the first
	// of them learn, and tell the others, whether it still holds.
	lapseSpread = 10 * time.Minute
	// evidenceTTL is how long crashes too few for a blame are remembered after the
	// newest one, and blamedRetention how long enough of them are after the blame.
	evidenceTTL     = 10 * time.Minute
	blamedRetention = 24 * time.Hour
	// maxRetention is the age up to which any evidence may be remembered.
	maxRetention = maxBlameTime + blamedRetention
	// clearTTL is how long clears are remembered: longer than the crashes that they
	// clear, which other hosts may still hold. Those of a trait once blamed are
	// remembered for maxRetention.
	clearTTL = evidenceTTL + 5*time.Minute
	// clearTolerance is how long after a clear crashes don't count. A clear that came
	// over several hosts looks older than the crashes that it was meant for.
	clearTolerance = 2 * time.Second
	// clearNewsInterval is the difference from which a newer clear that clears
	// nothing is told to other hosts.
	clearNewsInterval = 5 * time.Second
	// restoreTime is how long a restored blame holds at least. Other hosts tell the
	// evidence in that time, if they have any.
	restoreTime = time.Minute
	// sweepInterval is the time between searches for evidence that has expired.
	sweepInterval = time.Second

	// maxTraits bounds the traits with evidence. One in evictedShare of them is
	// evicted at once.
	maxTraits    = 2048
	evictedShare = 16
	// maxCrashes bounds the crashes of a trait at one service, and maxServices the
	// services of a trait.
	maxCrashes  = 16
	maxServices = 8
)

// Config holds the dependencies of a Ledger.
type Config struct {
	// Host is this host's id. It selects when the host lets a blame lapse, within ten
	// minutes from the first one that does; without it, the host is such a first one.
	Host  string
	Clock port.Clock
	Log   *slog.Logger
	// OnChange is called, without locks held, after this host learned something that
	// other hosts should know (Reports), from them or by itself, and after a blame
	// began or ended; may be nil. A blame that lapses is noticed by the next call of
	// Reports or Blames.
	OnChange func()
}

// Ledger holds the evidence. It is safe for concurrent use.
type Ledger struct {
	cfg Config
	// suspectedCount and blamedCount are the numbers of traits with crashes that count
	// and of blamed traits.
	suspectedCount, blamedCount atomic.Int64

	mu     sync.Mutex
	traits map[Trait]*evidence
	// respondedAt holds when this host last received a whole response with a part.
	respondedAt map[partAt]time.Time
	// losses holds the endpoints that were lost together, by service.
	losses map[string]*losses
	// alive holds the endpoints that responded after they had been taken for crashed.
	alive   map[catalog.Incarnation]aliveEndpoint
	sweptAt time.Time
	// changed means that OnChange is to be called.
	changed bool
}

// New returns a Ledger without evidence.
func New(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, traits: make(map[Trait]*evidence), respondedAt: make(map[partAt]time.Time), losses: make(map[string]*losses),
		alive: make(map[catalog.Incarnation]aliveEndpoint)}
}

// Blame is a trait with which requests are not to be sent to endpoints. Its times are
// those of this host's clock.
type Blame struct {
	Trait Trait
	// Crashes is the number of crashes that count. At most 16 are remembered of each
	// service.
	Crashes int
	// Since is when the blame began at this host.
	Since     time.Time
	LastCrash time.Time
	// Until is when the blame lapses at this host unless there are further crashes.
	Until time.Time
}

// Idle reports whether nothing is suspected, so that Completed and Blamed have nothing
// to do and callers needn't work out traits. It takes no lock.
func (l *Ledger) Idle() bool { return l.suspectedCount.Load() == 0 }

// BlamesAny reports whether any trait is blamed. It takes no lock.
func (l *Ledger) BlamesAny() bool { return l.blamedCount.Load() > 0 }

// Crashed records that an incarnation of an endpoint ended while it may have been
// writing responses to requests with these traits. Several calls for one incarnation,
// at this host and others, are one crash.
func (l *Ledger) Crashed(endpoint *catalog.Endpoint, traits []Trait) {
	now := l.cfg.Clock.Now()
	l.lock(now)
	defer l.unlock()
	if !validName(endpoint.Service) || !validName(endpoint.ID) {
		return
	}
	for _, t := range traits {
		if !t.valid() {
			continue
		}
		if !t.isRequest() {
			l.ended(endpoint.Service, endpoint.Incarnation(), now)
		}
		e := l.evidenceOf(t)
		isNews := l.clearByResponse(t, e, endpoint.Service, now)
		if e.addCrash(endpoint.Service, endpoint.Incarnation(), now) || isNews {
			l.learned(e, now)
		}
		l.settle(t, e, now, "")
	}
	l.evict(now)
}

// Silent records that an incarnation of an endpoint that may have been working on requests with
// these traits responds to no host. It counts as a crash for whole requests. For parts, which run
// everywhere, it says little: what silences many endpoints finds them on all. Call Crashed once
// the incarnation is known to have ended, or Alive once it responds.
func (l *Ledger) Silent(endpoint *catalog.Endpoint, traits []Trait) {
	l.Crashed(endpoint, slices.DeleteFunc(slices.Clone(traits), func(t Trait) bool { return !t.isRequest() }))
}

// Completed records that a whole successful response to a request with these traits
// came from an endpoint of a service.
func (l *Ledger) Completed(service string, traits []Trait) {
	if l.Idle() || !validName(service) {
		return
	}
	now := l.cfg.Clock.Now()
	l.lock(now)
	defer l.unlock()
	for _, t := range traits {
		e := l.traits[t]
		if e == nil {
			continue
		}
		if s := e.services[service]; s != nil && len(s.crashedAt) > 0 || !e.restoredAt.IsZero() {
			if e.addClear(service, now) {
				l.learned(e, now)
			}
			l.settle(t, e, now, "cleared by a response")
		}
	}
}

// BlamedRequest returns a blame for which a request is not to be sent: that of one of its
// traits, or of the trait by which hosts of older builds know it.
func (l *Ledger) BlamedRequest(r *Request) (Blame, bool) {
	if !l.BlamesAny() {
		return Blame{}, false
	}
	if b, blamed := l.Blamed(r.Traits()); blamed {
		return b, true
	}
	return l.Blamed([]Trait{r.formerTrait()})
}

// Blamed returns the blame of the first of the traits that is blamed.
func (l *Ledger) Blamed(traits []Trait) (Blame, bool) {
	if !l.BlamesAny() {
		return Blame{}, false
	}
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range traits {
		if e := l.traits[t]; e != nil && e.blamed && now.Before(e.until) && !l.explained(t, e, now) {
			return e.blame(t), true
		}
	}
	return Blame{}, false
}

func (e *evidence) blame(t Trait) Blame {
	return Blame{t, e.crashes, e.blamedSince, e.lastCrash, e.until}
}

// Blames returns all blames, sorted by trait.
func (l *Ledger) Blames() []Blame {
	l.lock(l.cfg.Clock.Now())
	defer l.unlock()
	var blames []Blame
	now := l.cfg.Clock.Now()
	for t, e := range l.traits {
		if e.blamed && !l.explained(t, e, now) {
			blames = append(blames, e.blame(t))
		}
	}
	slices.SortFunc(blames, func(a, b Blame) int { return cmp.Compare(a.Trait, b.Trait) })
	return blames
}

// Restore records that the store holds an entry that says that a trait is blamed, and
// has been for a time. It is meant for a host that has started anew; a host that has
// evidence of its own ignores it. The blame holds for ten minutes from its beginning and at least
// for a minute from now, unless it was cleared or lifted since. The host doesn't tell
// it to others.
func (l *Ledger) Restore(t Trait, since time.Duration) {
	if !t.valid() || since < 0 || since > maxRetention {
		return
	}
	now := l.cfg.Clock.Now()
	l.lock(now)
	defer l.unlock()
	e := l.evidenceOf(t)
	if e.hasCrashes() {
		return // a host that has evidence decides by it
	}
	at := now.Add(-since)
	if !at.After(e.withdrawnAt) {
		return // the entry is of a blame that has ended
	}
	if at.After(e.restoredAt) {
		e.restoredAt = at
	}
	e.restoredUntil = e.restoredAt.Add(minBlameTime)
	if until := now.Add(restoreTime); until.After(e.restoredUntil) {
		e.restoredUntil = until
	}
	e.wipe()
	l.settle(t, e, now, "")
	l.evict(now)
}

// Lift takes the blame of a trait back, as if responses with it had been received
// whole from all services now, and has the other hosts do the same.
func (l *Ledger) Lift(t Trait) {
	if !t.valid() {
		return
	}
	now := l.cfg.Clock.Now()
	l.lock(now)
	defer l.unlock()
	e := l.evidenceOf(t)
	e.onceBlamed = true
	e.addClear(allServices, now)
	l.learned(e, now)
	l.settle(t, e, now, "lifted by an operator")
	l.evict(now)
}

// lock locks l.mu and removes evidence that has expired.
func (l *Ledger) lock(now time.Time) {
	l.mu.Lock()
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	for t, e := range l.traits {
		l.settle(t, e, now, reasonExpired)
	}
}

// unlock unlocks l.mu and calls OnChange if it is due.
func (l *Ledger) unlock() {
	changed := l.changed
	l.changed = false
	l.mu.Unlock()
	if changed && l.cfg.OnChange != nil {
		l.cfg.OnChange()
	}
}

// learned marks evidence as news for other hosts. l.mu must be held.
func (l *Ledger) learned(e *evidence, now time.Time) {
	e.learnedAt = now
	l.changed = true
}

// evidenceOf returns the evidence of a trait, which is empty for a new one. l.mu must be
// held.
func (l *Ledger) evidenceOf(t Trait) *evidence {
	e := l.traits[t]
	if e == nil {
		e = &evidence{services: make(map[string]*serviceEvidence), lapseDelay: l.lapseDelay(t)}
		l.traits[t] = e
	}
	return e
}

// lapseDelay returns how long after the first hosts this one lets a trait's blame lapse.
func (l *Ledger) lapseDelay(t Trait) time.Duration {
	if l.cfg.Host == "" {
		return 0
	}
	return time.Duration(xxhash.Sum64String(l.cfg.Host+"\x00"+string(t)) % uint64(lapseSpread))
}

// reasonExpired is the reason for the end of a blame whose evidence has expired.
const reasonExpired = "evidence expired"

// settle works out anew whether a trait is blamed, logs it if that has changed, with
// the reason for an end, and removes evidence that is empty. l.mu must be held.
func (l *Ledger) settle(t Trait, e *evidence, now time.Time, reason string) {
	suspected, blamed := e.crashes > 0, e.blamed
	crashes := e.crashes
	e.settle(now, t.threshold(), l.countCrashes)
	l.recount(suspected, blamed, e.crashes > 0, e.blamed)
	switch {
	case e.blamed && !blamed:
		e.blamedSince = now
		if e.restoredAt.Equal(e.lastCrash) {
			e.blamedSince = e.restoredAt
		}
		l.changed = true
		l.cfg.Log.Warn("requests that crash endpoints are refused", slog.String("trait", string(t)), slog.Int("crashes", e.crashes),
			slog.String("evidence", e.describe(now)), slog.Duration("for", e.until.Sub(now).Round(time.Second)))
	case blamed && !e.blamed:
		l.changed = true
		switch {
		case e.crashes >= t.threshold():
			reason = "lapsed"
		case e.hasCrashes() && (reason == "" || reason == reasonExpired):
			reason = "endpoints were lost together"
		}
		l.cfg.Log.Info("requests are no longer refused for crashes", slog.String("trait", string(t)), slog.String("reason", reason),
			slog.Int("crashes", crashes), slog.Duration("after", now.Sub(e.blamedSince).Round(time.Millisecond)))
	}
	if e.crashes == 0 && len(e.services) == 0 && now.Sub(e.withdrawnAt) > clearTTL {
		delete(l.traits, t)
	}
}

// recount updates the counts of suspected and blamed traits for one that changes.
func (l *Ledger) recount(suspectedBefore, blamedBefore, suspected, blamed bool) {
	if suspected != suspectedBefore {
		l.suspectedCount.Add(map[bool]int64{true: 1, false: -1}[suspected])
	}
	if blamed != blamedBefore {
		l.blamedCount.Add(map[bool]int64{true: 1, false: -1}[blamed])
	}
}

// describe returns the crashes as text, by service, with their ages.
func (e *evidence) describe(now time.Time) string {
	var b strings.Builder
	for _, name := range e.serviceNames() {
		s := e.services[name]
		for _, i := range s.sorted() {
			fmt.Fprintf(&b, "%s at %s %v ago, ", i.ID, name, now.Sub(s.crashedAt[i]).Round(time.Millisecond))
		}
	}
	if !e.restoredAt.IsZero() {
		fmt.Fprintf(&b, "entry in the store of %v ago, ", now.Sub(e.restoredAt).Round(time.Millisecond))
	}
	return strings.TrimSuffix(b.String(), ", ")
}

func (e *evidence) serviceNames() []string {
	names := make([]string, 0, len(e.services))
	for name := range e.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
