package entry

import "time"

// Settings are what a host on a platform is told at its start.
type Settings struct {
	// Host is this host's id.
	Host string
	Zone string
	// Regions holds the region of each zone.
	Regions map[string]string
	// Callers, Ready, Peers, Metrics and Store are addresses, IP:PORT; an empty
	// Metrics serves none.
	Callers, Ready, Peers, Metrics, Store string
	MemoryBytes                           int64
	// Connections bounds the open connections, descriptors that the platform allows.
	Connections int
	// Grace is the time between the signal to end and the end.
	Grace time.Duration
	// RetryShare, RetrySlack and RetryWindow bound what all hosts send again.
	RetryShare, RetrySlack float64
	RetryWindow            time.Duration
	// WarmUpOverrun and WarmUpSlack bound what all hosts send to a cold endpoint.
	WarmUpOverrun, WarmUpSlack float64
	// MinLease is the store's shortest lease.
	MinLease time.Duration
}
