package engine

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// strayRefusals are refusals that say that the call was not run, and name no attempt.
var strayRefusals = []string{"503 Service Unavailable", "429 Too Many Requests", "400 Bad Request"}

// startBehindStray starts a proxy to an endpoint that sends a refusal on each connection before a call
// arrives, and returns the endpoint as hosts see it then.
func startBehindStray(t *testing.T, e release.Endpoint, status string) release.Endpoint {
	t.Helper()
	proxy, err := standin.StartStrayProxy(strings.TrimPrefix(e.URL, "http://"), fmt.Sprintf("HTTP/1.1 %s\r\n%s: not_run\r\nContent-Length: 2\r\n\r\n{}", status, port.HeaderVerdict), 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	e.URL = "http://" + proxy.Address()
	return e
}

// TestStrayRefusalIsNotThatOfAnAttempt guards against a stage that runs again, or a request that is refused,
// although its endpoint runs it: the endpoint had sent a refusal before it got the call.
func TestStrayRefusalIsNotThatOfAnAttempt(t *testing.T) {
	for _, status := range strayRefusals {
		for _, key := range []string{"", "key-1"} {
			t.Run(fmt.Sprintf("%.3s, key %q", status, key), func(t *testing.T) {
				is := is.New(t)
				c, a := startStandin(t, standin.NewEngine(standin.EngineConfig{BackendConfig: warmBackend("e"), Model: "topo", Version: "1"}), release.KindEngine)
				a.Endpoint = startBehindStray(t, a.Endpoint, status)
				a.IdempotencyKey = key
				for i := range 3 {
					a.ID = fmt.Sprint("attempt-", i)
					if _, err := c.Call(t.Context(), a); err != nil {
						is.Equal(verdict.Of(err), verdict.MayHaveRun)
					}
				}
			})
		}
	}
}

// TestStrayRefusalIsNotThatOfAnOrder guards against an order that counts as not accepted while its engine
// executes it: the engine had sent a refusal before it got the order.
func TestStrayRefusalIsNotThatOfAnOrder(t *testing.T) {
	for _, status := range strayRefusals {
		t.Run(status[:3], func(t *testing.T) {
			is := is.New(t)
			e := standin.NewEngine(standin.EngineConfig{BackendConfig: warmBackend("e"), Model: "topo", Version: "1", ChecksFence: true})
			c, a := startStandin(t, e, release.KindEngine)
			order := port.Order{ID: "8/h/1", Kind: port.OrderRole, Role: "decode"}
			is.NoErr(c.Send(t.Context(), startBehindStray(t, a.Endpoint, status), 8, order))
			order.ID = "7/h/1"
			is.Equal(verdict.Of(c.Send(t.Context(), startBehindStray(t, a.Endpoint, status), 7, order)), verdict.NotRun) // of an earlier lease
			is.Equal(e.OrderStats().RefusedStale, 1)
		})
	}
}
