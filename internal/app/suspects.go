package app

import (
	"context"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/suspect"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// topicSuspect is the topic of gossip records and kindSuspect the kind of the
	// message that carry a suspect.Record.
	topicSuspect = "suspect"
	kindSuspect  = "suspect.record"
	// maxSuspectNotifications bounds the hosts that are sent a suspect.Record
	// directly; the others receive it by gossip.
	maxSuspectNotifications = 16
	// suspectNotifyTimeout bounds how long an attempt waits until these hosts
	// have received the record.
	suspectNotifyTimeout = 100 * time.Millisecond
)

// newGuard returns the guard against requests that crash endpoints, and registers
// its handlers with the peers and the gossip.
func (a *App) newGuard() *suspect.Guard {
	cfg := suspect.Config{
		Host:               a.cfg.Host,
		Store:              a.deps.ClaimStore,
		Clock:              a.deps.Clock,
		Probe:              a.probeEndpoint,
		Broadcast:          a.broadcastSuspect,
		OnQuarantineChange: a.recordQuarantine,
	}
	if a.deps.Peers != nil {
		cfg.Witness = peerWitness{a}
	}
	g := suspect.New(cfg)
	if a.deps.Peers != nil {
		a.handleWitnessMessages()
		a.deps.Peers.Handle(kindSuspect, func(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
			return nil, a.mergeSuspect(payload)
		})
	}
	if a.deps.Gossip != nil {
		// A record that cannot be decoded is ignored.
		a.deps.Gossip.Subscribe(topicSuspect, func(r port.GossipRecord) { _ = a.mergeSuspect(r.Value) })
	}
	return g
}

// mergeSuspect decodes a suspect.Record of another host and passes it to the guard.
func (a *App) mergeSuspect(payload []byte) error {
	var r suspect.Record
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return errors.Wrap(err, "decode suspect record")
	}
	if r.State > suspect.Quarantined {
		return errors.Errorf("suspect record has unknown state %d", r.State)
	}
	a.guard.Merge(r)
	return nil
}

// broadcastSuspect sends a record to up to maxSuspectNotifications hosts directly
// and to all by gossip. It waits for the responses to the direct messages, at most
// for suspectNotifyTimeout.
func (a *App) broadcastSuspect(r suspect.Record) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return
	}
	if a.deps.Gossip != nil {
		a.deps.Gossip.Publish(port.GossipRecord{
			Topic: topicSuspect, Key: r.Fingerprint.String(), Version: r.Version(), Value: value, ExpiresAt: time.UnixMilli(r.ExpiresAt),
		}, port.ScopeFleet)
	}
	if a.deps.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(a.runCtx, suspectNotifyTimeout)
	defer cancel()
	var sends sync.WaitGroup
	self := a.deps.Peers.Self().ID
	remaining := maxSuspectNotifications
	for _, m := range a.deps.Peers.Members() {
		if m.ID == self || m.State == port.MemberGone || remaining == 0 {
			continue
		}
		remaining--
		// A host that cannot be reached directly receives the record by gossip.
		sends.Go(func() { _, _ = a.deps.Peers.Ask(ctx, m.ID, kindSuspect, value) })
	}
	sends.Wait()
}

