package entry

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/adapter/httpcall"
)

// EndpointConnections configures a host's connections to endpoints.
var EndpointConnections = httpcall.Config{
	// With 8 hosts, the idle connections stay within the 48 connections that the
	// smallest endpoints accept.
	MaxIdlePerAddress: 5,
	// An endpoint that closes idle connections sooner announces its idle timeout in
	// its responses.
	IdleTimeout: 10 * time.Second,
	// The round-trip time is a few milliseconds within a region and 30 ms between
	// regions.
	DialTimeout: 400 * time.Millisecond,
}
