package coldstart

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// newTestIssuer returns a Holder with a lease that needs no settling.
func newTestIssuer(now time.Time, known Status) *PermitIssuer {
	h := NewPermitIssuer(func(string) Status { return known }, func(Status) {})
	h.SetLease(Lease{Fence: 3, Since: now, Until: now.Add(time.Hour), NoEarlierPermits: true})
	return h
}

// use asks for one permit and returns it as one that brought an answer.
func takeAndReturnPermit(t *testing.T, h *PermitIssuer, now time.Time, ask PermitRequest, incarnation string) PermitReturn {
	ask.Count, ask.Lifetime = 1, time.Second
	r, err := h.Grant(now, testEndpoint, ask)
	is := is.New(t)
	is.NoErr(err)
	is.Equal(len(r.Permits), 1)
	return PermitReturn{Permit: r.Permits[0], Fence: r.Fence, Answered: true, Incarnation: incarnation}
}

// TestOnlyAnswersOfCurrentColdStartCount returns one answer too few, besides one
// that must not count, and looks whether the endpoint counts as warm.
func TestOnlyAnswersOfCurrentColdStartCount(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]func(h *PermitIssuer) PermitRequest{
		"answer of an earlier process": func(h *PermitIssuer) PermitRequest {
			return PermitRequest{Returns: []PermitReturn{takeAndReturnPermit(t, h, now, PermitRequest{}, "a")}}
		},
		"answer under a permit from before a doubt": func(h *PermitIssuer) PermitRequest {
			return PermitRequest{Suspected: true, Returns: []PermitReturn{takeAndReturnPermit(t, h, now, PermitRequest{}, "b")}}
		},
		"answer from before a doubt, late": func(h *PermitIssuer) PermitRequest {
			late := takeAndReturnPermit(t, h, now, PermitRequest{}, "b")
			_, err := h.Grant(now, testEndpoint, PermitRequest{Suspected: true})
			is.New(t).NoErr(err)
			return PermitRequest{Returns: []PermitReturn{late}}
		},
		"a later state known to the asker": func(h *PermitIssuer) PermitRequest {
			return PermitRequest{KnownEpoch: 1 << 60, Returns: []PermitReturn{takeAndReturnPermit(t, h, now, PermitRequest{}, "b")}}
		},
		"answer returned twice": func(h *PermitIssuer) PermitRequest {
			back := takeAndReturnPermit(t, h, now, PermitRequest{}, "b")
			back.Answered = false
			again := back
			again.Answered = true
			return PermitRequest{Returns: []PermitReturn{back, again}}
		},
		"permit of another lease": func(h *PermitIssuer) PermitRequest {
			back := takeAndReturnPermit(t, h, now, PermitRequest{}, "b")
			back.Fence--
			return PermitRequest{Returns: []PermitReturn{back}}
		},
	}
	for name, odd := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newTestIssuer(now, Status{})
			_, err := h.Grant(now, testEndpoint, odd(h))
			is.NoErr(err)
			var last PermitReply
			for range testEndpoint.WarmAfter - 1 {
				back := takeAndReturnPermit(t, h, now, PermitRequest{}, "b")
				last, err = h.Grant(now, testEndpoint, PermitRequest{Returns: []PermitReturn{back}})
				is.NoErr(err)
			}
			is.True(!last.Status.Warm)
			last, err = h.Grant(now, testEndpoint, PermitRequest{Returns: []PermitReturn{takeAndReturnPermit(t, h, now, PermitRequest{}, "b")}})
			is.NoErr(err)
			is.True(last.Status.Warm)
		})
	}
}

func TestWarmEndpointTurnsColdOnFirstSuspicion(t *testing.T) {
	now := time.Unix(1000, 0)
	warm := Status{Endpoint: testEndpoint.ID, Epoch: 9, Warm: true, Incarnation: "a"}
	for name, ask := range map[string]PermitRequest{
		"own doubt":                   {KnownEpoch: 8, BelievedWarm: true, Suspected: true},
		"heard another host's doubt":  {KnownEpoch: 9},
		"heard of a later cold start": {KnownEpoch: 10},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := newTestIssuer(now, warm).Grant(now, testEndpoint, ask)
			is.NoErr(err)
			is.True(!r.Status.Warm)
			is.True(r.Status.Epoch > max(warm.Epoch, ask.KnownEpoch))
		})
	}
	r, err := newTestIssuer(now, warm).Grant(now, testEndpoint, PermitRequest{}) // a new host asks
	is.New(t).NoErr(err)
	is.New(t).Equal(r.Status, warm)
}

