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
	orderPath = "/v1/orders"
	statePath = "/v1/state"
)

// State implements port.OrderClient by GET /v1/state.
func (c *Client) State(ctx context.Context, e release.Endpoint) (port.EngineState, error) {
	var got port.EngineState
	err := c.get(ctx, e, statePath, &got)
	return got, err
}

// Send implements port.OrderClient by POST /v1/orders. An order gets a connection
// of its own, so that a failure to connect is a sure NotRun.
func (c *Client) Send(ctx context.Context, e release.Endpoint, fence uint64, o port.Order) error {
	addr, err := address(e)
	if err != nil {
		return verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "bad endpoint")
	}
	body, err := json.Marshal(o)
	if err != nil {
		return verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "order cannot be encoded")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	target(req, fasthttp.MethodPost, addr, orderPath)
	req.Header.SetContentType("application/json")
	req.Header.Set(port.HeaderFence, strconv.FormatUint(fence, 10))
	req.SetBodyRaw(body)
	return c.exchange(ctx, addr, req, true, func(resp *fasthttp.Response) error {
		if resp.StatusCode() != fasthttp.StatusAccepted {
			return refusal(resp)
		}
		return nil
	})
}
