// Package hostlist reads the platform's host list: GET /v1/hosts, a JSON
// array of hosts.
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
	// Timeout bounds one read.
	Timeout = 2 * time.Second

	path           = "/v1/hosts"
	maxAnswerBytes = 4 << 20
)

// Client is a port.HostList over HTTP. It is safe for concurrent use.
type Client struct {
	address string
	pool    *httpcall.Pool
}

// New returns a Client for the list at address, IP:PORT.
func New(address string) *Client {
	return &Client{address: address, pool: httpcall.New(httpcall.Config{MaxIdlePerAddress: 1})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }

// Hosts implements port.HostList. Errors wrap port.ErrUnavailable.
func (c *Client) Hosts(ctx context.Context) ([]port.ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + c.address + path)
	var hosts []port.ListedHost
	_, err := c.pool.Do(ctx, c.address, req, false, func(resp *fasthttp.Response) error {
		if resp.StatusCode() != fasthttp.StatusOK {
			return errors.Errorf("status %d", resp.StatusCode())
		}
		raw, err := httpcall.ReadBody(resp, maxAnswerBytes)
		if err != nil {
			return err
		}
		hosts, err = decode(raw)
		return err
	})
	if err != nil {
		return nil, errors.Wrap(port.ErrUnavailable, "host list: "+err.Error())
	}
	return hosts, nil
}

// decode refuses a list with a host that has no id.
func decode(raw []byte) ([]port.ListedHost, error) {
	var hosts []port.ListedHost
	if err := json.Unmarshal(raw, &hosts); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	for i, h := range hosts {
		if h.ID == "" {
			return nil, errors.Errorf("host %d has no id", i)
		}
	}
	return hosts, nil
}