func TestNewLeaseHolderDelaysPermitsAndRecordsSuspicions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	heard := Status{}
	h := NewPermitIssuer(func(string) Status { return heard }, func(Status) {})
	h.SetLease(Lease{Fence: 3, Since: now, Until: now.Add(time.Hour)})
	_, err := h.Grant(now, testEndpoint, PermitRequest{Count: 1, Lifetime: time.Second})
	is.Equal(err, ErrTakeoverPending)
	heard = Status{Endpoint: testEndpoint.ID, Epoch: 9, Warm: true} // came after the first Ask
	r, err := h.Grant(now, testEndpoint, PermitRequest{Count: 1, Lifetime: time.Second})
	is.NoErr(err)
	is.Equal(r.Status, heard)
	r, err = h.Grant(now, testEndpoint, PermitRequest{KnownEpoch: 9, BelievedWarm: true, Suspected: true, Count: 1, Lifetime: time.Second})
	is.NoErr(err)
	is.True(!r.Status.Warm)
	is.Equal(len(r.Permits), 0)
	settled := now.Add(TakeoverDelay)
	r, err = h.Grant(settled, testEndpoint, PermitRequest{KnownEpoch: r.Status.Epoch, Count: 9, Lifetime: time.Second})
	is.NoErr(err)
	is.Equal(len(r.Permits), testEndpoint.ColdLimit)
}

func TestLimiterIgnoresRepliesOfOlderLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := NewLimiter(func(Suspicion) {})
	ask := g.NewPermitRequest(now, testEndpoint.ID, 1, now.Add(time.Second))
	g.ApplyReply(now, ask, PermitReply{Status: Status{Endpoint: testEndpoint.ID, Epoch: 5}, Fence: 5})
	g.ApplyReply(now, ask, PermitReply{Status: Status{Endpoint: testEndpoint.ID, Epoch: 6, Warm: true}, Fence: 4, Permits: []uint64{1}, Lifetime: time.Minute})
	_, err := g.Admit(now, testEndpoint, now.Add(time.Second))
	is.Equal(err, ErrNoPermit)
}

// TestFirstSignOfColdStartMarksEndpointCold goes through the signs of a cold start
// that an attempt's end shows, and ends that are none.
func TestFirstSignOfColdStartMarksEndpointCold(t *testing.T) {
	now := time.Unix(1000, 0)
	load := func(incarnation string, cold bool) *port.Load {
		return &port.Load{Incarnation: incarnation, Cold: cold, Slots: testEndpoint.Slots}
	}
	for name, c := range map[string]struct {
		end  Outcome
		sign bool
	}{
		"broken connection": {Outcome{ConnectionClosed: true}, true},
		"another process":   {Outcome{Stopped: true, Answered: true, Load: load("b", false)}, true},
		"its own report":    {Outcome{Stopped: true, Answered: true, Load: load("a", true)}, true},
		"an answer":         {Outcome{Stopped: true, Answered: true, Load: load("a", false)}, false},
		"a refusal":         {Outcome{Stopped: true}, false},
		"a timeout":         {Outcome{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var doubts []Suspicion
			g := NewLimiter(func(d Suspicion) { doubts = append(doubts, d) })
			g.ApplyStatus(now.Add(-time.Minute), Status{Endpoint: testEndpoint.ID, Epoch: 4, Warm: true, Incarnation: "a"})
			pass, err := g.Admit(now, testEndpoint, now.Add(time.Second))
			is.NoErr(err)
			is.Equal(pass.Finish(now, c.end), c.sign)
			is.Equal(g.Status(testEndpoint.ID).Warm, !c.sign)
			is.Equal(len(doubts) == 1, c.sign)
			g.ApplyStatus(now, Status{Endpoint: testEndpoint.ID, Epoch: 5, Warm: true}) // on its way before the doubt
			is.Equal(g.Status(testEndpoint.ID).Warm, !c.sign)
		})
	}
}
