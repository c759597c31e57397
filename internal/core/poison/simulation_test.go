package poison_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/membership"
	"github.com/pimentorill/pimentorill/internal/core/poison"
	"github.com/pimentorill/pimentorill/internal/core/suspect"
	"github.com/pimentorill/pimentorill/internal/port"
)

// scenario is what a fleet goes through.
type scenario struct {
	name             string
	hosts, endpoints int
	// requests, otherCrashes and truncated are rates per second.
	requests, otherCrashes, truncated float64
	// badParts are the parts that crash endpoints. One in 20 requests has each of
	// them, in the middle of its prompt or, with badFirst, at its beginning.
	badParts []poison.Trait
	badFirst bool
	// cut separates a zone from the others for 20 s, stop freezes or kills the first
	// host that blames a bad part, restarts starts hosts anew, and storeless keeps the
	// store away.
	cut, stop, restarts, storeless bool
	// lost is the share of the endpoints that are lost in one moment, at badFrom.
	lost float64
	// dark has endpoints fall silent instead of breaking their connections when they end,
	// and pauses is the rate per second at which endpoints are silent for a while and go on.
	dark   bool
	pauses float64
	// badRequest has one request that crashes endpoints come again every badInterval.
	badRequest bool
	runTime    time.Duration
}

const (
	// badFrom is when requests with bad parts begin to come.
	badFrom = 4 * time.Second
	// downtime is how long endpoints are down after a crash.
	downtime = 4 * time.Second
	// contactTime is the platform's contact_ms.
	contactTime = 3 * time.Second
	// spreadDelay is how long a host collects news before it tells its neighbours.
	spreadDelay   = 50 * time.Millisecond
	spreadTargets = 4
	// maxNotice is how long hosts take at most to notice endpoints that are lost
	// together.
	maxNotice      = 300 * time.Millisecond
	pingTargets    = 2
	cutFrom        = badFrom - time.Second
	cutUntil       = cutFrom + 20*time.Second
	zones, cutZone = 3, 2
)

// fleet simulates hosts, each with a Ledger of its own, endpoints and callers in
// virtual time.
type fleet struct {
	scenario
	rng       *rand.Rand
	now       time.Duration
	events    timeline
	all       []*fleetHost
	endpoint  []*fleetEndpoint
	middle    *rand.Zipf
	requested uint64
	store     map[poison.Trait]time.Duration
	// soundUntil ends the requests without bad parts; zero means never.
	soundUntil time.Duration

	// The fields below are measurements. crashes and sent hold those of bad parts, and
	// sound the sound requests that share the first part of those with bad ones.
	crashes, sent []occurrence
	sound         []*request
	firstBlamed   map[poison.Trait]int
	soundBlamed   map[poison.Trait]bool
	refusedSound  int
	messages      int
	bytes         int
}

// exchange returns the parts of the request's prompt.
func (r *request) exchange() *port.Exchange {
	x := &port.Exchange{}
	for _, t := range r.traits {
		if id, ok := strings.CutPrefix(string(t), "part/"); ok {
			x.Prompt = append(x.Prompt, port.PromptPart{ID: id})
		}
	}
	x.Prompt = append(x.Prompt, port.PromptPart{ID: "own"})
	return x
}

// occurrence is a crash by a bad part, or the beginning of a request with one.
type occurrence struct {
	at    time.Duration
	part  poison.Trait
	cut   bool // in the zone that is cut off
	exact bool // not from a host that was disturbed
}

type request struct {
	at, began time.Duration
	traits    []poison.Trait
	bad       poison.Trait
	host      *fleetHost
	started   bool
	// sends counts how often the request came.
	sends int
}

type fleetEndpoint struct {
	*catalog.Endpoint
	zone    int
	up      bool
	running []*request
	// It is silent until silentUntil.
	silentUntil time.Duration
}

// moment is a function that runs at a time of the simulation.
type moment struct {
	at    time.Duration
	order int
	run   func()
}

type timeline struct {
	list  []moment
	count int
}

func (q *timeline) Len() int { return len(q.list) }
func (q *timeline) Less(i, j int) bool {
	return q.list[i].at < q.list[j].at || q.list[i].at == q.list[j].at && q.list[i].order < q.list[j].order
}
func (q *timeline) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *timeline) Push(x any)    { q.list = append(q.list, x.(moment)) }
func (q *timeline) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

