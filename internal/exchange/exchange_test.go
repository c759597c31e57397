package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

func TestEventsThatTheCallerHasAreLeftOut(t *testing.T) {
	is := is.New(t)
	r := &run{x: &port.Exchange{ResumeFrom: "1"}}
	is.Equal(r.stream.resumeFrom(r.x), "1")
	is.Equal(string(r.unseen([]byte("id: 2\ndata: a\n\nid: 3\ndata: b\n\n"))), "id: 2\ndata: a\n\nid: 3\ndata: b\n\n")
	is.Equal(r.stream.resumeFrom(r.x), "3")
	is.Equal(string(r.unseen([]byte("id: 2\ndata: a\n\nid: 3\ndata: b\n\nid: 4\ndata: c\n\n"))), "id: 4\ndata: c\n\n")
	is.Equal(string(r.unseen([]byte("data: without an id\n\n"))), "data: without an id\n\n")
	is.Equal(r.stream.lastID, "4")
}

func TestTheShorterTimeHolds(t *testing.T) {
	is := is.New(t)
	is.Equal(allowed(2*time.Second, time.Second), time.Second)
	is.Equal(allowed(time.Second, 2*time.Second), time.Second)
	is.Equal(allowed(0, time.Second), time.Second)
	is.Equal(allowed(time.Second, 0), time.Second)
	is.Equal(allowed(0, 0), defaultTimeout)
}

func TestACallerWithLessTimeThanTheRouteHasBeenHereBefore(t *testing.T) {
	is := is.New(t)
	at := func(allowance time.Duration) bool {
		r := &run{x: &port.Exchange{CallerTimeout: allowance}, route: &catalog.Route{Timeout: 6 * time.Second}}
		return r.returned()
	}
	is.True(!at(6 * time.Second))
	is.True(!at(0))
	is.True(at(4 * time.Second))
}

func TestOnlyWhatRequestsShareIsCounted(t *testing.T) {
	is := is.New(t)
	r := &run{x: &port.Exchange{Prompt: []port.PromptPart{{ID: "a", Tokens: 2500}, {ID: "b", Tokens: 3800}, {ID: "own", Tokens: 900}}},
		route: &catalog.Route{PromptCache: true}}
	is.Equal(r.sharedTokens(), 6300)
	is.Equal(r.work("kranj").CacheKey, "b")
	r.route.PromptCache = false
	is.Equal(r.work("kranj").CacheKey, "")
}

func TestTheZoneOfResultsBindsOnlyIfTheyOutweighTheCache(t *testing.T) {
	is := is.New(t)
	chain := []catalog.Stage{{ResultBytes: 8000}, {DependsOn: []int{0}, ResultBytes: 6000}}
	r := &run{x: &port.Exchange{Prompt: []port.PromptPart{{ID: "a", Tokens: 300}, {ID: "b", Tokens: 200}, {ID: "own", Tokens: 900}}, StagePieces: []int{200, 10}},
		route: &catalog.Route{PromptCache: true, Stages: chain}}
	is.Equal(r.resultBytes(), int64(60000)) // of the last stage alone
	is.Equal(r.work("kranj").Zone, "")
	r.route.Stages = []catalog.Stage{{ResultBytes: 1500000}}
	r.x.StagePieces = []int{2}
	is.Equal(r.work("kranj").Zone, "kranj")
}
