package entry

import "time"

// Settings configure a host on a platform.
type Settings struct {
	HostID string
	Zone   string
	// Regions maps each zone to its region.
	Regions map[string]string
	// The addresses are of the form IP:PORT. If MetricsAddress is empty, metrics are
	// not served.
	CallersAddress, ReadinessAddress, PeersAddress, MetricsAddress, StoreAddress string
	MemoryBytes                                                                  int64
	// MaxConnections bounds the open connections: the number of file descriptors
	// that the platform allows.
	MaxConnections int
	// ShutdownGrace bounds the time from the shutdown signal to the end of the process.
	ShutdownGrace time.Duration
	// RetryShare, RetrySlack and RetryWindow bound the retries of all hosts together.
	RetryShare, RetrySlack float64
	RetryWindow            time.Duration
	// WarmUpOverrun and WarmUpSlack bound the requests of all hosts to a cold endpoint.
	WarmUpOverrun, WarmUpSlack float64
	// MinLease is the shortest lease TTL that the store grants.
	MinLease time.Duration
}
