package peer

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

func TestMain(m *testing.M) {
	// fasthttp leaves two goroutines behind that sleep for up to ten seconds.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

const testKey = "a shared key for tests"

// staticFaults drops every frame or makes every address unreachable.
type staticFaults struct{ drop, unreachable bool }

func (f staticFaults) Outbound(string) (bool, time.Duration) { return f.drop, 0 }
func (f staticFaults) Unreachable(string) bool               { return f.unreachable }

// newTestTransport returns a transport that can send; Start makes it accept
// connections.
func newTestTransport(t *testing.T, id string, faults FaultInjector, keys ...string) *Transport {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Self: port.Member{ID: id, AvailabilityZone: "kranj", Incarnation: 7}, Listener: ln, Faults: faults}
	for _, k := range keys {
		cfg.SharedKeys = append(cfg.SharedKeys, []byte(k))
	}
	tr, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tr.Close)
	return tr
}

func TestRequestsAndMessagesBetweenTransports(t *testing.T) {
	is := is.New(t)
	a, b := newTestTransport(t, "a", nil, testKey), newTestTransport(t, "b", nil, "another key for tests", testKey)
	received := make(chan string, 1)
	b.OnMessage(func(from port.Member, payload []byte) { received <- from.ID + ":" + string(payload) })
	b.Handle("echo", func(_ context.Context, from port.Member, payload []byte) ([]byte, error) {
		return []byte(from.ID + string(payload)), nil
	})
	b.Handle("refuse", func(context.Context, port.Member, []byte) ([]byte, error) {
		return nil, verdict.New(verdict.CodeKeyInUse, verdict.NotRun, "taken").WithRetryAfter(time.Second)
	})
	a.Start()
	b.Start()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	big := strings.Repeat("x", 1<<20)
	reply, err := a.Ask(ctx, b.Self().Address, "echo", []byte(big))
	is.NoErr(err)
	is.Equal(len(reply), len(big)+1) // one byte for the ID of a
	_, err = a.Ask(ctx, b.Self().Address, "refuse", nil)
	e := verdict.From(err)
	is.Equal(e.Code, verdict.CodeKeyInUse)
	is.Equal(e.Verdict, verdict.NotRun)
	is.Equal(e.RetryAfter, time.Second)
	_, err = a.Ask(ctx, b.Self().Address, "unknown", nil)
	is.Equal(verdict.Of(err), verdict.NotRun)
	a.Send(b.Self().Address, []byte("hello"))
	a.Flush(ctx)
	is.Equal(<-received, "a:hello")
	is.Equal(a.Stats().Dials, uint64(1)) // all requests share one connection
}

func TestVerdictsOfFailedRequests(t *testing.T) {
	is := is.New(t)
	b := newTestTransport(t, "b", nil, testKey)
	reached := make(chan struct{}, 1)
	b.Handle("hang", func(ctx context.Context, _ port.Member, _ []byte) ([]byte, error) {
		reached <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	b.Start()
	address := b.Self().Address

	partitioned := newTestTransport(t, "cut", staticFaults{unreachable: true}, testKey)
	_, err := partitioned.Ask(t.Context(), address, "hang", nil)
	is.Equal(verdict.Of(err), verdict.NotRun) // not connected

	unauthenticated := newTestTransport(t, "stranger", nil, "not the shared key of b")
	_, err = unauthenticated.Ask(t.Context(), address, "hang", nil)
	is.Equal(verdict.Of(err), verdict.NotRun) // the handshake fails

	a := newTestTransport(t, "a", nil, testKey)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-reached
		cancel()
	}()
	_, err = a.Ask(ctx, address, "hang", nil)
	is.Equal(verdict.Of(err), verdict.MayHaveRun) // cancelled after it was written

	go func() {
		<-reached
		b.Close()
	}()
	_, err = a.Ask(t.Context(), address, "hang", nil)
	is.Equal(verdict.Of(err), verdict.MayHaveRun) // the connection was closed
	_, err = a.Ask(t.Context(), address, "hang", nil)
	is.Equal(verdict.Of(err), verdict.NotRun) // the peer does not listen
	a.Close()
	_, err = a.Ask(t.Context(), address, "hang", nil)
	is.Equal(verdict.Of(err), verdict.NotRun) // the sending transport is closed
	a.Send(address, nil)
}

// TestPanicOfAHandlerFailsItsRequestAlone guards against a message that ends the process
// that receives it.
func TestPanicOfAHandlerFailsItsRequestAlone(t *testing.T) {
	is := is.New(t)
	a, b := newTestTransport(t, "a", nil, testKey), newTestTransport(t, "b", nil, testKey)
	b.Handle("panic", func(context.Context, port.Member, []byte) ([]byte, error) { panic("unexpected") })
	b.Handle("echo", func(_ context.Context, _ port.Member, payload []byte) ([]byte, error) { return payload, nil })
	b.Start()
	for range 3 {
		_, err := a.Ask(t.Context(), b.Self().Address, "panic", nil)
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
		is.Equal(verdict.From(err).Code, verdict.CodeInternal)
		got, err := a.Ask(t.Context(), b.Self().Address, "echo", []byte("x"))
		is.NoErr(err)
		is.Equal(string(got), "x")
	}
}

// A request that is cancelled while it is queued is never written.
func TestCancelledQueuedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	q := &queuedFrame{}
	is.Equal(q.abandon(context.Canceled, verdict.CodeDeadlineExceeded).Verdict, verdict.NotRun)
	is.True(!q.state.CompareAndSwap(frameQueued, frameWriting)) // the writer skips it
	written := &queuedFrame{}
	written.state.Store(frameWriting)
	is.Equal(written.abandon(context.Canceled, verdict.CodeDeadlineExceeded).Verdict, verdict.MayHaveRun)
}

