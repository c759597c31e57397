package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/adapter/httpcall"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	ordersPath = "/v1/orders"
	statePath  = "/v1/state"
)

// State implements port.OrderClient with GET /v1/state. It may reuse a connection.
func (c *Client) State(ctx context.Context, e release.Endpoint) (port.EngineState, error) {
	var got port.EngineState
	err := c.getJSON(ctx, e, statePath, &got)
	return got, err
}

// Send implements port.OrderClient with POST /v1/orders. Each order opens a new
// connection, so that a failure to connect proves that the engine did not receive
// the order. A refusal names no order: it counts if the engine then reports its state on the same
// connection, which shows that it has answered the order.
func (c *Client) Send(ctx context.Context, e release.Endpoint, fencingToken uint64, o port.Order) error {
	addr, err := endpointAddress(e)
	if err != nil {
		return verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "bad endpoint")
	}
	body, err := json.Marshal(o)
	if err != nil {
		return verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "order cannot be encoded")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	setMethodAndURI(req, fasthttp.MethodPost, addr, ordersPath)
	req.Header.SetContentType("application/json")
	req.Header.Set(port.HeaderFence, strconv.FormatUint(fencingToken, 10))
	req.SetBodyRaw(body)
	return c.doRequest(ctx, addr, req, true, httpcall.Call{Matches: matchOrder, Barrier: stateBarrier(addr), Read: func(resp *fasthttp.Response) error {
		if resp.StatusCode() != fasthttp.StatusAccepted {
			return statusError(resp)
		}
		return nil
	}})
}

// matchOrder is httpcall.Call.Matches of an order.
func matchOrder(resp *fasthttp.Response, _ bool) httpcall.Match {
	switch resp.StatusCode() {
	case fasthttp.StatusAccepted:
		return httpcall.MatchOwn
	case fasthttp.StatusOK:
		return httpcall.MatchBarrier
	default:
		return httpcall.MatchUnknown
	}
}

// stateBarrier returns the barrier of an order, which reads the engine's state.
func stateBarrier(addr string) *httpcall.Barrier {
	isRefusal := func(resp *fasthttp.Response) bool { return verdict.Of(statusError(resp)) == verdict.NotRun }
	return &httpcall.Barrier{
		Write: func(w *bufio.Writer) error {
			req := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(req)
			setMethodAndURI(req, fasthttp.MethodGet, addr, statePath)
			return req.Write(w)
		},
		IsRefusal:     isRefusal,
		IsAnswer:      isRefusal,
		NamesRefusals: func() bool { return true },
		OwnAfterEnd:   func() bool { return false },
	}
}
