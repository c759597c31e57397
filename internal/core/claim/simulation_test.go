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

// simulation is a cluster of hosts with one store and one plain service.
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

// coverage counts what happened in the scenarios: runs of the service, replayed
// outputs, and rejections with the verdict NotRun or any other.
type coverage struct {
	runs, replays, rejectedNotRun, rejectedOther int
}

func (c *coverage) add(o coverage) {
	c.runs += o.runs
	c.replays += o.replays
	c.rejectedNotRun += o.rejectedNotRun
	c.rejectedOther += o.rejectedOther
}

func newSimulation(sc scenario) *simulation {
	sleep(time.Until(simulationStart))
	random := newRandomSource(sc.seed)
	sim := &simulation{
		store:   newMemoryStore(random),
		net:     &network{random: random, lossPercent: sc.faultPercent / 4},
		service: &plainService{runs: make(map[string][]int)},
	}
	start := time.Now()
	sim.store.lostResponsePercent = sc.faultPercent
	sim.store.unavailable = func() bool {
		since := time.Since(start)
		return since >= sc.outageAt && since < sc.outageAt+sc.outageFor
	}
	for i := range 3 {
		sim.addHost(i, random)
	}
	for i, kind := range sc.keys {
		sim.keys = append(sim.keys, sim.newKey(i, kind))
	}
	return sim
}

func (sim *simulation) addHost(i int, random *randomSource) {
	n := sim.net.add(fmt.Sprintf("host-%d", i))
	c := New(Config{
		Store: hostStore{memoryStore: sim.store, host: n}, Peers: n, Clock: port.SystemClock{}, Random: random,
		ClaimWindow:      func() time.Duration { return testWindow },
		SigningSecret:    []byte("shared"),
		UndatedRetention: testRetention,
	})
	n.Handle("claim.forward", func(ctx context.Context, _ port.Member, payload []byte) ([]byte, error) {
		var s forwarded
		_ = json.Unmarshal(payload, &s)
		return sim.handleForward(ctx, i, s)
	})
	sim.hosts = append(sim.hosts, c)
}

func (sim *simulation) newKey(i int, kind keyKind) string {
	switch kind {
	case keyUndated:
		return fmt.Sprintf("order-%d", i)
	case keyDated:
		return ulid.MustNew(ulid.Now(), newRandomSource(uint64(i))).String()
	}
	key, _ := sim.hosts[i%3].Issue(testCustomer)
	return key
}

// forwarded is a submission in the form that is sent to the host that issued its
// key.
type forwarded struct {
	// ID is the index of the submission in the scenario, Key that of its key.
	ID  int
	Key int
	// Other is the submission's otherInput.
	Other bool
	Fault int
}

// forwardReply is the reply to a forwarded submission: an output or a rejection.
type forwardReply struct {
	Output  string
	Refused *rejection
}

type rejection struct {
	Code    verdict.Code
	Verdict verdict.Verdict
}

