package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// TestTheHostsTogetherStayWithinTheBound sends from hosts that do not
// coordinate and checks the total number of retries in every window. The bound
// is computed from the first attempts in the window or, if they are more, in
// the window before it.
func TestTheHostsTogetherStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		limit := RetryLimit{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
		clock := &manualClock{now: time.Unix(1000, 0)}
		const hosts = 8
		budgets := make([]*RetryBudgets, hosts)
		for i := range budgets {
			budgets[i] = NewRetryBudgets(limit, clock)
			budgets[i].SetHostCount(hosts + 2)
		}
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		for range rapid.IntRange(50, 400).Draw(t, "sends") {
			clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			r := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			r.RecordFirstAttempts("pool", 1)
			events = append(events, event{clock.now, false})
			for range rapid.IntRange(0, 3).Draw(t, "wanted") {
				if r.TryTake("pool", 1) {
					events = append(events, event{clock.now, true})
				}
			}
		}
		for i := range events {
			firstAttempts, retries, firstAttemptsBefore := 0, 0, 0
			for _, e := range events {
				switch d := e.at.Sub(events[i].at); {
				case d >= 0 && d < limit.Window && e.retry:
					retries++
				case d >= 0 && d < limit.Window:
					firstAttempts++
				case d < 0 && d >= -limit.Window && !e.retry:
					firstAttemptsBefore++
				}
			}
			is.True(float64(retries) <= limit.Ratio*float64(max(firstAttempts, firstAttemptsBefore))+limit.Slack)
		}
	})
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	is := is.New(t)
	r := NewRetryBudgets(RetryLimit{Ratio: 0, Slack: 2, Window: time.Second}, &manualClock{now: time.Unix(0, 0)})
	is.True(r.TryTake("a", 2))
	is.True(!r.TryTake("a", 1))
	is.True(r.TryTake("b", 1))
}

func TestBudgetIsRestoredAfterWindow(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(0, 0)}
	r := NewRetryBudgets(RetryLimit{Ratio: 0, Slack: 1, Window: time.Second}, clock)
	is.True(r.TryTake("a", 1))
	is.True(!r.TryTake("a", 1))
	clock.now = clock.now.Add(1100 * time.Millisecond)
	is.True(r.TryTake("a", 1))
}

func TestHostWithoutSlackHasItsRatio(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(0, 0)}
	r := NewRetryBudgets(RetryLimit{Ratio: 0.2, Slack: 10, Window: time.Second}, clock)
	r.HoldSlack(clock.now.Add(time.Second))
	is.True(!r.TryTake("a", 1))
	r.RecordFirstAttempts("a", 5)
	is.True(r.TryTake("a", 1))
	is.True(!r.TryTake("a", 1))
	clock.now = clock.now.Add(time.Second)
	is.True(r.TryTake("a", 10))
}
