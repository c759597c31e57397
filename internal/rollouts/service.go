package rollouts

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/rollout"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

// service is what this host knows of the roll-outs of one service. It is replaced, not
// changed, when the order changes; mu guards the fields below it.
type service struct {
	name  string
	order rollout.Order
	// participant is nil without an order.
	participant *rollout.Participant
	// keptOut are versions that get nothing: an order for them was taken back or changed
	// before it was completed.
	keptOut map[string]bool
	// invalid is set if the order can't be decoded and there was none before.
	invalid bool
	// since is when this became so.
	since time.Time

	mu        sync.Mutex
	collector *rollout.Collector
	// askedAt is when a host reported last.
	askedAt time.Time
	// known is, by host, the newest version of the cells that its collector has.
	known map[string]int64
	// asking holds the hosts that have not answered a report yet.
	asking     map[string]bool
	nextReport time.Time
	nextStep   time.Time
	// writing is set while a status is written, pendingSince when the wish to began.
	writing      bool
	pendingSince time.Time
	logged       rollout.Outcome
	// warned is the revision of the order that was last found to be invalid.
	warned int64
}

// without returns the endpoints of versions that are not kept out; all, if no order is left
// and there are no others.
func (s *service) without(endpoints []*catalog.Endpoint) []*catalog.Endpoint {
	if len(s.keptOut) == 0 {
		return endpoints
	}
	var rest []*catalog.Endpoint
	for _, e := range endpoints {
		if !s.keptOut[e.SoftwareVersion] {
			rest = append(rest, e)
		}
	}
	if len(rest) == 0 && s.participant == nil {
		return endpoints
	}
	return rest
}

// isRefusal reports whether an endpoint certainly did not run a call, which says nothing about
// its version.
func isRefusal(err error) bool { return verdict.Of(err) == verdict.NotRun }

// Observe applies the orders and statuses of a new snapshot. It must not be called
// concurrently.
func (g *Guard) Observe(s *facts.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	late := !g.observed
	g.observed = g.observed || s.Config != nil
	if len(s.RolloutOrders) == 0 && len(s.RolloutStatuses) == 0 && len(g.services) == 0 {
		return
	}
	names := maps.Clone(s.RolloutOrders)
	if names == nil {
		names = make(map[string]port.KeyValue)
	}
	maps.Copy(names, s.RolloutStatuses)
	for name := range g.services {
		names[name] = port.KeyValue{}
	}
	changed := false
	for _, name := range slices.Sorted(maps.Keys(names)) {
		changed = g.observeService(s, name, late) || changed
	}
	if changed {
		active := maps.Clone(g.services)
		g.active.Store(&active)
	}
}

// observeService applies what a snapshot says of one service, and reports whether what is
// known of it was replaced.
func (g *Guard) observeService(s *facts.Snapshot, name string, late bool) bool {
	old := g.services[name]
	next := g.ordered(s, name, old, late)
	statusItem, hasStatus := s.RolloutStatuses[name]
	status := rollout.Status{}
	if hasStatus {
		status = g.cfg.Codec.DecodeStatus(statusItem.Value)
	}
	if status.Target != "" && status.Target != next.order.Target && (status.State == rollout.InProgress || status.State == rollout.RolledBack) && !next.keptOut[status.Target] {
		collector := next.collector
		next = next.replaced(g.cfg.Clock.Now())
		next.collector = collector
		next.keptOut[status.Target] = true
	}
	if p := next.participant; p != nil {
		before := p.Ended()
		p.SetHosts(len(s.Hosts))
		p.SetLongestRun(longestRun(s.Config, name))
		p.SetStatus(status, statusItem.Revision)
		if after := p.Ended(); after != before {
			g.cfg.Log.Info("roll-out ended", slog.String("service", name), slog.String("target", next.order.Target), slog.String("state", after.String()), slog.Int64("revision", statusItem.Revision))
		}
	}
	g.services[name] = next
	return next != old
}

// replaced returns a service that takes the place of s, without its collector.
func (s *service) replaced(now time.Time) *service {
	keptOut := maps.Clone(s.keptOut)
	if keptOut == nil {
		keptOut = make(map[string]bool)
	}
	return &service{name: s.name, order: s.order, participant: s.participant, keptOut: keptOut, invalid: s.invalid, since: now, warned: s.warned,
		known: make(map[string]int64), asking: make(map[string]bool)}
}

// ordered returns what follows from the order in a snapshot; old if that has not changed.
func (g *Guard) ordered(s *facts.Snapshot, name string, old *service, late bool) *service {
	now := g.cfg.Clock.Now()
	if old == nil {
		old = (&service{name: name}).replaced(now)
	}
	item, ok := s.RolloutOrders[name]
	if !ok {
		if old.participant == nil && !old.invalid {
			return old
		}
		g.cfg.Log.Info("order for a roll-out removed", slog.String("service", name), slog.String("target", old.order.Target))
		next := old.replaced(now)
		next.keepOutTarget()
		next.order, next.participant, next.invalid = rollout.Order{}, nil, false
		return next
	}
	order, err := g.cfg.Codec.DecodeOrder(name, item.Value)
	if err != nil {
		if old.warned != item.Revision {
			g.cfg.Log.Warn("order for a roll-out ignored: can't be decoded", slog.String("service", name), slog.Int64("revision", item.Revision), slog.Bool("former_goes_on", old.participant != nil), slog.Any("error", err))
		}
		old.warned = item.Revision
		if old.participant != nil || old.invalid {
			return old
		}
		next := old.replaced(now)
		next.invalid = true
		return next
	}
	if old.participant != nil && old.order.ID() == order.ID() {
		return old
	}
	g.cfg.Log.Info("roll-out ordered", slog.String("service", name), slog.String("target", order.Target), slog.Duration("duration", order.Duration), slog.Int64("revision", item.Revision),
		slog.String("former_target", old.order.Target), slog.Bool("host_started_later", late))
	next := old.replaced(now)
	if order.Target != old.order.Target {
		next.keepOutTarget()
	}
	delete(next.keptOut, order.Target)
	next.order, next.invalid = order, false
	next.participant = rollout.NewParticipant(g.cfg.Bounds, order, late, g.cfg.Clock)
	next.collector = rollout.NewCollector(g.cfg.Bounds, order, g.cfg.Clock)
	return next
}

// keepOutTarget keeps the target out unless its roll-out was completed.
func (s *service) keepOutTarget() {
	if s.participant != nil && s.participant.Ended() != rollout.Completed {
		s.keptOut[s.order.Target] = true
	}
}

// defaultLongestRun is the longest run of a request without a timeout.
const defaultLongestRun = 10 * time.Second

// longestRun returns how long requests to a service may run.
func longestRun(c *catalog.Config, name string) time.Duration {
	longest := time.Duration(0)
	if c == nil {
		return defaultLongestRun
	}
	for _, r := range c.Routes {
		uses := slices.ContainsFunc(r.TrafficSplit, func(w catalog.WeightedService) bool { return w.Service == name }) ||
			slices.ContainsFunc(r.Stages, func(s catalog.Stage) bool { return s.Service == name })
		if uses && r.Timeout <= 0 {
			longest = max(longest, defaultLongestRun)
		}
		if uses {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}
