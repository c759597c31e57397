package rollouts

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/rollout"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// kindReport is the kind of peer requests that carry a report; the response is a grant.
	kindReport = "rollout.report"
	// tick is the time between two looks at what is due, and stepInterval that between two
	// steps of a collector.
	tick         = 50 * time.Millisecond
	stepInterval = 100 * time.Millisecond
	// collectors is the number of hosts to which each reports.
	collectors = 2
	// reportTimeout bounds a report, and writeTimeout a write to the store.
	reportTimeout = 800 * time.Millisecond
	writeTimeout  = time.Second
	// writeInterval is the time between two writes.
	writeInterval = 300 * time.Millisecond
	// writerDelay is how long the second host waits for the first one to write.
	writerDelay = 2 * time.Second
)

// reportMessage is a report and the roll-out that it belongs to.
type reportMessage struct {
	Service string         `cbor:"1,keyasint"`
	Order   string         `cbor:"2,keyasint"`
	Report  rollout.Report `cbor:"3,keyasint"`
}

// grantMessage answers a report. Unknown means that the host does not know the roll-out.
type grantMessage struct {
	Unknown bool          `cbor:"1,keyasint,omitempty"`
	Grant   rollout.Grant `cbor:"2,keyasint"`
}

// Run reports this host's counts and collects those of others until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if active := g.active.Load(); active != nil {
			for _, s := range *active {
				g.attend(ctx, s)
			}
		}
	}
}

// attend does what is due for a service.
func (g *Guard) attend(ctx context.Context, s *service) {
	now, snapshot := g.cfg.Clock.Now(), g.cfg.Snapshot()
	status := g.status(snapshot, s.name)
	if s.participant == nil {
		g.endUnordered(ctx, s, status, now)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g.record(s)
	if status.Status.Target == s.order.Target && status.Status.State.Ended() {
		return
	}
	ranked := g.cfg.Peers.Candidates()
	if !now.Before(s.nextReport) {
		s.nextReport = now.Add(g.cfg.Bounds.Interval(len(snapshot.Hosts), s.participant.Elapsed(), s.order.Duration))
		for i, host := range ranked[:min(collectors, len(ranked))] {
			g.report(ctx, s, host, i == 0, snapshot.Usable[s.name])
		}
	}
	if now.Sub(s.askedAt) < g.cfg.Bounds.GrantTime() && !now.Before(s.nextStep) {
		s.nextStep = now.Add(stepInterval)
		g.step(ctx, s, ranked, snapshot, status, now)
	}
}

// storedStatus is a status and its revision, 0 if there is none.
type storedStatus struct {
	Status   rollout.Status
	Revision int64
}

func (g *Guard) status(s *facts.Snapshot, name string) storedStatus {
	item, ok := s.RolloutStatuses[name]
	if !ok {
		return storedStatus{}
	}
	return storedStatus{g.cfg.Codec.DecodeStatus(item.Value), item.Revision}
}

// report sends a report to a host, which may be this one, unless one is under way. s.mu must
// be held.
func (g *Guard) report(ctx context.Context, s *service, host string, isFirst bool, endpoints []*catalog.Endpoint) {
	if s.asking[host] {
		return
	}
	at := g.cfg.Clock.Now()
	r := s.participant.Report(g.cfg.Peers.Self(), g.cfg.Incarnation, s.known[host], endpoints)
	if host == g.cfg.Peers.Self() {
		s.askedAt = at
		grant := s.collector.Add(r)
		s.known[host] = grant.Known
		s.participant.Apply(grant, at, isFirst)
		return
	}
	payload, err := cbor.Marshal(reportMessage{s.name, s.order.ID(), r})
	if err != nil {
		g.cfg.Log.Error("report of a roll-out can't be encoded", slog.Any("error", err))
		return
	}
	s.asking[host] = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		raw, err := g.cfg.Peers.Ask(ctx, host, kindReport, payload)
		var m grantMessage
		if err == nil {
			err = cbor.Unmarshal(raw, &m)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.asking, host)
		if err != nil || m.Unknown {
			return
		}
		s.known[host] = m.Grant.Known
		s.participant.Apply(m.Grant, at, isFirst)
	}()
}

