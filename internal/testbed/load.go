package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/invariant"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// Addresses gives the callers' addresses of the hosts that the balancer knows.
type Addresses func() []string

// Caller sends requests the way the platform's balancer and a careful caller
// do: to the hosts in turn, again to another host after a not_run, and again
// with the same key after a may_have_run. It is safe for concurrent use.
type Caller struct {
	Hosts    Addresses
	Recorder *invariant.Recorder
	// Deadline is sent with each request; 0 leaves the pipeline's own.
	Deadline time.Duration
	client   *http.Client
	turn     atomic.Uint64
	number   atomic.Uint64
}

// sendings is how often a caller sends one request at the most.
const sendings = 12

// NewCaller returns a Caller that records what it gets.
func NewCaller(hosts Addresses, r *invariant.Recorder) *Caller {
	// Each request has a connection of its own: a reused one that a host has
	// just closed would look like a request that may have run.
	return &Caller{Hosts: hosts, Recorder: r, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Result is the end of a request after all its sendings.
type Result struct {
	Answer *app.RunResponse
	// Sendings counts how often the request was sent.
	Sendings int
	// Refusals are the refusals and failures on the way, in order.
	Refusals []Refusal
}

// Refusal is an answer without a result.
type Refusal struct {
	Status  int
	Code    verdict.Code
	Verdict verdict.Verdict
	Message string
	// RetryAfter is when the host asks the caller to come back.
	RetryAfter time.Duration
}

// maxPause bounds how long a caller waits between two sendings.
const maxPause = 500 * time.Millisecond

// Do sends one request until it is answered or the sendings are used up. A
// key is sent for the booking pipeline.
func (c *Caller) Do(ctx context.Context, pipeline, customer, key string, input json.RawMessage) Result {
	var out Result
	for out.Sendings < sendings && ctx.Err() == nil {
		hosts := c.Hosts()
		host := hosts[c.turn.Add(1)%uint64(len(hosts))]
		out.Sendings++
		answer, refusal := c.Send(ctx, host, pipeline, customer, key, input)
		if answer != nil {
			out.Answer = answer
			return out
		}
		out.Refusals = append(out.Refusals, refusal)
		if refusal.Verdict != verdict.NotRun && key == "" || refusal.Verdict == verdict.Ran {
			return out
		}
		port.Sleep(ctx, min(refusal.RetryAfter, maxPause))
	}
	return out
}

// Send sends one request to one host and records the reply.
func (c *Caller) Send(ctx context.Context, host, pipeline, customer, key string, input json.RawMessage) (*app.RunResponse, Refusal) {
	answer, refusal := c.send(ctx, host, pipeline, customer, key, input)
	c.Recorder.Add(invariant.Reply{Key: key, Input: input, Answer: answer, Verdict: refusal.Verdict})
	return answer, refusal
}

func (c *Caller) send(ctx context.Context, host, pipeline, customer, key string, input json.RawMessage) (*app.RunResponse, Refusal) {
	body := fmt.Sprintf(`{"input":%s}`, input)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/pipelines/"+pipeline+"/runs", strings.NewReader(body))
	if err != nil {
		return nil, Refusal{Verdict: verdict.NotRun, Message: err.Error()}
	}
	req.Header.Set("Pimentorill-Customer", customer)
	if c.Deadline > 0 {
		req.Header.Set("Pimentorill-Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, Refusal{Verdict: brokenVerdict(err), Message: err.Error()}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, Refusal{Status: resp.StatusCode, Verdict: verdict.MayHaveRun, Message: err.Error()}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, decodeRefusal(resp.StatusCode, data)
	}
	var answer app.RunResponse
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, Refusal{Status: resp.StatusCode, Verdict: verdict.MayHaveRun, Message: err.Error()}
	}
	return &answer, Refusal{}
}

// brokenVerdict judges a call without an answer: only a refused connection is
// sure not to have run.
func brokenVerdict(err error) verdict.Verdict {
	if strings.Contains(err.Error(), "connection refused") {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

func decodeRefusal(status int, data []byte) Refusal {
	var body struct {
		Error struct {
			Code         verdict.Code    `json:"code"`
			Message      string          `json:"message"`
			Verdict      verdict.Verdict `json:"verdict"`
			RetryAfterMs int64           `json:"retry_after_ms"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return Refusal{Status: status, Verdict: verdict.MayHaveRun, Message: err.Error()}
	}
	return Refusal{
		Status: status, Code: body.Error.Code, Verdict: body.Error.Verdict, Message: body.Error.Message,
		RetryAfter: time.Duration(body.Error.RetryAfterMs) * time.Millisecond,
	}
}

// Load is requests that go on in the background.
type Load struct {
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu      sync.Mutex
	results []Result
}

// StartLoad sends requests from the given number of workers, one after the
// other each, half of them bookings, until Stop.
func (c *Caller) StartLoad(workers int) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{cancel: cancel}
	for range workers {
		l.workers.Go(func() {
			for ctx.Err() == nil {
				l.add(c.next())
			}
		})
	}
	return l
}

// requestLimit bounds one request of a Load, all its sendings together.
const requestLimit = 30 * time.Second

// next sends the next request, a booking every other time.
func (c *Caller) next() Result {
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	n := c.number.Add(1)
	input := json.RawMessage(fmt.Sprintf(`{"number":%d}`, n))
	if n%2 == 0 {
		return c.Do(ctx, standin.PipelineBooking, Customer, fmt.Sprintf("load-%d", n), input)
	}
	return c.Do(ctx, standin.PipelineGuidebook, Customer, "", input)
}

func (l *Load) add(r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// Count returns the number of requests that have ended.
func (l *Load) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results)
}

// Stop ends the load once the requests under way have ended and returns all results.
func (l *Load) Stop() []Result {
	l.cancel()
	l.workers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}
