package engine

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/adapter/httpcall"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// usageResponse is the response body with the usage charged for one attempt.
type usageResponse struct {
	Usage port.Usage `json:"usage"`
	// Ended means that the endpoint has ended its work on the attempt.
	Ended bool `json:"ended"`
}

// AttemptUsage implements port.UsageReader with GET /v1/attempts/{id}.
func (c *Client) AttemptUsage(ctx context.Context, e release.Endpoint, attemptID string) (port.Usage, bool, error) {
	path := "/v1/attempts/" + attemptID
	if err := validatePath(path); err != nil {
		return port.Usage{}, false, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "bad attempt id")
	}
	var got usageResponse
	err := c.getJSON(ctx, e, path, &got)
	return got.Usage, got.Ended, err
}

// getJSON requests path from an endpoint and decodes the JSON response into out. It
// returns every failure as a *verdict.Error.
func (c *Client) getJSON(ctx context.Context, e release.Endpoint, path string, out any) error {
	addr, err := endpointAddress(e)
	if err != nil {
		return verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "bad endpoint")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	setMethodAndURI(req, fasthttp.MethodGet, addr, path)
	return c.doRequest(ctx, addr, req, false, httpcall.Call{Matches: httpcall.MatchUnnamed(port.HeaderAttempt), Read: func(resp *fasthttp.Response) error {
		return c.readJSON(ctx, resp, out)
	}})
}

// readJSON decodes a response with status 200 into out. It returns the error of
// statusError for any other status.
func (c *Client) readJSON(ctx context.Context, resp *fasthttp.Response, out any) error {
	if resp.StatusCode() != fasthttp.StatusOK {
		return statusError(resp)
	}
	return c.readInto(ctx, resp, out)
}

// readInto decodes the body of a response into out.
func (c *Client) readInto(ctx context.Context, resp *fasthttp.Response, out any) error {
	return c.bodies.ReadBody(ctx, resp, c.maxResponseBytes, func(raw []byte) error {
		if err := json.Unmarshal(raw, out); err != nil {
			return errors.Wrap(err, "decode response")
		}
		return nil
	})
}
