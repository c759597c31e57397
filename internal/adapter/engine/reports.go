package engine

import (
	"context"
	"strconv"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// loadPath gives an endpoint's load.
const loadPath = "/v1/load"

// Load returns the endpoint's report on itself.
func (c *Client) Load(ctx context.Context, e release.Endpoint) (port.LoadReport, error) {
	var got port.LoadReport
	err := c.get(ctx, e, loadPath, &got)
	return got, err
}

// eventsPath takes the sequence number of the last event known.
const eventsPath = "/v1/cache/events?after="

// eventsAnswer holds an engine's cache events in the order of their sequence.
type eventsAnswer struct {
	Events []port.CacheEvent `json:"events"`
}

// CacheEvents returns the engine's cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, e release.Endpoint, after uint64) ([]port.CacheEvent, error) {
	var got eventsAnswer
	err := c.get(ctx, e, eventsPath+strconv.FormatUint(after, 10), &got)
	return got.Events, err
}
