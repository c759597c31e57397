package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pimentorill/pimentorill/internal/adapter/engine"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

const (
	// firstTokenTarget is the stated 95th percentile of the time to the first token.
	firstTokenTarget = 520 * time.Millisecond
	// maxAddedFraction is the fraction of firstTokenTarget that a host may add to
	// a request's latency.
	maxAddedFraction = 0.01
	// minSamples is the minimum number of requests for which the p95 is checked.
	minSamples = 100
	// minTokensPerSecond is one host's part of the stated peak of 1.3 M tokens
	// per second over 360 hosts.
	minTokensPerSecond = 3600
)

// newLatencyHistogram returns a histogram of 1 microsecond to 1 minute with 3
// significant digits.
func newLatencyHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// fastFleet returns a fleet in one zone whose endpoints respond without delay, with
// the given number of tokens per generation.
func fastFleet(tokens int) standin.FleetConfig {
	f := testbed.DefaultFleet
	f.Zones = f.Zones[:1]
	f.Slots, f.ColdLimit = 4096, 4096
	f.WorkTime, f.TokenTime = 0, 0
	f.MaxTokens = tokens
	return f
}

// BenchmarkAddedLatency measures the latency that a host adds to a request with
// four stages, compared with the same four calls made directly. The CPU time
// includes that of the caller and the stand-ins, since they share the process.
func BenchmarkAddedLatency(b *testing.B) {
	cluster := testbed.Start(b, testbed.Config{Fleet: fastFleet(1)})
	caller := engine.New(engine.Config{})
	b.Cleanup(caller.Close)
	url := "http://" + cluster.Hosts[0].Address("callers") + "/v1/pipelines/guidebook/runs"
	direct, viaHost := newLatencyHistogram(), newLatencyHistogram()
	var cpuUsed time.Duration
	b.ResetTimer()
	for range b.N {
		recordLatency(b, direct, func() { callStages(b, cluster, caller) })
		cpuBefore := cpuTime()
		recordLatency(b, viaHost, func() { postRun(b, url) })
		cpuUsed += cpuTime() - cpuBefore
	}
	b.StopTimer()
	added := viaHost.ValueAtQuantile(95) - direct.ValueAtQuantile(95)
	bound := int64(maxAddedFraction * float64(firstTokenTarget.Microseconds()))
	b.ReportMetric(float64(added), "added_p95_us")
	b.ReportMetric(float64(cpuUsed.Microseconds())/float64(b.N), "cpu_us/request")
	b.ReportMetric(float64(viaHost.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added_p50_us")
	b.ReportMetric(float64(bound), "bound_us")
	if b.N >= minSamples && added > bound {
		b.Errorf("a host adds %d us at p95, bound %d us", added, bound)
	}
}

// recordLatency records the duration of fn in h, in microseconds.
func recordLatency(b *testing.B, h *hdrhistogram.Histogram, fn func()) {
	b.Helper()
	started := time.Now()
	fn()
	if err := h.RecordValue(max(1, time.Since(started).Microseconds())); err != nil {
		b.Fatal(err)
	}
}

// callStages makes the calls of the guidebook pipeline without a host.
func callStages(b *testing.B, cluster *testbed.Cluster, caller port.AttemptClient) {
	b.Helper()
	input := json.RawMessage(`"is the north face dry?"`)
	note := cluster.Fleet.Note("direct", nil)
	for _, stage := range note.Added.Pipelines[0].Stages {
		response, err := caller.Call(b.Context(), newAttempt(cluster, stage, input))
		if err != nil {
			b.Fatal(err)
		}
		input = response.Output
	}
}

// lastAttemptNumber is the number of the last attempt made without a host. Attempt
// ids must not repeat, because the stand-ins sum the charges of each.
var lastAttemptNumber atomic.Int64

// newAttempt returns an attempt of the stage on the last endpoint of its service.
func newAttempt(cluster *testbed.Cluster, stage release.Stage, input json.RawMessage) port.Attempt {
	a := port.Attempt{ID: "direct-" + strconv.FormatInt(lastAttemptNumber.Add(1), 10), Stage: stage, Input: input, Deadline: time.Now().Add(time.Minute)}
	for _, e := range cluster.Fleet.Endpoints {
		if e.Service == stage.Service {
			a.Endpoint = e
		}
	}
	for _, s := range cluster.Fleet.Note("direct", nil).Added.Services {
		if s.Name == stage.Service {
			a.Service = s
		}
	}
	return a
}

// postRun runs the pipeline through a host and reads the response.
func postRun(b *testing.B, url string) {
	b.Helper()
	resp, err := http.DefaultClient.Do(newRunRequest(b, url))
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	var response struct{ Cost int64 }
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil || resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d: %v", resp.StatusCode, err)
	}
}

func newRunRequest(b *testing.B, url string) *http.Request {
	b.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"input":"is the north face dry?"}`))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Pimentorill-Customer", testbed.Customer)
	return req
}

// BenchmarkStreamedTokens measures the tokens per second that one host relays
// over many concurrent streams. The CPU time includes that of the callers and the
// stand-ins, since they share the process.
func BenchmarkStreamedTokens(b *testing.B) {
	const streams, tokensPerStream = 64, 256
	cluster := testbed.Start(b, testbed.Config{Fleet: fastFleet(tokensPerStream)})
	url := "http://" + cluster.Hosts[0].Address("callers") + "/v1/pipelines/guidebook/runs"
	var tokens atomic.Int64
	b.ResetTimer()
	started, cpuBefore := time.Now(), cpuTime()
	for range b.N {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() { tokens.Add(readStream(b, url)) })
		}
		wg.Wait()
	}
	took, cpuUsed := time.Since(started), cpuTime()-cpuBefore
	b.StopTimer()
	if want := int64(b.N) * streams * tokensPerStream; tokens.Load() != want {
		b.Errorf("received %d tokens, want %d", tokens.Load(), want)
	}
	perSecond := float64(tokens.Load()) / took.Seconds()
	b.ReportMetric(perSecond, "tokens/s")
	b.ReportMetric(float64(cpuUsed.Microseconds())/float64(tokens.Load()), "cpu_us/token")
	b.ReportMetric(minTokensPerSecond, "bound_tokens/s")
	if perSecond < minTokensPerSecond {
		b.Errorf("one host relayed %.0f tokens per second, bound %d", perSecond, minTokensPerSecond)
	}
}

// readStream runs the pipeline as a stream and returns the number of tokens
// received.
func readStream(b *testing.B, url string) int64 {
	req := newRunRequest(b, url)
	req.Header.Set("Accept", "text/event-stream")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer resp.Body.Close()
	var tokens int64
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		switch lines.Text() {
		case "event: token":
			tokens++
		case "event: error":
			b.Error("a stream ended with an error event")
		}
	}
	return tokens
}

// cpuTime returns the process's user and system CPU time, 0 if it is unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkMemoryPerRequest measures the heap per request in flight, without a
// bound. It includes the memory of the caller and the stand-ins, since they share
// the process.
func BenchmarkMemoryPerRequest(b *testing.B) {
	const requests = 500
	for range b.N {
		fleet := fastFleet(1)
		fleet.TokenTime = time.Hour // keeps all requests in flight
		cluster := testbed.Start(b, testbed.Config{Fleet: fleet})
		url := "http://" + cluster.Hosts[0].Address("callers") + "/v1/pipelines/guidebook/runs"
		ctx, cancel := context.WithCancel(b.Context())
		heapBefore := heapBytes()
		var wg sync.WaitGroup
		for range requests {
			req := newRunRequest(b, url).WithContext(ctx)
			wg.Go(func() {
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			})
		}
		// Some requests may be refused until the host has learned the engine's capacity.
		time.Sleep(2 * time.Second)
		inFlight := cluster.Hosts[0].App().Status().RequestsInProgress
		b.ReportMetric((float64(heapBytes())-float64(heapBefore))/float64(max(1, inFlight)), "heap_bytes/request")
		b.ReportMetric(float64(inFlight), "under_way")
		cancel()
		wg.Wait()
	}
}
