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
	// firstTokenTarget is the stated time to the first token, 95 in 100.
	firstTokenTarget = 520 * time.Millisecond
	// addedShare is the part of it that a host may add.
	addedShare = 0.01
	// minSamples is the least number of requests whose p95 is judged.
	minSamples = 100
	// tokensPerHost is the stated peak of 1.3 M tokens a second over 360 hosts.
	tokensPerHost = 3600
)

// histogram records microseconds up to a minute.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// fastFleet answers as fast as it can, in one zone.
func fastFleet(tokens int) standin.FleetConfig {
	f := testbed.DefaultFleet
	f.Zones = f.Zones[:1]
	f.Slots, f.ColdLimit = 4096, 4096
	f.WorkTime, f.TokenTime = 0, 0
	f.MaxTokens = tokens
	return f
}

// BenchmarkAddedLatency measures what a host adds to a request of four
// stages, against the same four calls made directly.
func BenchmarkAddedLatency(b *testing.B) {
	bed := testbed.Start(b, testbed.Config{Fleet: fastFleet(1)})
	caller := engine.New(engine.Config{})
	b.Cleanup(caller.Close)
	url := "http://" + bed.Hosts[0].Address("callers") + "/v1/pipelines/guidebook/runs"
	direct, through := histogram(), histogram()
	var used time.Duration
	b.ResetTimer()
	for range b.N {
		record(b, direct, func() { callStages(b, bed, caller) })
		cpu := processorTime()
		record(b, through, func() { post(b, url) })
		used += processorTime() - cpu
	}
	b.StopTimer()
	added := through.ValueAtQuantile(95) - direct.ValueAtQuantile(95)
	bound := int64(addedShare * float64(firstTokenTarget.Microseconds()))
	b.ReportMetric(float64(added), "added_p95_us")
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu_us/request")
	b.ReportMetric(float64(through.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added_p50_us")
	b.ReportMetric(float64(bound), "bound_us")
	if b.N >= minSamples && added > bound {
		b.Errorf("a host adds %d us at p95, bound %d us", added, bound)
	}
}

func record(b *testing.B, h *hdrhistogram.Histogram, do func()) {
	b.Helper()
	started := time.Now()
	do()
	if err := h.RecordValue(max(1, time.Since(started).Microseconds())); err != nil {
		b.Fatal(err)
	}
}

// callStages makes the calls of the guidebook pipeline without a host.
func callStages(b *testing.B, bed *testbed.Bed, caller port.AttemptClient) {
	b.Helper()
	input := json.RawMessage(`"is the north face dry?"`)
	note := bed.Fleet.Note("direct", nil)
	for _, stage := range note.Added.Pipelines[0].Stages {
		answer, err := caller.Call(b.Context(), attempt(bed, stage, input))
		if err != nil {
			b.Fatal(err)
		}
		input = answer.Output
	}
}

// attemptNumber numbers the attempts made directly.
var attemptNumber atomic.Int64

func attempt(bed *testbed.Bed, stage release.Stage, input json.RawMessage) port.Attempt {
	a := port.Attempt{ID: "direct-" + strconv.FormatInt(attemptNumber.Add(1), 10), Stage: stage, Input: input, Deadline: time.Now().Add(time.Minute)}
	for _, e := range bed.Fleet.Endpoints {
		if e.Service == stage.Service {
			a.Endpoint = e
		}
	}
	for _, s := range bed.Fleet.Note("direct", nil).Added.Services {
		if s.Name == stage.Service {
			a.Service = s
		}
	}
	return a
}

func post(b *testing.B, url string) {
	b.Helper()
	resp, err := http.DefaultClient.Do(newRun(b, url))
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	var answer struct{ Cost int64 }
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d: %v", resp.StatusCode, err)
	}
}

func newRun(b *testing.B, url string) *http.Request {
	b.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"input":"is the north face dry?"}`))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Pimentorill-Customer", testbed.Customer)
	return req
}

// BenchmarkStreamedTokens measures the tokens a second that one host passes
// on, over many streams at once. The processor time counts callers, host and
// stand-ins together, since they share the process.
func BenchmarkStreamedTokens(b *testing.B) {
	const streams, tokensPerStream = 64, 256
	bed := testbed.Start(b, testbed.Config{Fleet: fastFleet(tokensPerStream)})
	url := "http://" + bed.Hosts[0].Address("callers") + "/v1/pipelines/guidebook/runs"
	var tokens atomic.Int64
	b.ResetTimer()
	started, cpu := time.Now(), processorTime()
	for range b.N {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() { tokens.Add(readStream(b, url)) })
		}
		wg.Wait()
	}
	took, used := time.Since(started), processorTime()-cpu
	b.StopTimer()
	if want := int64(b.N) * streams * tokensPerStream; tokens.Load() != want {
		b.Errorf("%d tokens arrived, want %d", tokens.Load(), want)
	}
	perSecond := float64(tokens.Load()) / took.Seconds()
	b.ReportMetric(perSecond, "tokens/s")
	b.ReportMetric(float64(used.Microseconds())/float64(tokens.Load()), "cpu_us/token")
	b.ReportMetric(tokensPerHost, "bound_tokens/s")
	if perSecond < tokensPerHost {
		b.Errorf("%.0f tokens a second through one host, bound %d", perSecond, tokensPerHost)
	}
}

// readStream runs the pipeline as a stream and returns its number of tokens.
func readStream(b *testing.B, url string) int64 {
	req := newRun(b, url)
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
			b.Error("a stream failed")
		}
	}
	return tokens
}

// processorTime returns the process's user and system time.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkMemoryUnderWay measures the heap of one request under way, with its
// caller's and its stand-in's, since they share the process.
func BenchmarkMemoryUnderWay(b *testing.B) {
	const requests = 500
	for range b.N {
		fleet := fastFleet(1)
		fleet.TokenTime = time.Hour
		bed := testbed.Start(b, testbed.Config{Fleet: fleet})
		url := "http://" + bed.Hosts[0].Address("callers") + "/v1/pipelines/guidebook/runs"
		ctx, cancel := context.WithCancel(b.Context())
		empty := heap()
		var wg sync.WaitGroup
		for range requests {
			req := newRun(b, url).WithContext(ctx)
			wg.Go(func() {
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			})
		}
		// Some may be refused while the host learns what the engine bears.
		time.Sleep(2 * time.Second)
		underWay := bed.Hosts[0].App().Status().RequestsInProgress
		b.ReportMetric((float64(heap())-float64(empty))/float64(max(1, underWay)), "heap_bytes/request")
		b.ReportMetric(float64(underWay), "under_way")
		cancel()
		wg.Wait()
	}
}
