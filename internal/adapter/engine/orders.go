package engine

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

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
// the order.
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
	return c.doRequest(ctx, addr, req, true, nil, func(resp *fasthttp.Response) error {
		if resp.StatusCode() != fasthttp.StatusAccepted {
			return statusError(resp)
		}
		return nil
	})
}
