package coldstart

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// newTestIssuer returns a PermitIssuer that may issue permits at once. known is what
// its host's Limiter knows of the endpoint.
func newTestIssuer(now time.Time, known Status) *PermitIssuer {
	issuer := NewPermitIssuer(func(string) Status { return known }, func(Status) {})
	issuer.SetLease(Lease{Fence: 3, Since: now, Until: now.Add(time.Hour), NoEarlierPermits: true})
	return issuer
}

// newAnsweredReturn requests one permit from the issuer and builds the return, not
// sent to the issuer, of an attempt that a process of the endpoint answered.
func newAnsweredReturn(t *testing.T, issuer *PermitIssuer, now time.Time, req PermitRequest, incarnation string) PermitReturn {
	req.Count, req.Lifetime = 1, time.Second
	r, err := issuer.Grant(now, testEndpoint, req)
	is := is.New(t)
	is.NoErr(err)
	is.Equal(len(r.Permits), 1)
	return PermitReturn{Permit: r.Permits[0], Fence: r.Fence, Answered: true, Incarnation: incarnation}
}

// TestOnlyResponsesInCurrentColdStartCount returns a response that must not count
// and then one response too few, and checks that the endpoint is not yet warm and
// that one more response makes it warm.
func TestOnlyResponsesInCurrentColdStartCount(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]func(issuer *PermitIssuer) PermitRequest{
		"response of an earlier process": func(issuer *PermitIssuer) PermitRequest {
			return PermitRequest{Returns: []PermitReturn{newAnsweredReturn(t, issuer, now, PermitRequest{}, "a")}}
		},
		"response under a permit from before a suspicion": func(issuer *PermitIssuer) PermitRequest {
			return PermitRequest{Suspected: true, Returns: []PermitReturn{newAnsweredReturn(t, issuer, now, PermitRequest{}, "b")}}
		},
		"late response from before a suspicion": func(issuer *PermitIssuer) PermitRequest {
			late := newAnsweredReturn(t, issuer, now, PermitRequest{}, "b")
			_, err := issuer.Grant(now, testEndpoint, PermitRequest{Suspected: true})
			is.New(t).NoErr(err)
			return PermitRequest{Returns: []PermitReturn{late}}
		},
		"requester knows a later epoch": func(issuer *PermitIssuer) PermitRequest {
			return PermitRequest{KnownEpoch: 1 << 60, Returns: []PermitReturn{newAnsweredReturn(t, issuer, now, PermitRequest{}, "b")}}
		},
		"permit returned twice": func(issuer *PermitIssuer) PermitRequest {
			ret := newAnsweredReturn(t, issuer, now, PermitRequest{}, "b")
			ret.Answered = false
			again := ret
			again.Answered = true
			return PermitRequest{Returns: []PermitReturn{ret, again}}
		},
		"permit of another lease": func(issuer *PermitIssuer) PermitRequest {
			ret := newAnsweredReturn(t, issuer, now, PermitRequest{}, "b")
			ret.Fence--
			return PermitRequest{Returns: []PermitReturn{ret}}
		},
	}
	for name, uncounted := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			issuer := newTestIssuer(now, Status{})
			_, err := issuer.Grant(now, testEndpoint, uncounted(issuer))
			is.NoErr(err)
			var last PermitReply
			for range testEndpoint.WarmAfter - 1 {
				ret := newAnsweredReturn(t, issuer, now, PermitRequest{}, "b")
				last, err = issuer.Grant(now, testEndpoint, PermitRequest{Returns: []PermitReturn{ret}})
				is.NoErr(err)
			}
			is.True(!last.Status.Warm)
			last, err = issuer.Grant(now, testEndpoint, PermitRequest{Returns: []PermitReturn{newAnsweredReturn(t, issuer, now, PermitRequest{}, "b")}})
			is.NoErr(err)
			is.True(last.Status.Warm)
		})
	}
}

func TestWarmEndpointTurnsColdOnFirstSuspicion(t *testing.T) {
	now := time.Unix(1000, 0)
	warm := Status{Endpoint: testEndpoint.ID, Epoch: 9, Warm: true, Incarnation: "a"}
	for name, req := range map[string]PermitRequest{
		"own suspicion":                     {KnownEpoch: 8, BelievedWarm: true, Suspected: true},
		"received another host's suspicion": {KnownEpoch: 9},
		"knows of a later cold start":       {KnownEpoch: 10},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := newTestIssuer(now, warm).Grant(now, testEndpoint, req)
			is.NoErr(err)
			is.True(!r.Status.Warm)
			is.True(r.Status.Epoch > max(warm.Epoch, req.KnownEpoch))
		})
	}
	r, err := newTestIssuer(now, warm).Grant(now, testEndpoint, PermitRequest{}) // a request of a new host
	is.New(t).NoErr(err)
	is.New(t).Equal(r.Status, warm)
}

