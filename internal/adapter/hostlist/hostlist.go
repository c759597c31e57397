// Package hostlist is a client of the platform's host list: GET /v1/hosts returns
// a JSON array of hosts.
package hostlist

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/adapter/httpcall"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// RequestTimeout limits the duration of one call of Hosts.
	RequestTimeout = 2 * time.Second

	hostsPath = "/v1/hosts"
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 4 << 20
)

// Client implements port.HostList over HTTP. It is safe for concurrent use.
type Client struct {
	address string
	pool    *httpcall.Pool
	bodies  *httpcall.Budget
}

// New returns a Client for the host list at address, which is IP:PORT. The caller
// must Close it to release its idle connections.
func New(address string) *Client {
	return &Client{address: address, pool: httpcall.New(httpcall.Config{MaxIdlePerAddress: 1}), bodies: httpcall.NewBudget(maxResponseBytes)}
}

// Close closes the idle connections. Calls in progress continue.
func (c *Client) Close() { c.pool.Close() }

// Hosts implements port.HostList. All errors wrap port.ErrUnavailable, also those of an
// invalid response.
func (c *Client) Hosts(ctx context.Context) ([]port.ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + c.address + hostsPath)
	var hosts []port.ListedHost
	_, err := c.pool.Do(ctx, c.address, req, false, func(resp *fasthttp.Response) error {
		if resp.StatusCode() != fasthttp.StatusOK {
			return errors.Errorf("status %d", resp.StatusCode())
		}
		return c.bodies.ReadBody(ctx, resp, maxResponseBytes, func(raw []byte) (err error) {
			hosts, err = decodeHosts(raw)
			return err
		})
	})
	if err != nil {
		return nil, errors.Wrap(port.ErrUnavailable, "host list: "+err.Error())
	}
	return hosts, nil
}

// decodeHosts decodes a host list. It returns an error if a host has no ID.
func decodeHosts(raw []byte) ([]port.ListedHost, error) {
	var hosts []port.ListedHost
	if err := json.Unmarshal(raw, &hosts); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	for i, h := range hosts {
		if h.ID == "" {
			return nil, errors.Errorf("host %d has no ID", i)
		}
	}
	return hosts, nil
}