// handleForward handles a submission that another host has forwarded to host.
func (sim *simulation) handleForward(ctx context.Context, host int, f forwarded) ([]byte, error) {
	out, err := sim.run(ctx, host, f)
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
func (sim *simulation) submit(id int, s submission) {
	sleep(s.at)
	if sim.net.nodes[s.host].isCrashed() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	f := forwarded{ID: id, Key: s.key, Other: s.otherInput, Fault: s.fault}
	ranBefore := sim.service.runCount(sim.input(f)) > 0
	out, err := sim.run(ctx, s.host, f)
	if sim.net.nodes[s.host].isCrashed() {
		return
	}
	sim.checkResponse(f, ranBefore, out, err)
}

// input returns the input of a submission. It begins with the key; see keyOfInput.
func (sim *simulation) input(f forwarded) string {
	if f.Other {
		return sim.keys[f.Key] + "#other"
	}
	return sim.keys[f.Key] + "#first"
}

// run handles a submission on a host.
func (sim *simulation) run(ctx context.Context, host int, f forwarded) (string, error) {
	input := sim.input(f)
	sim.net.nodes[host].waitWhilePaused()
	deadline, _ := ctx.Deadline()
	d, err := sim.hosts[host].Begin(ctx, Request{
		Customer: testCustomer, Key: sim.keys[f.Key], Digest: DigestOf("booking", []byte(input)), Deadline: deadline,
	})
	switch {
	case sim.net.nodes[host].isCrashed():
		return "", errHostCrashed
	case err != nil:
		return "", err
	case d.Kind == Replay:
		sim.count(coverage{replays: 1})
		return string(d.Output), nil
	case d.Kind == Forward:
		return sim.forward(ctx, host, d.Owner, f)
	}
	return sim.execute(host, d.Execution, input, f)
}

func (sim *simulation) forward(ctx context.Context, host int, issuer string, f forwarded) (string, error) {
	payload, _ := json.Marshal(f)
	rawReply, err := sim.net.nodes[host].Ask(ctx, issuer, "claim.forward", payload)
	if err != nil {
		return "", errConnectionLost
	}
	var reply forwardReply
	_ = json.Unmarshal(rawReply, &reply)
	if reply.Refused != nil {
		return "", verdict.New(reply.Refused.Code, reply.Refused.Verdict, "forwarded")
	}
	return reply.Output, nil
}

// execute runs the service for an Execution, with the submission's fault.
func (sim *simulation) execute(host int, ex *Execution, input string, f forwarded) (string, error) {
	node := sim.net.nodes[host]
	if f.Fault == faultPausedPastWindow {
		sleep(testRetention + testWindow)
	}
	node.waitWhilePaused()
	if f.Fault == faultHostCrashesBeforeRun {
		node.crash()
		return "", errHostCrashed
	}
	if err := ex.CheckClaim(); err != nil {
		ex.Finish(nil, err)
		return "", err
	}
	out, err := sim.service.serve(input, f.ID, f.Fault)
	if f.Fault == faultHostCrashesAfterRun {
		node.crash()
	}
	if node.isCrashed() {
		return "", errHostCrashed
	}
	if sim.reportLostAsNotRun && errors.Is(err, errConnectionLost) {
		err = errNotSent
	}
	ex.Finish(json.RawMessage(out), err)
	return out, err
}

// checkResponse checks a response against the runs that the plain service
// recorded. ranBefore means that the input had run before the submission.
func (sim *simulation) checkResponse(f forwarded, ranBefore bool, out string, err error) {
	input := sim.input(f)
	if err == nil {
		if out != `"`+input+`"` {
			sim.addViolation("submission %d of %s got the response %s", f.ID, input, out)
		}
		return
	}
	e := verdict.From(err)
	if e.Verdict != verdict.NotRun {
		sim.count(coverage{rejectedOther: 1})
		return
	}
	sim.count(coverage{rejectedNotRun: 1})
	if sim.service.ranSubmission(f.ID) {
		sim.addViolation("submission %d of %s was answered with not_run but ran", f.ID, input)
	}
	if ranBefore {
		sim.addViolation("%s ran, then submission %d was answered with not_run (%s)", input, f.ID, e.Code)
	}
}

func (sim *simulation) count(c coverage) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.coverage.add(c)
}

func (sim *simulation) addViolation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// runScenario runs a scenario to completion and returns the violations: wrong
// responses and keys that ran more than once.
func (sim *simulation) runScenario(sc scenario) []string {
	var all sync.WaitGroup
	for i, s := range sc.submissions {
		all.Go(func() { sim.submit(i, s) })
	}
	all.Wait()
	sleep(2 * outcomeWriteTimeout) // until all outcomes are stored or given up
	byKey := make(map[string]int)
	for input, submissions := range sim.service.runs {
		byKey[keyOfInput(input)] += len(submissions)
		sim.coverage.runs += len(submissions)
	}
	for key, runs := range byKey {
		if runs > 1 {
			sim.addViolation("%s ran %d times", key, runs)
		}
	}
	return sim.violations
}
