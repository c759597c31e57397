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
	// topicSuspect is the board's topic, kindSuspect the peers' message on
	// requests that crash endpoints.
	topicSuspect = "suspect"
	kindSuspect  = "suspect.record"
	// maxSuspectTells bounds the hosts that are told directly; the board tells
	// the others.
	maxSuspectTells = 16
	// suspectTellTimeout bounds how long an attempt waits for them.
	suspectTellTimeout = 100 * time.Millisecond
)

// newGuard returns what watches for requests that crash endpoints.
func (a *App) newGuard() *suspect.Guard {
	cfg := suspect.Config{
		Host:               a.cfg.Host,
		Store:              a.deps.ClaimStore,
		Clock:              a.deps.Clock,
		Probe:              a.probeEndpoint,
		Broadcast:          a.spreadSuspect,
		OnQuarantineChange: a.recordQuarantine,
	}
	if a.deps.Peers != nil {
		cfg.Witness = witness{a}
	}
	g := suspect.New(cfg)
	if a.deps.Peers != nil {
		a.handleAttempts()
		a.deps.Peers.Handle(kindSuspect, func(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
			return nil, a.mergeSuspect(payload)
		})
	}
	if a.deps.Gossip != nil {
		// A record that cannot be read tells nothing.
		a.deps.Gossip.Subscribe(topicSuspect, func(r port.GossipRecord) { _ = a.mergeSuspect(r.Value) })
	}
	return g
}

func (a *App) mergeSuspect(payload []byte) error {
	var r suspect.Record
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return errors.Wrap(err, "decode suspect")
	}
	if r.State > suspect.Quarantined {
		return errors.Errorf("suspect: no state %d", r.State)
	}
	a.guard.Merge(r)
	return nil
}

// spreadSuspect tells the other hosts: some directly, all by the board.
func (a *App) spreadSuspect(r suspect.Record) {
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
	ctx, cancel := context.WithTimeout(a.runCtx, suspectTellTimeout)
	defer cancel()
	var told sync.WaitGroup
	self := a.deps.Peers.Self().ID
	left := maxSuspectTells
	for _, m := range a.deps.Peers.Members() {
		if m.ID == self || m.State == port.MemberGone || left == 0 {
			continue
		}
		left--
		// A host that does not hear it now hears it by the board.
		told.Go(func() { _, _ = a.deps.Peers.Ask(ctx, m.ID, kindSuspect, value) })
	}
	told.Wait()
}

// probeEndpoint returns an endpoint's report on itself.
func (a *App) probeEndpoint(ctx context.Context, id string) (port.LoadReport, error) {
	reader, ok := a.deps.AttemptClient.(port.LoadReader)
	r := a.Snapshot().Release
	if !ok || r == nil {
		return port.LoadReport{}, errors.New("endpoints cannot be asked for their load")
	}
	e, ok := r.Endpoint(id)
	if !ok {
		return port.LoadReport{}, errors.Errorf("no endpoint %s", id)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return reader.Load(ctx, e)
}

func (a *App) recordQuarantine(r suspect.Record, action string) {
	a.recordAudit(port.AuditQuarantine, a.cfg.Host, r.Fingerprint.String(), action, 0, "endpoint "+r.Endpoint)
}

// Quarantine is one request that is refused.
type Quarantine struct {
	Fingerprint string    `json:"fingerprint"`
	Host        string    `json:"host"`
	Endpoint    string    `json:"endpoint"`
	Since       time.Time `json:"since"`
	Until       time.Time `json:"until"`
}

// QuarantineList is the requests that are refused, the oldest first.
type QuarantineList struct {
	Quarantined []Quarantine `json:"quarantined"`
}

// Quarantines lists the requests that are refused, as this host knows them.
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

// ReleaseQuarantine lets a request run again, by an operator's word.
func (a *App) ReleaseQuarantine(ctx context.Context, actor, fingerprint string) (QuarantineList, error) {
	raw, err := hex.DecodeString(fingerprint)
	if err != nil || len(raw) != len(suspect.Fingerprint{}) {
		return QuarantineList{}, verdict.New(verdict.CodeBadInput, verdict.NotRun, "not a fingerprint")
	}
	if !a.guard.Release(ctx, suspect.Fingerprint(raw)) {
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

func printOf(w pipeline.AttemptInfo) suspect.Fingerprint {
	return suspect.Fingerprint(w.Fingerprint).ForService(w.Stage.Service)
}

// guardedGate lets attempts in as the gate behind it and the guard allow.
type guardedGate struct {
	pipeline.Gate
	guard *suspect.Guard
}

// Enter implements pipeline.Gate.
func (g guardedGate) Acquire(ctx context.Context, w pipeline.AttemptInfo, e release.Endpoint) (func(pipeline.Outcome), error) {
	behind, err := g.Gate.Acquire(ctx, w, e)
	if err != nil {
		return nil, err
	}
	trial, cancel := context.WithDeadline(ctx, w.Deadline)
	defer cancel()
	leave, err := g.guard.Admit(trial, printOf(w), e.ID)
	if err != nil {
		behind(pipeline.Outcome{Err: err})
		return nil, err
	}
	return func(o pipeline.Outcome) {
		behind(o)
		if o.Answer.Load != nil {
			g.guard.SetIncarnation(e.ID, o.Answer.Load.Incarnation)
		}
		leave(endingOf(o.Err))
	}, nil
}

// endingOf tells how an attempt's endpoint fared.
func endingOf(err error) suspect.AttemptResult {
	var broken *port.ConnectionLostError
	e := verdict.From(err)
	switch {
	case err == nil:
		return suspect.Survived
	case errors.As(err, &broken):
		return suspect.Crashed
	case e.Verdict == verdict.NotRun || e.Code == verdict.CodeDeadlineExceeded || e.Code == verdict.CodeCallerCancelled:
		return suspect.Inconclusive
	default:
		return suspect.Survived
	}
}

// trialPicker sends suspects to the endpoints that trials run on.
type trialPicker struct {
	pipeline.Picker
	pipeline.Tracker
	guard *suspect.Guard
}

// Pick implements pipeline.Picker.
func (p trialPicker) Pick(w pipeline.AttemptInfo) (release.Endpoint, error) {
	if !p.guard.NeedsTrial(printOf(w)) {
		return p.Picker.Pick(w)
	}
	var all []string
	for _, e := range w.Release.EndpointsOf(w.Stage.Service) {
		all = append(all, e.ID)
	}
	trials := suspect.TrialEndpoints(all)
	w.Avoid = slices.Clone(w.Avoid)
	for _, id := range all {
		if !slices.Contains(trials, id) {
			w.Avoid = append(w.Avoid, id)
		}
	}
	return p.Picker.Pick(w)
}
