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

// usageAnswer is an endpoint's answer on the charges of one attempt.
type usageAnswer struct {
	Usage port.Usage `json:"usage"`
	Ended bool       `json:"ended"`
}

// Charged implements cost.UsageReader by GET /v1/attempts/{id}.
func (c *Client) AttemptUsage(ctx context.Context, e release.Endpoint, attemptID string) (port.Usage, bool, error) {
	path := "/v1/attempts/" + attemptID
	if err := checkPath(path); err != nil {
		return port.Usage{}, false, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "bad attempt id")
	}
	var got usageAnswer
	err := c.get(ctx, e, path, &got)
	return got.Usage, got.Ended, err
}

// get reads the JSON at path of an endpoint into out.
func (c *Client) get(ctx context.Context, e release.Endpoint, path string, out any) error {
	addr, err := address(e)
	if err != nil {
		return verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "bad endpoint")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	target(req, fasthttp.MethodGet, addr, path)
	return c.exchange(ctx, addr, req, false, func(resp *fasthttp.Response) error {
		return c.readJSON(resp, out)
	})
}

func (c *Client) readJSON(resp *fasthttp.Response, out any) error {
	if resp.StatusCode() != fasthttp.StatusOK {
		return refusal(resp)
	}
	raw, err := httpcall.ReadBody(resp, c.maxAnswer)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}
