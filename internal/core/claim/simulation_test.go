package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// simulation is a cluster of three hosts with one store and one plain service.
type simulation struct {
	store      *memoryStore
	net        *network
	hosts      []*Claims
	service    *plainService
	keys       []string
	mu         sync.Mutex
	violations []string
	coverage   coverage
	// reportLostAsNotRun makes hosts report a lost response as not run.
	reportLostAsNotRun bool
}

// coverage counts the results that the histories produced.
type coverage struct {
	runs, replays, rejectedNotRun, rejectedOther int
}

func (c *coverage) add(o coverage) {
	c.runs += o.runs
	c.replays += o.replays
	c.rejectedNotRun += o.rejectedNotRun
	c.rejectedOther += o.rejectedOther
}

func newSimulation(h scenario) *simulation {
	sleep(time.Until(simulationStart))
	random := newRandomSource(h.seed)
	m := &simulation{
		store:   newMemoryStore(random),
		net:     &network{random: random, lossPercent: h.faultPercent / 4},
		service: &plainService{runs: make(map[string][]int)},
	}
	start := time.Now()
	m.store.lostResponsePercent = h.faultPercent
	m.store.unavailable = func() bool {
		since := time.Since(start)
		return since >= h.outageAt && since < h.outageAt+h.outageFor
	}
	for i := range 3 {
		m.addHost(i, random)
	}
	for i, kind := range h.keys {
		m.keys = append(m.keys, m.newKey(i, kind))
	}
	return m
}

func (m *simulation) addHost(i int, random *randomSource) {
	n := m.net.add(fmt.Sprintf("host-%d", i))
	c := New(Config{
		Store: hostStore{memoryStore: m.store, host: n}, Peers: n, Clock: port.SystemClock{}, Random: random,
		ClaimWindow:      func() time.Duration { return testWindow },
		SigningSecret:    []byte("shared"),
		UndatedRetention: testRetention,
	})
	n.Handle("claim.forward", func(ctx context.Context, _ port.Member, payload []byte) ([]byte, error) {
		var s forwarded
		_ = json.Unmarshal(payload, &s)
		return m.handleForward(ctx, i, s)
	})
	m.hosts = append(m.hosts, c)
}

func (m *simulation) newKey(i int, kind keyKind) string {
	switch kind {
	case keyUndated:
		return fmt.Sprintf("order-%d", i)
	case keyDated:
		return ulid.MustNew(ulid.Now(), newRandomSource(uint64(i))).String()
	}
	key, _ := m.hosts[i%3].Issue(testCustomer)
	return key
}

// forwarded is a submission that is sent to the host that issued its key.
type forwarded struct {
	ID    int
	Key   int
	Other bool
	Fault int
}

type forwardReply struct {
	Output  string
	Refused *rejection
}

type rejection struct {
	Code    verdict.Code
	Verdict verdict.Verdict
}

func (m *simulation) handleForward(ctx context.Context, host int, f forwarded) ([]byte, error) {
	out, err := m.run(ctx, host, f)
	if errors.Is(err, errHostCrashed) {
		return nil, errConnectionLost
	}
	reply := forwardReply{Output: out}
	if err != nil {
		e := verdict.From(err)
		reply.Refused = &rejection{Code: e.Code, Verdict: e.Verdict}
	}
	return json.Marshal(reply)
}

// submit executes one submission and checks the response.
func (m *simulation) submit(id int, s submission) {
	sleep(s.at)
	if m.net.nodes[s.host].isCrashed() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	f := forwarded{ID: id, Key: s.key, Other: s.otherInput, Fault: s.fault}
	ranBefore := m.service.runCount(m.input(f)) > 0
	out, err := m.run(ctx, s.host, f)
	if m.net.nodes[s.host].isCrashed() {
		return
	}
	m.checkResponse(f, ranBefore, out, err)
}

