package coldstart

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// newTestHolder returns a Holder with a lease that needs no settling.
func newTestHolder(now time.Time, known Word) *Holder {
	h := NewHolder(func(string) Word { return known }, func(Word) {})
	h.SetLease(Lease{Fence: 3, Since: now, Until: now.Add(time.Hour), First: true})
	return h
}

// use asks for one permit and returns it as one that brought an answer.
func use(t *testing.T, h *Holder, now time.Time, ask Ask, incarnation string) Return {
	ask.Count, ask.Lifetime = 1, time.Second
	r, err := h.Grant(now, testEndpoint, ask)
	is := is.New(t)
	is.NoErr(err)
	is.Equal(len(r.Permits), 1)
	return Return{Permit: r.Permits[0], Fence: r.Fence, Answered: true, Incarnation: incarnation}
}

// TestOnlyAnswersOfOneColdStartCount returns one answer too few, besides one
// that must not count, and looks whether the endpoint counts as warm.
func TestOnlyAnswersOfOneColdStartCount(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]func(h *Holder) Ask{
		"answer of an earlier process": func(h *Holder) Ask {
			return Ask{Returns: []Return{use(t, h, now, Ask{}, "a")}}
		},
		"answer under a permit from before a doubt": func(h *Holder) Ask {
			return Ask{Doubt: true, Returns: []Return{use(t, h, now, Ask{}, "b")}}
		},
		"answer from before a doubt, late": func(h *Holder) Ask {
			late := use(t, h, now, Ask{}, "b")
			_, err := h.Grant(now, testEndpoint, Ask{Doubt: true})
			is.New(t).NoErr(err)
			return Ask{Returns: []Return{late}}
		},
		"a later state known to the asker": func(h *Holder) Ask {
			return Ask{Known: 1 << 60, Returns: []Return{use(t, h, now, Ask{}, "b")}}
		},
		"answer returned twice": func(h *Holder) Ask {
			back := use(t, h, now, Ask{}, "b")
			back.Answered = false
			again := back
			again.Answered = true
			return Ask{Returns: []Return{back, again}}
		},
		"permit of another lease": func(h *Holder) Ask {
			back := use(t, h, now, Ask{}, "b")
			back.Fence--
			return Ask{Returns: []Return{back}}
		},
	}
	for name, odd := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newTestHolder(now, Word{})
			_, err := h.Grant(now, testEndpoint, odd(h))
			is.NoErr(err)
			var last Reply
			for range testEndpoint.WarmAfter - 1 {
				back := use(t, h, now, Ask{}, "b")
				last, err = h.Grant(now, testEndpoint, Ask{Returns: []Return{back}})
				is.NoErr(err)
			}
			is.True(!last.Word.Warm)
			last, err = h.Grant(now, testEndpoint, Ask{Returns: []Return{use(t, h, now, Ask{}, "b")}})
			is.NoErr(err)
			is.True(last.Word.Warm)
		})
	}
}

func TestAWarmEndpointTurnsColdAtTheFirstWord(t *testing.T) {
	now := time.Unix(1000, 0)
	warm := Word{Endpoint: testEndpoint.ID, Epoch: 9, Warm: true, Incarnation: "a"}
	for name, ask := range map[string]Ask{
		"own doubt":                   {Known: 8, Warm: true, Doubt: true},
		"heard another host's doubt":  {Known: 9},
		"heard of a later cold start": {Known: 10},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := newTestHolder(now, warm).Grant(now, testEndpoint, ask)
			is.NoErr(err)
			is.True(!r.Word.Warm)
			is.True(r.Word.Epoch > max(warm.Epoch, ask.Known))
		})
	}
	r, err := newTestHolder(now, warm).Grant(now, testEndpoint, Ask{}) // a new host asks
	is.New(t).NoErr(err)
	is.New(t).Equal(r.Word, warm)
}

func TestASettlingHolderGivesNoPermitsAndForgetsNoDoubt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	heard := Word{}
	h := NewHolder(func(string) Word { return heard }, func(Word) {})
	h.SetLease(Lease{Fence: 3, Since: now, Until: now.Add(time.Hour)})
	_, err := h.Grant(now, testEndpoint, Ask{Count: 1, Lifetime: time.Second})
	is.Equal(err, ErrSettling)
	heard = Word{Endpoint: testEndpoint.ID, Epoch: 9, Warm: true} // came after the first Ask
	r, err := h.Grant(now, testEndpoint, Ask{Count: 1, Lifetime: time.Second})
	is.NoErr(err)
	is.Equal(r.Word, heard)
	r, err = h.Grant(now, testEndpoint, Ask{Known: 9, Warm: true, Doubt: true, Count: 1, Lifetime: time.Second})
	is.NoErr(err)
	is.True(!r.Word.Warm)
	is.Equal(len(r.Permits), 0)
	settled := now.Add(Settle)
	r, err = h.Grant(settled, testEndpoint, Ask{Known: r.Word.Epoch, Count: 9, Lifetime: time.Second})
	is.NoErr(err)
	is.Equal(len(r.Permits), testEndpoint.ColdLimit)
}

func TestAGateTakesNothingFromAnOlderLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := NewGate(func(Doubt) {})
	ask := g.Ask(now, testEndpoint.ID, 1, now.Add(time.Second))
	g.Take(now, ask, Reply{Word: Word{Endpoint: testEndpoint.ID, Epoch: 5}, Fence: 5})
	g.Take(now, ask, Reply{Word: Word{Endpoint: testEndpoint.ID, Epoch: 6, Warm: true}, Fence: 4, Permits: []uint64{1}, Lifetime: time.Minute})
	_, err := g.Enter(now, testEndpoint, now.Add(time.Second))
	is.Equal(err, ErrNoPermit)
}

// TestTheFirstSignMakesAnEndpointCold goes through the signs of a cold start
// that an attempt's end shows, and ends that are none.
func TestTheFirstSignMakesAnEndpointCold(t *testing.T) {
	now := time.Unix(1000, 0)
	load := func(incarnation string, cold bool) *port.LoadReport {
		return &port.LoadReport{Incarnation: incarnation, Cold: cold, Slots: testEndpoint.Slots}
	}
	for name, c := range map[string]struct {
		end  End
		sign bool
	}{
		"broken connection": {End{Reset: true}, true},
		"another process":   {End{Stopped: true, Answered: true, Load: load("b", false)}, true},
		"its own report":    {End{Stopped: true, Answered: true, Load: load("a", true)}, true},
		"an answer":         {End{Stopped: true, Answered: true, Load: load("a", false)}, false},
		"a refusal":         {End{Stopped: true}, false},
		"a timeout":         {End{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var doubts []Doubt
			g := NewGate(func(d Doubt) { doubts = append(doubts, d) })
			g.Hear(now.Add(-time.Minute), Word{Endpoint: testEndpoint.ID, Epoch: 4, Warm: true, Incarnation: "a"})
			pass, err := g.Enter(now, testEndpoint, now.Add(time.Second))
			is.NoErr(err)
			is.Equal(pass.Leave(now, c.end), c.sign)
			is.Equal(g.Known(testEndpoint.ID).Warm, !c.sign)
			is.Equal(len(doubts) == 1, c.sign)
			g.Hear(now, Word{Endpoint: testEndpoint.ID, Epoch: 5, Warm: true}) // on its way before the doubt
			is.Equal(g.Known(testEndpoint.ID).Warm, !c.sign)
		})
	}
}
