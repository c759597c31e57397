package engine

import (
	"context"
	"strconv"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// loadPath is the path of an endpoint's load report.
const loadPath = "/v1/load"

// Load implements port.LoadReader with GET /v1/load.
func (c *Client) Load(ctx context.Context, e release.Endpoint) (port.LoadReport, error) {
	var got port.LoadReport
	err := c.getJSON(ctx, e, loadPath, &got)
	return got, err
}

// cacheEventsPath is the path of an engine's cache events. The sequence number of the
// last event received is appended to it.
const cacheEventsPath = "/v1/cache/events?after="

// cacheEventsResponse holds an engine's cache events, ordered by sequence number.
type cacheEventsResponse struct {
	Events []port.CacheEvent `json:"events"`
}

// CacheEvents implements port.CacheEventReader with GET /v1/cache/events.
func (c *Client) CacheEvents(ctx context.Context, e release.Endpoint, after uint64) ([]port.CacheEvent, error) {
	var got cacheEventsResponse
	err := c.getJSON(ctx, e, cacheEventsPath+strconv.FormatUint(after, 10), &got)
	return got.Events, err
}
