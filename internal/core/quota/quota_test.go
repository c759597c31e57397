package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// manualClock is moved by the test.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// TestTheHostsTogetherStayWithinTheBound sends through hosts that know nothing
// of each other, some of them started anew, and counts repeats in every window.
func TestTheHostsTogetherStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		rule := RetryLimit{Share: 0.2, Slack: 56, Window: 10 * time.Second}
		clock := &manualClock{now: time.Unix(1000, 0)}
		const hosts = 8
		fleet := make([]*RetryBudgets, hosts)
		for i := range fleet {
			fleet[i] = NewRetryBudgets(rule, clock)
			fleet[i].SetHosts(hosts + 2)
		}
		type event struct {
			at     time.Time
			repeat bool
		}
		var events []event
		for range rapid.IntRange(50, 400).Draw(t, "sends") {
			clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			r := fleet[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			r.RecordFirst("pool", 1)
			events = append(events, event{clock.now, false})
			for range rapid.IntRange(0, 3).Draw(t, "wanted") {
				if r.TryTake("pool", 1) {
					events = append(events, event{clock.now, true})
				}
			}
		}
		for i := range events {
			first, repeats, before := 0, 0, 0
			for _, e := range events {
				switch d := e.at.Sub(events[i].at); {
				case d >= 0 && d < rule.Window && e.repeat:
					repeats++
				case d >= 0 && d < rule.Window:
					first++
				case d < 0 && d >= -rule.Window && !e.repeat:
					before++
				}
			}
			is.True(float64(repeats) <= rule.Share*float64(max(first, before))+rule.Slack)
		}
	})
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	is := is.New(t)
	r := NewRetryBudgets(RetryLimit{Share: 0, Slack: 2, Window: time.Second}, &manualClock{now: time.Unix(0, 0)})
	is.True(r.TryTake("a", 2))
	is.True(!r.TryTake("a", 1))
	is.True(r.TryTake("b", 1))
}

func TestBudgetIsRestoredAfterWindow(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(0, 0)}
	r := NewRetryBudgets(RetryLimit{Share: 0, Slack: 1, Window: time.Second}, clock)
	is.True(r.TryTake("a", 1))
	is.True(!r.TryTake("a", 1))
	clock.now = clock.now.Add(1100 * time.Millisecond)
	is.True(r.TryTake("a", 1))
}
