package entry

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/adapter/httpcall"
)

// EndpointConnections bounds a host's connections to endpoints.
var EndpointConnections = httpcall.Config{
	// With 8 hosts, the idle ones stay within the 48 connections that the smallest
	// endpoints take.
	MaxIdlePerAddress: 5,
	// An endpoint that closes idle connections sooner says so in its answers.
	IdleTimeout: 10 * time.Second,
	// The way there and back is a few milliseconds within a region, 30 ms between
	// regions.
	DialTimeout: 400 * time.Millisecond,
}
