// Package adapter_test tests what holds for all clients of other systems.
package adapter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/adapter/engine"
	"github.com/pimentorill/pimentorill/internal/adapter/hostlist"
	"github.com/pimentorill/pimentorill/internal/adapter/peer"
	"github.com/pimentorill/pimentorill/internal/adapter/store"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// endlessCalls returns calls of all clients to the server at an address.
func endlessCalls(t *testing.T, address string) map[string]func(context.Context, int) {
	own := store.New(store.Config{Address: address})
	hosts := hostlist.New(address)
	engines := engine.New(engine.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peers, err := peer.New(peer.Config{Self: port.Member{ID: "edge-0", AvailabilityZone: "kranj", Incarnation: 1}, Listener: l, SharedKeys: [][]byte{[]byte("a shared key for tests")}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { own.Close(); hosts.Close(); engines.Close(); peers.Close() })
	e := release.Endpoint{ID: "e", URL: "http://" + address}
	attempt := func(kind release.ServiceKind) func(context.Context, int) {
		return func(ctx context.Context, i int) {
			input, _ := json.Marshal("prompt")
			_, _ = engines.Call(ctx, port.Attempt{ID: fmt.Sprint("a-", i), Endpoint: e, Service: release.Service{Name: "s", Kind: kind}, Stage: release.Stage{Path: "/v1/call", MaxTokens: 20}, Input: input})
		}
	}
	return map[string]func(context.Context, int){
		"store, read":  func(ctx context.Context, i int) { _, _ = own.Get(ctx, fmt.Sprint("key-", i)) },
		"store, list":  func(ctx context.Context, _ int) { _, _ = own.List(ctx, "key") },
		"store, write": func(ctx context.Context, i int) { _, _ = own.CompareAndSwap(ctx, fmt.Sprint("key-", i), 0, nil, 0) },
		"store, watch": func(ctx context.Context, i int) { _, _ = own.Watch(ctx, fmt.Sprint("key-", i), 0) },
		"host list":    func(ctx context.Context, _ int) { _, _ = hosts.Hosts(ctx) },
		"call":         attempt(release.KindPlain),
		"completion":   attempt(release.KindEngine),
		"state":        func(ctx context.Context, _ int) { _, _ = engines.State(ctx, e) },
		"order": func(ctx context.Context, i int) {
			_ = engines.Send(ctx, e, 1, port.Order{ID: fmt.Sprint("1/h/", i), Kind: port.OrderRole, Role: "decode"})
		},
		"request to a host": func(ctx context.Context, _ int) { _, _ = peers.Ask(ctx, address, "ping", nil) },
	}
}

// TestServersThatSendWithoutEndCostLittleMemory guards against a process that ends for lack of memory, with
// the requests of all clients, because a server sends bytes without end in a header or in a body.
func TestServersThatSendWithoutEndCostLittleMemory(t *testing.T) {
	const (
		callers  = 40
		deadline = time.Second
		// maxHeapBytes is a third of the memory of a host of the users' platform.
		maxHeapBytes = 96 << 20
	)
	for name, form := range standin.EndlessForms {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, err := standin.StartEndless(form)
			is.NoErr(err)
			defer server.Close()
			for call, make := range endlessCalls(t, server.Address()) {
				peak := standin.PeakLiveHeap()
				var group sync.WaitGroup
				start := time.Now()
				for i := range callers {
					group.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), deadline)
						defer cancel()
						make(ctx, i)
					})
				}
				group.Wait()
				took, heap := time.Since(start), peak()
				if heap > maxHeapBytes || took > deadline+time.Second {
					t.Errorf("%s: %d MB above the start, %d MB sent, %v", call, heap>>20, server.Sent()>>20, took.Round(time.Millisecond))
				}
			}
		})
	}
}
