package poison_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/poison"
)

// Guards against evidence of endpoints that had only been silent: once they respond it is
// withdrawn, here and at other hosts, and comes back from nobody.
func TestCrashOfAnEndpointThatRespondsIsWithdrawn(t *testing.T) {
	is := is.New(t)
	clock := newClock()
	here, there, late := newLedger(clock), newLedger(clock), newLedger(clock)
	alive := make(map[catalog.Incarnation]time.Time)
	for i := range requestThreshold {
		e := incarnation("pool", i)
		here.Silent(e, traitsOf(badRequestTrait, badPart))
		alive[e.Incarnation()] = clock.Now().Add(4 * time.Second)
	}
	there.Merge(here.Reports(true))
	late.Merge(here.Reports(true))
	for _, l := range []*poison.Ledger{here, there} {
		_, blamed := l.Blamed(traitsOf(badRequestTrait))
		is.True(blamed)
		_, blamed = l.Blamed(traitsOf(badPart))
		is.True(!blamed)
	}
	clock.advance(5 * time.Second)
	here.Alive(alive)
	there.MergeAlive(here.AliveReports(true))
	for _, l := range []*poison.Ledger{here, there} {
		l.Merge(late.Reports(false))
		l.Restore(badRequestTrait, 5*time.Second) // an entry of the blame that has ended
		_, blamed := l.Blamed(traitsOf(badRequestTrait))
		is.True(!blamed)
	}
	// A response from before the crash says nothing.
	here.Crashed(incarnation("pool", 9), traitsOf(badRequestTrait))
	here.Alive(map[catalog.Incarnation]time.Time{incarnation("pool", 9).Incarnation(): clock.Now()})
	is.True(!here.Idle())
}
