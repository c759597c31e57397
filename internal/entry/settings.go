package entry

import "time"

// Settings are what a host on a platform is told at its start.
type Settings struct {
	// HostID is this host's id.
	HostID string
	Zone   string
	// Regions holds the region of each zone.
	Regions map[string]string
	// CallersAddress, Ready, Peers, Metrics and Store are addresses, IP:PORT; an empty
	// Metrics serves none.
	CallersAddress, ReadinessAddress, PeersAddress, MetricsAddress, StoreAddress string
	MemoryBytes                                                                  int64
	// MaxConnections bounds the open connections, descriptors that the platform allows.
	MaxConnections int
	// ShutdownGrace is the time between the signal to end and the end.
	ShutdownGrace time.Duration
	// RetryShare, RetrySlack and RetryWindow bound what all hosts send again.
	RetryShare, RetrySlack float64
	RetryWindow            time.Duration
	// WarmUpOverrun and WarmUpSlack bound what all hosts send to a cold endpoint.
	WarmUpOverrun, WarmUpSlack float64
	// MinLease is the store's shortest lease.
	MinLease time.Duration
}
