package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/invariant"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// AddressesFunc returns the addresses, IP:PORT, at which the hosts that the load
// balancer knows accept callers. It must return at least one and may be called
// concurrently.
type AddressesFunc func() []string

// Caller sends requests as the platform's load balancer and a careful client
// do: round-robin over the hosts, again to another host after a not_run, and
// again with the same key after a may_have_run. It is safe for concurrent use.
type Caller struct {
	Hosts    AddressesFunc
	Recorder *invariant.Recorder
	// Deadline is the time allowed for a request. It is sent with each of them; 0
	// means the pipeline's default.
	Deadline          time.Duration
	client            *http.Client
	nextHost          atomic.Uint64
	lastRequestNumber atomic.Uint64
}

// maxSends bounds how often SendWithRetries sends one request.
const maxSends = 12

// NewCaller returns a Caller that records every outcome.
func NewCaller(hosts AddressesFunc, r *invariant.Recorder) *Caller {
	// Each request has its own connection: if a host has just closed a reused
	// connection, the error looks like a request that may have run.
	return &Caller{Hosts: hosts, Recorder: r, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Result is the outcome of a request after all its sends.
type Result struct {
	// Response is the result; nil if no send got one.
	Response *app.RunResponse
	// Sends is how often the request was sent.
	Sends int
	// Failures are the failed sends, in order.
	Failures []Failure
}

// Failure is a send that got no result: an error response or a transport error.
type Failure struct {
	// Status is the HTTP status; 0 after a transport error, which has no Code.
	Status  int
	Code    verdict.Code
	Verdict verdict.Verdict
	Message string
	// RetryAfter is how long the host asks the caller to wait; 0 means not at all.
	RetryAfter time.Duration
}

// maxRetryDelay bounds the wait between two sends, also if RetryAfter is longer.
const maxRetryDelay = 500 * time.Millisecond

// SendWithRetries sends a request up to maxSends times, until it gets a result or
// ctx ends. A failure that may have run is retried only if the idempotency key is
// set, and one that has run is not retried. Only the booking pipeline needs a key.
func (c *Caller) SendWithRetries(ctx context.Context, pipeline, customer, key string, input json.RawMessage) Result {
	var result Result
	for result.Sends < maxSends && ctx.Err() == nil {
		hosts := c.Hosts()
		host := hosts[c.nextHost.Add(1)%uint64(len(hosts))]
		result.Sends++
		response, failure := c.Send(ctx, host, pipeline, customer, key, input)
		if response != nil {
			result.Response = response
			return result
		}
		result.Failures = append(result.Failures, failure)
		if failure.Verdict != verdict.NotRun && key == "" || failure.Verdict == verdict.Ran {
			return result
		}
		port.Sleep(ctx, min(failure.RetryAfter, maxRetryDelay))
	}
	return result
}

// Send sends a request to one host once and records the outcome. The response is
// nil if the send failed; only then is the Failure set.
func (c *Caller) Send(ctx context.Context, host, pipeline, customer, key string, input json.RawMessage) (*app.RunResponse, Failure) {
	response, failure := c.send(ctx, host, pipeline, customer, key, input)
	c.Recorder.Add(invariant.Outcome{Key: key, Input: input, Response: response, Verdict: failure.Verdict})
	return response, failure
}

func (c *Caller) send(ctx context.Context, host, pipeline, customer, key string, input json.RawMessage) (*app.RunResponse, Failure) {
	body := fmt.Sprintf(`{"input":%s}`, input)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/pipelines/"+pipeline+"/runs", strings.NewReader(body))
	if err != nil {
		return nil, Failure{Verdict: verdict.NotRun, Message: err.Error()}
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
		return nil, Failure{Verdict: transportErrorVerdict(err), Message: err.Error()}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, Failure{Status: resp.StatusCode, Verdict: verdict.MayHaveRun, Message: err.Error()}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, decodeFailure(resp.StatusCode, data)
	}
	var response app.RunResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return nil, Failure{Status: resp.StatusCode, Verdict: verdict.MayHaveRun, Message: err.Error()}
	}
	return &response, Failure{}
}

// transportErrorVerdict returns the verdict for a send without a response: only a
// failed dial proves that nothing ran.
func transportErrorVerdict(err error) verdict.Verdict {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// decodeFailure decodes an error response. A body that cannot be decoded counts as
// MayHaveRun.
func decodeFailure(status int, data []byte) Failure {
	var body struct {
		Error struct {
			Code         verdict.Code    `json:"code"`
			Message      string          `json:"message"`
			Verdict      verdict.Verdict `json:"verdict"`
			RetryAfterMs int64           `json:"retry_after_ms"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return Failure{Status: status, Verdict: verdict.MayHaveRun, Message: err.Error()}
	}
	return Failure{
		Status: status, Code: body.Error.Code, Verdict: body.Error.Verdict, Message: body.Error.Message,
		RetryAfter: time.Duration(body.Error.RetryAfterMs) * time.Millisecond,
	}
}

// Load is a background load of requests.
type Load struct {
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu      sync.Mutex
	results []Result
}

// StartLoad runs the given number of workers until Stop. Each sends one request
// at a time; every other request is a booking.
func (c *Caller) StartLoad(workers int) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{cancel: cancel}
	for range workers {
		l.workers.Go(func() {
			for ctx.Err() == nil {
				l.add(c.sendNext())
			}
		})
	}
	return l
}

// requestTimeout bounds one request of a Load, including all its sends. Stop does
// not shorten it.
const requestTimeout = 30 * time.Second

// sendNext sends the next request, a booking every other time.
func (c *Caller) sendNext() Result {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	n := c.lastRequestNumber.Add(1)
	input := json.RawMessage(fmt.Sprintf(`{"number":%d}`, n))
	if n%2 == 0 {
		return c.SendWithRetries(ctx, standin.PipelineBooking, Customer, fmt.Sprintf("load-%d", n), input)
	}
	return c.SendWithRetries(ctx, standin.PipelineGuidebook, Customer, "", input)
}

func (l *Load) add(r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// Completed returns the number of requests that have ended.
func (l *Load) Completed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results)
}

// Stop stops the load, waits for the requests in progress and returns all results.
func (l *Load) Stop() []Result {
	l.cancel()
	l.workers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}