func (f *fleet) after(d time.Duration, run func()) {
	f.events.count++
	heap.Push(&f.events, moment{f.now + d, f.events.count, run})
}

// between returns a random duration from lo to hi.
func (f *fleet) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(f.rng.Int64N(int64(hi-lo)))
}

// every has run called at random times, at a rate per second.
func (f *fleet) every(rate float64, from time.Duration, run func()) {
	if rate == 0 {
		return
	}
	var next func()
	next = func() {
		run()
		f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.after(from+time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

func newFleet(s scenario, seed uint64) *fleet {
	f := &fleet{scenario: s, rng: rand.New(rand.NewPCG(seed, uint64(s.hosts))), store: make(map[poison.Trait]time.Duration), firstBlamed: make(map[poison.Trait]int), soundBlamed: make(map[poison.Trait]bool)}
	f.middle = rand.NewZipf(f.rng, 1.1, 1, 39)
	for i := range s.endpoints {
		f.endpoint = append(f.endpoint, &fleetEndpoint{Endpoint: &catalog.Endpoint{ID: fmt.Sprintf("engine-%04d", i), Service: "pool", StartedUnixMs: 1}, zone: i % zones, up: true})
	}
	for i := range s.hosts {
		h := &fleetHost{fleet: f, id: fmt.Sprintf("edge-%d", i), zone: i % zones, offset: f.between(0, time.Hour), disturbedUntil: -1}
		h.start()
		f.all = append(f.all, h)
	}
	f.updateNeighbours()
	for _, h := range f.all {
		f.after(f.between(0, 500*time.Millisecond), h.ping)
	}
	f.every(s.requests, 0, f.arrive)
	f.every(s.otherCrashes, badFrom, func() { f.crash(f.endpoint[f.rng.IntN(len(f.endpoint))]) })
	f.every(s.truncated, badFrom, f.truncate)
	f.every(s.pauses, badFrom, f.pause)
	if s.badRequest {
		f.after(badFrom, f.sendBadRequest)
	}
	if s.restarts {
		f.every(1, badFrom, func() { f.all[f.rng.IntN(len(f.all))].restart() })
	}
	if s.lost > 0 {
		f.after(badFrom, f.loseTogether)
	}
	if s.cut {
		for _, at := range []time.Duration{cutFrom, cutUntil} {
			f.after(at, f.disturbCutZone)
			f.after(at+time.Second, f.updateNeighbours)
		}
		f.after(cutFrom, f.silenceCut)
	}
	return f
}

func (f *fleet) run() {
	for f.now < f.runTime && f.events.Len() > 0 {
		next := heap.Pop(&f.events).(moment)
		f.now = next.at
		next.run()
	}
}

// isCut reports whether two zones are separated.
func (f *fleet) isCut(a, b int) bool {
	return f.cut && f.now >= cutFrom && f.now < cutUntil && (a == cutZone) != (b == cutZone)
}

func (f *fleet) disturbCutZone() {
	for _, h := range f.all {
		if h.zone == cutZone {
			h.disturb(0)
		}
	}
}

// updateNeighbours has all hosts learn which others answer.
func (f *fleet) updateNeighbours() {
	for _, h := range f.all {
		var others []string
		for _, o := range f.all {
			if o != h && !o.killed && !o.frozen && !f.isCut(h.zone, o.zone) {
				others = append(others, o.id)
			}
		}
		h.neighbours = nil
		for _, id := range membership.SelectByRendezvous(others, h.id, spreadTargets) {
			i := slices.IndexFunc(f.all, func(o *fleetHost) bool { return o.id == id })
			h.neighbours = append(h.neighbours, f.all[i])
		}
	}
}

// arrive has a request come at any host.
func (f *fleet) arrive() {
	h := f.all[f.rng.IntN(len(f.all))]
	if h.killed || h.frozen {
		return
	}
	f.requested++
	var fingerprint suspect.Fingerprint
	binary.BigEndian.PutUint64(fingerprint[:], f.requested)
	r := &request{at: f.now, host: h, traits: []poison.Trait{poison.RequestTrait(fingerprint)}}
	first, middle := poison.Trait(fmt.Sprintf("part/first-%d", f.rng.IntN(4))), poison.Trait(fmt.Sprintf("part/middle-%d", f.middle.Uint64()))
	if n := f.rng.IntN(20); n < len(f.badParts) && f.now >= badFrom {
		r.bad, first = f.badParts[n], "part/first-0"
		if f.badFirst {
			first = r.bad
		} else {
			middle = r.bad
		}
	} else if f.soundUntil > 0 && f.now > f.soundUntil {
		return
	}
	r.traits = append(r.traits, first, middle)
	if r.bad == "" && first == "part/first-0" {
		f.sound = append(f.sound, r)
	}
	if h.refuses(r) {
		return
	}
	f.after(f.between(300*time.Millisecond, 1300*time.Millisecond), h.own(func() { h.send(r) }))
}

func (h *fleetHost) refuses(r *request) bool {
	_, blamed := h.ledger.Blamed(r.traits)
	if blamed && r.bad == "" {
		h.refusedSound++
	}
	return blamed
}

// send sends a request to any endpoint, unless it is refused by now.
func (h *fleetHost) send(r *request) {
	if h.refuses(r) {
		return
	}
	var up []*fleetEndpoint
	for _, e := range h.endpoint {
		if e.up && !h.knowsSilent(e) {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	e := up[h.rng.IntN(len(up))]
	incarnation := e.Endpoint
	if h.isSilent(e) {
		e.running = append(e.running, r) // it never begins there
		h.after(noticeMost, h.own(func() { h.sendAgain(e, incarnation, r) }))
		return
	}
	r.started, r.began = true, h.now
	e.running = append(e.running, r)
	if r.bad != "" {
		h.sent = append(h.sent, occurrence{h.now, r.bad, h.zone == cutZone, h.now > h.disturbedUntil})
		h.after(h.between(20*time.Millisecond, 150*time.Millisecond), func() {
			if e.up && e.Endpoint == incarnation && e.silentUntil <= h.now {
				h.crashes = append(h.crashes, occurrence{h.now, r.bad, e.zone == cutZone, true})
				h.crash(e)
			}
		})
		return
	}
	h.after(h.between(100*time.Millisecond, 3*time.Second), func() { h.complete(e, r) })
}

// complete ends a request with a whole response once its endpoint is not silent.
func (f *fleet) complete(e *fleetEndpoint, r *request) {
	if f.now < e.silentUntil {
		f.after(e.silentUntil-f.now+f.between(0, 500*time.Millisecond), func() { f.complete(e, r) })
		return
	}
	i := slices.Index(e.running, r)
	if i < 0 {
		return
	}
	e.running = slices.Delete(e.running, i, i+1)
	h := r.host
	h.own(func() {
		if !h.isCut(h.zone, e.zone) {
			h.ledger.Responded(e.Service, poison.NewRequest("", r.exchange()))
			h.ledger.Completed(e.Service, r.traits)
		}
	})()
}

// crash ends an endpoint, which is back as a new incarnation after 4 s.
func (f *fleet) crash(e *fleetEndpoint) {
	if !e.up {
		return
	}
	next := *e.Endpoint
	next.StartedUnixMs++
	restart := func() { e.up, e.Endpoint, e.silentUntil = true, &next, f.now }
	if f.dark {
		f.silence(e, downtime, func() { e.running = nil; restart() })
		return
	}
	for _, r := range e.running {
		f.breakOff(e, r)
	}
	e.up, e.running = false, nil
	f.after(downtime, restart)
}

// breakOff ends the connection of a request.
func (f *fleet) breakOff(e *fleetEndpoint, r *request) {
	h, incarnation := r.host, e.Endpoint
	if f.isCut(h.zone, e.zone) {
		return
	}
	notice := 10 * time.Millisecond
	if f.lost > 0 {
		notice = maxNotice
	}
	f.after(f.between(0, notice), h.own(func() {
		h.ledger.Crashed(incarnation, r.traits)
		h.sendAgain(e, incarnation, r)
	}))
}

// loseTogether ends a share of the endpoints in one moment.
func (f *fleet) loseTogether() {
	for _, i := range f.rng.Perm(len(f.endpoint))[:int(f.lost*float64(len(f.endpoint)))] {
		f.crash(f.endpoint[i])
	}
}

// truncate ends a response while its endpoint goes on.
func (f *fleet) truncate() {
	e := f.endpoint[f.rng.IntN(len(f.endpoint))]
	if i := len(e.running) - 1; i >= 0 {
		f.breakOff(e, e.running[i])
		e.running = e.running[:i]
	}
}