func TestNewLeaseHolderDelaysPermitsAndRecordsSuspicions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	localStatus := Status{}
	issuer := NewPermitIssuer(func(string) Status { return localStatus }, func(Status) {})
	issuer.SetLease(Lease{Fence: 3, Since: now, Until: now.Add(time.Hour)})
	_, err := issuer.Grant(now, testEndpoint, PermitRequest{Count: 1, Lifetime: time.Second})
	is.Equal(err, ErrTakeoverPending)
	localStatus = Status{Endpoint: testEndpoint.ID, Epoch: 9, Warm: true} // received after the first request
	r, err := issuer.Grant(now, testEndpoint, PermitRequest{Count: 1, Lifetime: time.Second})
	is.NoErr(err)
	is.Equal(r.Status, localStatus)
	r, err = issuer.Grant(now, testEndpoint, PermitRequest{KnownEpoch: 9, BelievedWarm: true, Suspected: true, Count: 1, Lifetime: time.Second})
	is.NoErr(err)
	is.True(!r.Status.Warm)
	is.Equal(len(r.Permits), 0)
	afterTakeover := now.Add(TakeoverDelay)
	r, err = issuer.Grant(afterTakeover, testEndpoint, PermitRequest{KnownEpoch: r.Status.Epoch, Count: 9, Lifetime: time.Second})
	is.NoErr(err)
	is.Equal(len(r.Permits), testEndpoint.ColdLimit)
}

func TestLimiterIgnoresRepliesOfOlderLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	limiter := NewLimiter(func(Suspicion) {})
	req := limiter.NewPermitRequest(now, testEndpoint.ID, 1, now.Add(time.Second))
	limiter.ApplyReply(now, req, PermitReply{Status: Status{Endpoint: testEndpoint.ID, Epoch: 5}, Fence: 5})
	limiter.ApplyReply(now, req, PermitReply{Status: Status{Endpoint: testEndpoint.ID, Epoch: 6, Warm: true}, Fence: 4, Permits: []uint64{1}, Lifetime: time.Minute})
	_, err := limiter.Admit(now, testEndpoint, now.Add(time.Second))
	is.Equal(err, ErrNoPermit)
}

// TestFirstSignOfColdStartMarksEndpointCold checks which outcomes of an attempt are
// a sign of a cold start, that a sign is broadcast, and that a later warm status
// does not override an unacknowledged suspicion.
func TestFirstSignOfColdStartMarksEndpointCold(t *testing.T) {
	now := time.Unix(1000, 0)
	load := func(incarnation string, cold bool) *port.LoadReport {
		return &port.LoadReport{Incarnation: incarnation, Cold: cold, Slots: testEndpoint.Slots}
	}
	for name, c := range map[string]struct {
		outcome  Outcome
		coldSign bool
	}{
		"closed connection":    {Outcome{ConnectionClosed: true}, true},
		"another process":      {Outcome{Stopped: true, Answered: true, Load: load("b", false)}, true},
		"report of being cold": {Outcome{Stopped: true, Answered: true, Load: load("a", true)}, true},
		"a response":           {Outcome{Stopped: true, Answered: true, Load: load("a", false)}, false},
		"a refusal":            {Outcome{Stopped: true}, false},
		"a timeout":            {Outcome{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var suspicions []Suspicion
			limiter := NewLimiter(func(suspicion Suspicion) { suspicions = append(suspicions, suspicion) })
			limiter.ApplyStatus(now.Add(-time.Minute), Status{Endpoint: testEndpoint.ID, Epoch: 4, Warm: true, Incarnation: "a"})
			admission, err := limiter.Admit(now, testEndpoint, now.Add(time.Second))
			is.NoErr(err)
			is.Equal(admission.Finish(now, c.outcome), c.coldSign)
			is.Equal(limiter.Status(testEndpoint.ID).Warm, !c.coldSign)
			is.Equal(len(suspicions) == 1, c.coldSign)
			limiter.ApplyStatus(now, Status{Endpoint: testEndpoint.ID, Epoch: 5, Warm: true}) // sent before the suspicion
			is.Equal(limiter.Status(testEndpoint.ID).Warm, !c.coldSign)
		})
	}
}
