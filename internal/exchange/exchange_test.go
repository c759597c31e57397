package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

func TestEventsAlreadySentToTheCallerAreDropped(t *testing.T) {
	is := is.New(t)
	r := &exchangeRun{exchange: &port.Exchange{ResumeFrom: "1"}}
	joined := true
	unsent := func(events string) string {
		taken, err := r.takeUnsentEvents([]byte(events), &joined)
		is.NoErr(err)
		return string(taken)
	}
	is.Equal(r.stream.resumeFrom(r.exchange), "1")
	is.Equal(unsent("id: 2\ndata: a\n\nid: 3\ndata: b\n\n"), "id: 2\ndata: a\n\nid: 3\ndata: b\n\n")
	is.Equal(r.stream.resumeFrom(r.exchange), "3")
	is.Equal(unsent("id: 2\ndata: a\n\nid: 3\ndata: b\n\nid: 4\ndata: c\n\n"), "id: 4\ndata: c\n\n")
	is.Equal(unsent("data: without an id\n\n"), "data: without an id\n\n")
	is.Equal(r.stream.lastEventID, "4")
}

func TestShorterTimeoutApplies(t *testing.T) {
	is := is.New(t)
	is.Equal(effectiveTimeout(2*time.Second, time.Second), time.Second)
	is.Equal(effectiveTimeout(time.Second, 2*time.Second), time.Second)
	is.Equal(effectiveTimeout(0, time.Second), time.Second)
	is.Equal(effectiveTimeout(time.Second, 0), time.Second)
	is.Equal(effectiveTimeout(0, 0), defaultTimeout)
}

func TestCallerTimeoutBelowTheRoutesMeansPreviouslyRefused(t *testing.T) {
	is := is.New(t)
	previouslyRefused := func(callerTimeout time.Duration) bool {
		r := &exchangeRun{exchange: &port.Exchange{CallerTimeout: callerTimeout}, route: &catalog.Route{Timeout: 6 * time.Second}}
		return r.previouslyRefused()
	}
	is.True(!previouslyRefused(6 * time.Second))
	is.True(!previouslyRefused(0))
	is.True(previouslyRefused(4 * time.Second))
}

func TestOnlySharedPromptPartsAreCountedAndGiveTheCacheKey(t *testing.T) {
	is := is.New(t)
	r := &exchangeRun{exchange: &port.Exchange{Prompt: []port.PromptPart{{ID: "a", Tokens: 2500}, {ID: "b", Tokens: 3800}, {ID: "own", Tokens: 900}}},
		route: &catalog.Route{CacheAffinity: true}}
	is.Equal(r.sharedPromptTokens(), 6300)
	is.Equal(r.criteria("kranj").CacheKey, "b")
	r.route.CacheAffinity = false
	is.Equal(r.criteria("kranj").CacheKey, "")
}

func TestResultsZoneIsPreferredOnlyIfTransferCostsMoreThanTheCachedPrompt(t *testing.T) {
	is := is.New(t)
	stages := []catalog.Stage{{ResultBytes: 8000}, {DependsOn: []int{0}, ResultBytes: 6000}}
	r := &exchangeRun{exchange: &port.Exchange{Prompt: []port.PromptPart{{ID: "a", Tokens: 300}, {ID: "b", Tokens: 200}, {ID: "own", Tokens: 900}}, PieceCounts: []int{200, 10}},
		route: &catalog.Route{CacheAffinity: true, Stages: stages}}
	is.Equal(r.fetchedResultBytes(), int64(60000)) // results of the last stage only
	// The 500 shared tokens cost as much as the transfer of 1.35 MB.
	is.Equal(r.criteria("kranj").Zone, "")
	r.route.Stages = []catalog.Stage{{ResultBytes: 1500000}}
	r.exchange.PieceCounts = []int{2} // 3 MB
	is.Equal(r.criteria("kranj").Zone, "kranj")
}

// TestEmptyEventsAreNoProgress guards against streams that go nowhere and are never left
// for another endpoint.
func TestEmptyEventsAreNoProgress(t *testing.T) {
	is := is.New(t)
	is.True(!hasFields([]byte("\n\n\n\n")))
	is.True(!hasFields([]byte(": comment\n\n")))
	is.True(hasFields([]byte("\n\ndata: a\n\n")))
	is.True(hasFields([]byte("weights: 7\nid: 3\n\n")))
}

// TestEventsEndWithAnEmptyLine guards against events that are cut, joined or left out because
// of how their lines end.
func TestEventsEndWithAnEmptyLine(t *testing.T) {
	for _, tc := range []struct {
		body   string
		events string // without the part after the last complete event
		last   string
	}{
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2"},
		{"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid: 3\r\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "2"},
		{"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 2\r\ndata: b\r\n\r\n", "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n", "2"},
		{"id: 1\r\ndata: a\r\n\r", "", ""},
		{"id: 1\ndata: a\n\r\n\n", "id: 1\ndata: a\n\r\n\n", "1"},
		{"data: a\r\n", "", ""},
	} {
		is := is.New(t)
		r := &exchangeRun{exchange: &port.Exchange{}}
		joined := true
		unsent, err := r.takeUnsentEvents([]byte(tc.body)[:lastEventEnd([]byte(tc.body))], &joined)
		is.NoErr(err)
		is.Equal(string(unsent), tc.events)
		is.Equal(r.stream.lastEventID, tc.last)
	}
}

// TestLastIDOfAnEventCounts guards against an event that the caller gets twice, as the stream
// is resumed after the first one of its ids.
func TestLastIDOfAnEventCounts(t *testing.T) {
	is := is.New(t)
	is.Equal(eventID([]byte("id: 3\ndata: a\nid: 4\ndata: id: 9\n\n")), "4")
	is.Equal(eventID([]byte("id:3\r\ndata: a\r\n\r\n")), "3")
	is.Equal(eventID([]byte("Id: 3\nids: 4\ndata: a\n\n")), "")
}