// handleReport answers another host's report.
func (g *Guard) handleReport(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var m reportMessage
	if err := cbor.Unmarshal(payload, &m); err != nil {
		return nil, errors.Wrap(err, "decode report of a roll-out")
	}
	s := g.lookup(m.Service)
	if s == nil || s.participant == nil || s.order.ID() != m.Order {
		return cbor.Marshal(grantMessage{Unknown: true})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.askedAt = g.cfg.Clock.Now()
	return cbor.Marshal(grantMessage{Grant: s.collector.Add(m.Report)})
}

// step is one step of this host's collector. s.mu must be held.
func (g *Guard) step(ctx context.Context, s *service, ranked []string, snapshot *facts.Snapshot, status storedStatus, now time.Time) {
	v := rollout.View{StoreFresh: !snapshot.Stale(now), Status: status.Status, Revision: status.Revision}
	for id := range snapshot.Hosts {
		v.Hosts = append(v.Hosts, id)
	}
	if self := g.cfg.Peers.Self(); !slices.Contains(v.Hosts, self) {
		v.Hosts = append(v.Hosts, self)
	}
	o := s.collector.Step(v)
	g.logOutcome(s, o)
	if o.Write == rollout.None {
		s.pendingSince = time.Time{}
		return
	}
	if s.pendingSince.IsZero() {
		s.pendingSince = now
	}
	rank := slices.Index(ranked, g.cfg.Peers.Self())
	if rank < 0 || rank >= collectors || s.writing || now.Sub(s.pendingSince) < time.Duration(rank)*writerDelay {
		return
	}
	s.writing = true
	go g.write(ctx, s, rollout.Status{State: o.Write, Target: s.order.Target}, v.Revision)
}

// write writes a status if that in the store still has the revision. If that fails, a later
// step tries again.
func (g *Guard) write(ctx context.Context, s *service, status rollout.Status, revision int64) {
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := g.cfg.Codec.EncodeStatus(status)
	if err == nil {
		_, err = g.cfg.Store.CompareAndSwap(callCtx, g.cfg.Codec.StatusKey(s.name), value, revision, port.Lease{})
	}
	level, text := slog.LevelInfo, "status of a roll-out written"
	if err != nil {
		level, text = slog.LevelWarn, "status of a roll-out not written"
	}
	g.cfg.Log.Log(ctx, level, text, slog.String("service", s.name), slog.String("target", status.Target), slog.String("state", status.State.String()), slog.Int64("former_revision", revision), slog.Any("error", err))
	port.Sleep(ctx, writeInterval) // until the watch has brought it
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = false
}

// endUnordered writes that nothing goes to a version whose order was removed, or is not one,
// once all grants have ended.
func (g *Guard) endUnordered(ctx context.Context, s *service, status storedStatus, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isOpen := status.Status.State == rollout.InProgress || s.invalid && status.Status.State == rollout.None
	ranked := g.cfg.Peers.Candidates()
	rank := slices.Index(ranked, g.cfg.Peers.Self())
	if !isOpen || s.writing || rank < 0 || rank >= collectors || now.Sub(s.since) < g.cfg.Bounds.GrantTime()+time.Duration(rank)*writerDelay {
		return
	}
	s.writing = true
	go g.write(ctx, s, rollout.Status{State: rollout.RolledBack, Target: status.Status.Target}, status.Revision)
}

// logOutcome logs a step of the roll-out. s.mu must be held.
func (g *Guard) logOutcome(s *service, o rollout.Outcome) {
	old := s.logged
	s.logged = o
	if old.Phase == o.Phase && stepOf(old.Share) == stepOf(o.Share) && (old.Cause == "") == (o.Cause == "") {
		return
	}
	g.cfg.Log.Info("roll-out step", slog.String("service", s.name), slog.String("target", s.order.Target), slog.String("phase", o.Phase.String()), slog.Float64("share", o.Share),
		slog.Duration("elapsed", o.Elapsed), slog.Int64("sent", o.Sent), slog.Int64("exposed", o.Exposed), slog.Int("hosts", o.Reported), slog.Int("hosts_missing", o.Missing),
		slog.String("cause", o.Cause), slog.Float64("score", o.Finding.Score))
}

// stepOf returns the step that a share belongs to: shares below the first rise follow the
// drain time and change all the time.
func stepOf(share float64) int {
	const stepShare = 0.1
	return int(share / stepShare)
}

// record updates the metrics. s.mu must be held.
func (g *Guard) record(s *service) {
	if g.cfg.Metrics == nil {
		return
	}
	sent, exposed := s.participant.Exposure()
	scope := g.cfg.Metrics.Tagged(map[string]string{"service": s.name})
	scope.Gauge("rollout_share").Update(s.participant.Share())
	scope.Gauge("rollout_sent").Update(float64(sent))
	scope.Gauge("rollout_exposed").Update(float64(exposed))
	scope.Gauge("rollout_bad_answers").Update(float64(s.logged.Finding.TargetBad))
	scope.Gauge("rollout_state").Update(float64(s.participant.Ended()))
}