// probeEndpoint queries an endpoint of the release in force for its load report. It
// waits at most probeTimeout.
func (a *App) probeEndpoint(ctx context.Context, id string) (port.LoadReport, error) {
	reader, ok := a.deps.AttemptClient.(port.LoadReader)
	r := a.Snapshot().Release
	if !ok || r == nil {
		return port.LoadReport{}, errors.New("load of endpoints cannot be read: no load reader or no release")
	}
	e, ok := r.Endpoint(id)
	if !ok {
		return port.LoadReport{}, errors.Errorf("endpoint %s is not in the release", id)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return reader.Load(ctx, e)
}

// recordQuarantine writes an audit record of a change of a quarantine.
func (a *App) recordQuarantine(r suspect.Record, action string) {
	a.recordAudit(port.AuditQuarantine, a.cfg.Host, r.Fingerprint.String(), action, 0, "endpoint "+r.Endpoint)
}

// Quarantine is a request that is refused until Until because it crashed
// endpoints.
type Quarantine struct {
	// Fingerprint identifies the request, in hex.
	Fingerprint string `json:"fingerprint"`
	// Host is the id of the host that started or last extended the quarantine.
	Host string `json:"host"`
	// Endpoint is the id of an endpoint that the request crashed.
	Endpoint string `json:"endpoint"`
	// Since is when the quarantine was started or last extended.
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
}

// QuarantineList holds the quarantined requests in the order of Since.
type QuarantineList struct {
	Quarantined []Quarantine `json:"quarantined"`
}

// Quarantines returns the quarantined requests that this host knows.
func (a *App) Quarantines() QuarantineList {
	out := []Quarantine{}
	for _, r := range a.guard.Quarantined() {
		out = append(out, Quarantine{
			Fingerprint: r.Fingerprint.String(), Host: r.Host, Endpoint: r.Endpoint,
			Since: time.UnixMilli(r.CreatedAt).UTC(), Until: time.UnixMilli(r.ExpiresAt).UTC(),
		})
	}
	slices.SortFunc(out, func(x, y Quarantine) int { return x.Since.Compare(y.Since) })
	return QuarantineList{Quarantined: out}
}

// ReleaseQuarantine ends a request's quarantine on behalf of an operator and
// returns the remaining ones. The error is a *verdict.Error with NotRun.
func (a *App) ReleaseQuarantine(ctx context.Context, actor, fingerprint string) (QuarantineList, error) {
	raw, err := hex.DecodeString(fingerprint)
	if err != nil || len(raw) != len(suspect.Fingerprint{}) {
		return QuarantineList{}, verdict.New(verdict.CodeBadInput, verdict.NotRun, "not a fingerprint")
	}
	if !a.guard.EndQuarantine(ctx, suspect.Fingerprint(raw)) {
		return QuarantineList{}, verdict.New(verdict.CodeNotFound, verdict.NotRun, "no such quarantine")
	}
	a.recordAudit(port.AuditOperator, actor, fingerprint, "release quarantine", 0, "released")
	return a.Quarantines(), nil
}

// checkSuspect refuses a request that is quarantined or on trial for any of
// its stages.
func (a *App) checkSuspect(req pipeline.Request) error {
	for _, s := range req.Pipeline.Stages {
		if err := a.guard.Check(suspect.Fingerprint(req.Fingerprint).ForService(s.Service)); err != nil {
			return err
		}
	}
	return nil
}

// fingerprintOf returns the fingerprint of the attempt's request for the service of
// its stage.
func fingerprintOf(info pipeline.AttemptInfo) suspect.Fingerprint {
	return suspect.Fingerprint(info.Fingerprint).ForService(info.Stage.Service)
}

// guardedGate admits attempts that both the wrapped Gate and the guard admit.
type guardedGate struct {
	pipeline.Gate
	guard *suspect.Guard
}

// Acquire implements pipeline.Gate.
func (g guardedGate) Acquire(ctx context.Context, info pipeline.AttemptInfo, e release.Endpoint) (func(pipeline.Outcome), error) {
	releaseSlot, err := g.Gate.Acquire(ctx, info, e)
	if err != nil {
		return nil, err
	}
	trialCtx, cancel := context.WithDeadline(ctx, info.Deadline)
	defer cancel()
	done, err := g.guard.Admit(trialCtx, fingerprintOf(info), e.ID)
	if err != nil {
		releaseSlot(pipeline.Outcome{Err: err})
		return nil, err
	}
	return func(o pipeline.Outcome) {
		releaseSlot(o)
		if o.Response.Load != nil {
			g.guard.SetIncarnation(e.ID, o.Response.Load.Incarnation)
		}
		done(attemptResultOf(o.Err))
	}, nil
}

// attemptResultOf returns the effect that an attempt had on its endpoint, given the
// attempt's error.
func attemptResultOf(err error) suspect.AttemptResult {
	var connectionLost *port.ConnectionLostError
	e := verdict.From(err)
	switch {
	case err == nil:
		return suspect.Survived
	case errors.As(err, &connectionLost):
		return suspect.Crashed
	case e.Verdict == verdict.NotRun || e.Code == verdict.CodeDeadlineExceeded || e.Code == verdict.CodeCallerCancelled:
		return suspect.Inconclusive
	default:
		return suspect.Survived
	}
}

// trialPicker keeps the trials of suspect requests away from the endpoints that no
// trials run on, as long as others can be picked.
type trialPicker struct {
	pipeline.Picker
	pipeline.Tracker
	guard *suspect.Guard
}

// Pick implements pipeline.Picker.
func (p trialPicker) Pick(info pipeline.AttemptInfo) (release.Endpoint, error) {
	if !p.guard.NeedsTrial(fingerprintOf(info)) {
		return p.Picker.Pick(info)
	}
	var all []string
	for _, e := range info.Release.EndpointsOf(info.Stage.Service) {
		all = append(all, e.ID)
	}
	trials := suspect.TrialEndpoints(all)
	info.Avoid = slices.Clone(info.Avoid)
	for _, id := range all {
		if !slices.Contains(trials, id) {
			info.Avoid = append(info.Avoid, id)
		}
	}
	return p.Picker.Pick(info)
}