func (m *simulation) input(f forwarded) string {
	if f.Other {
		return m.keys[f.Key] + "#other"
	}
	return m.keys[f.Key] + "#first"
}

// run handles a submission on a host.
func (m *simulation) run(ctx context.Context, host int, f forwarded) (string, error) {
	input := m.input(f)
	deadline, _ := ctx.Deadline()
	d, err := m.hosts[host].Begin(ctx, Request{
		Customer: testCustomer, Key: m.keys[f.Key], Digest: DigestOf("booking", []byte(input)), Deadline: deadline,
	})
	switch {
	case m.net.nodes[host].isCrashed():
		return "", errHostCrashed
	case err != nil:
		return "", err
	case d.Kind == Replay:
		m.count(coverage{replays: 1})
		return string(d.Output), nil
	case d.Kind == Forward:
		return m.forward(ctx, host, d.Owner, f)
	}
	return m.execute(host, d.Execution, input, f)
}

func (m *simulation) forward(ctx context.Context, host int, issuer string, f forwarded) (string, error) {
	payload, _ := json.Marshal(f)
	answer, err := m.net.nodes[host].Ask(ctx, issuer, "claim.forward", payload)
	if err != nil {
		return "", errConnectionLost
	}
	var reply forwardReply
	_ = json.Unmarshal(answer, &reply)
	if reply.Refused != nil {
		return "", verdict.New(reply.Refused.Code, reply.Refused.Verdict, "forwarded")
	}
	return reply.Output, nil
}

func (m *simulation) execute(host int, ex *Execution, input string, f forwarded) (string, error) {
	node := m.net.nodes[host]
	if f.Fault == faultPausedPastWindow {
		sleep(testRetention + testWindow)
	}
	if f.Fault == faultHostCrashesBeforeRun {
		node.crash()
		return "", errHostCrashed
	}
	if err := ex.CheckClaim(); err != nil {
		ex.Finish(nil, err)
		return "", err
	}
	out, err := m.service.serve(input, f.ID, f.Fault)
	if f.Fault == faultHostCrashesAfterRun {
		node.crash()
	}
	if node.isCrashed() {
		return "", errHostCrashed
	}
	if m.reportLostAsNotRun && errors.Is(err, errConnectionLost) {
		err = errNotSent
	}
	ex.Finish(json.RawMessage(out), err)
	return out, err
}

// checkResponse checks a response against the runs that the plain service
// recorded.
func (m *simulation) checkResponse(f forwarded, ranBefore bool, out string, err error) {
	input := m.input(f)
	if err == nil {
		if out != `"`+input+`"` {
			m.addViolation("submission %d of %s got the response %s", f.ID, input, out)
		}
		return
	}
	e := verdict.From(err)
	if e.Verdict != verdict.NotRun {
		m.count(coverage{rejectedOther: 1})
		return
	}
	m.count(coverage{rejectedNotRun: 1})
	if m.service.ranSubmission(f.ID) {
		m.addViolation("submission %d of %s was answered with not_run but ran", f.ID, input)
	}
	if ranBefore {
		m.addViolation("%s ran, then submission %d was answered with not_run (%s)", input, f.ID, e.Code)
	}
}

func (m *simulation) count(c coverage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coverage.add(c)
}

func (m *simulation) addViolation(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// runScenario runs a history to completion and returns the violations.
func (m *simulation) runScenario(h scenario) []string {
	var all sync.WaitGroup
	for i, s := range h.submissions {
		all.Go(func() { m.submit(i, s) })
	}
	all.Wait()
	sleep(2 * outcomeWriteTimeout)
	byKey := make(map[string]int)
	for input, submissions := range m.service.runs {
		byKey[keyOfInput(input)] += len(submissions)
		m.coverage.runs += len(submissions)
	}
	for key, runs := range byKey {
		if runs > 1 {
			m.addViolation("%s ran %d times", key, runs)
		}
	}
	return m.violations
}
