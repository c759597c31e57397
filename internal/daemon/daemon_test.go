package daemon_test

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

// post requests one run and returns the status and body of the response, or 0 and
// the error if there was no response.
func post(address string) (int, string) {
	req, err := http.NewRequest("POST", "http://"+address+"/v1/pipelines/guidebook/runs", strings.NewReader(`{"input":"x"}`))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Pimentorill-Customer", testbed.Customer)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

func TestStopWaitsForRequestsInFlight(t *testing.T) {
	is := is.New(t)
	const requests = 20
	fleet := testbed.DefaultFleet
	fleet.Zones = fleet.Zones[:1]
	fleet.TokenTime = 20 * time.Millisecond // long enough that Stop finds the requests in flight
	bed := testbed.Start(t, testbed.Config{Fleet: fleet})
	host := bed.Hosts[0]
	address := host.Address("callers")
	statuses := make([]int, requests)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() { statuses[i], _ = post(address) })
	}
	engine := bed.Fleet.Engines[standin.ServiceEngines+"-ljubljana-1"]
	is.NoErr(engine.Wait(t.Context(), func(_ port.LoadReport, s standin.Stats) bool { return s.Started == requests }))
	is.Equal(host.Stop(), 0) // none is interrupted
	wg.Wait()
	for _, status := range statuses {
		is.Equal(status, 200)
	}
	status, _ := post(address)
	is.Equal(status, 0) // the listener is closed
	is.Equal(engine.Stats().Cancelled, 0)
}

func TestRequestDuringDrainIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	fleet := testbed.DefaultFleet
	fleet.Zones = fleet.Zones[:1]
	fleet.TokenTime = 50 * time.Millisecond // long enough that the request is in flight during the drain
	bed := testbed.Start(t, testbed.Config{Fleet: fleet})
	host := bed.Hosts[0]
	address := host.Address("callers")
	var wg sync.WaitGroup
	wg.Go(func() {
		status, body := post(address)
		if status != 200 {
			t.Errorf("the request in flight got %d %s", status, body)
		}
	})
	engine := bed.Fleet.Engines[standin.ServiceEngines+"-ljubljana-1"]
	is.NoErr(engine.Wait(t.Context(), func(l port.LoadReport, _ standin.Stats) bool { return l.Running == 1 }))
	wg.Go(func() { host.Stop() })
	for host.App().Status().Ready {
		runtime.Gosched() // yields until Stop has begun
	}
	status, body := post(address)
	wg.Wait()
	if status != 0 { // 0: the listener was closed already
		is.Equal(status, 503)
		is.True(strings.Contains(body, `"verdict":"not_run"`))
	}
	is.Equal(engine.Stats().Started, 1)
}