// a may have one outbound connection, so each request to the other host replaces it.
func TestIdleAndExcessConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	b, c := newTestTransport(t, "b", nil, testKey), newTestTransport(t, "c", nil, testKey)
	for _, tr := range []*Transport{b, c} {
		tr.Handle("echo", func(_ context.Context, _ port.Member, p []byte) ([]byte, error) { return p, nil })
		tr.Start()
	}
	a := newTestTransport(t, "a", nil, testKey)
	a.maxConns = 1
	for range 3 {
		_, err := a.Ask(t.Context(), b.Self().Address, "echo", nil)
		is.NoErr(err)
		_, err = a.Ask(t.Context(), c.Self().Address, "echo", nil)
		is.NoErr(err)
	}
	is.Equal(len(a.knownConns()), 1)
	a.closeIdle(time.Now().Add(2 * idleTimeout))
	a.closeIdle(time.Now())
	is.Equal(len(a.outbound), 0)
}

// A frame that was modified or replayed is rejected.
func TestModifiedAndReplayedFramesAreRejected(t *testing.T) {
	is := is.New(t)
	out, in := newSealer([]byte(testKey)), newSealer([]byte(testKey))
	first, err := out.seal(frame{Kind: frameMessage, Payload: []byte("one")})
	is.NoErr(err)
	f, err := in.open(first)
	is.NoErr(err)
	is.Equal(string(f.Payload), "one")
	_, err = in.open(first)
	is.True(err != nil) // replayed
	second, err := out.seal(frame{Kind: frameMessage, Payload: []byte("two")})
	is.NoErr(err)
	second[len(second)-1] ^= 1
	in = newSealer([]byte(testKey))
	in.nextSequence = 1
	_, err = in.open(second)
	is.True(err != nil) // modified
}

// Hosts with a newer version may send frames with additional fields.
func TestUnknownFrameFieldsAreIgnored(t *testing.T) {
	is := is.New(t)
	raw, err := encoder.Marshal(map[int]any{1: 1, 5: []byte("x"), 99: "new"})
	is.NoErr(err)
	f, err := decodeFrame(raw)
	is.NoErr(err)
	is.Equal(f.Kind, frameMessage)
}

// A frame that decodeFrame accepts can be encoded again, and decodeHello does not
// panic.
func FuzzDecodeFrame(f *testing.F) {
	seeds := []frame{
		{Kind: frameMessage, Payload: []byte("x")},
		{Kind: frameRequest, ID: 3, Request: "claim", TimeoutMs: 50},
		{Kind: frameFailure, ID: 3, Failure: failure{Code: "conflict", Verdict: "not_run", Message: "m"}},
	}
	for _, s := range seeds {
		raw, err := encoder.Marshal(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte{0xbf, 0x01, 0x01, 0xff})                               // a map of indefinite length
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}) // an array of 2^64-1 elements
	f.Fuzz(func(t *testing.T, raw []byte) {
		if decoded, err := decodeFrame(raw); err == nil {
			if _, err := encoder.Marshal(decoded); err != nil {
				t.Fatal(err)
			}
		}
		_, _ = decodeHello(raw)
	})
}

// Guards against work that nobody waits for: a requester whose connection is closed
// has another host run its plan, so the first one has to stop.
func TestRequestEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	a, b := newTestTransport(t, "a", nil, testKey), newTestTransport(t, "b", nil, testKey)
	started, ended := make(chan struct{}), make(chan struct{})
	b.HandleWhileConnected("work", func(ctx context.Context, _ port.Member, _ []byte) ([]byte, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	})
	a.Start()
	b.Start()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		_, err := a.Ask(ctx, b.Self().Address, "work", nil)
		failed <- err
	}()
	<-started
	a.Reset(b.Self().Address)
	is.True(<-failed != nil)
	select {
	case <-ended:
	case <-ctx.Done():
		t.Fatal("the handler goes on without a connection")
	}
}
