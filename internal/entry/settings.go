package entry

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/rollout"
)

// Settings configure a host on a platform.
type Settings struct {
	// HostID identifies the host among all hosts.
	HostID string
	// FirstStart means that the whole system starts for the first time.
	FirstStart bool
	// Zone is the availability zone of the host.
	Zone string
	// Regions maps each zone to its region.
	Regions map[string]string
	// The addresses are of the form IP:PORT. If MetricsAddress is empty, metrics are
	// not served.
	CallersAddress, ReadinessAddress, PeersAddress, MetricsAddress, StoreAddress string
	// Cores is the processor time that the host may use, in cores, and LinkMbps the
	// bandwidth of its link; 0 if unknown.
	Cores, LinkMbps float64
	// MemoryBytes is the memory limit of the host.
	MemoryBytes int64
	// MaxConnections bounds the open connections: the number of file descriptors
	// that the platform allows.
	MaxConnections int
	// ShutdownGrace bounds the time from the shutdown signal to the end of the process.
	ShutdownGrace time.Duration
	// RetryShare, RetrySlack and RetryWindow bound the retries of all hosts together:
	// within any RetryWindow, a service gets at most RetryShare retries for each
	// first send, plus RetrySlack.
	RetryShare, RetrySlack float64
	RetryWindow            time.Duration
	// HedgeShare is the share of a service's requests that may be sent to a second endpoint
	// while the first one is slow; 0 means none.
	HedgeShare float64
	// WarmUpOverrun and WarmUpSlack bound the requests of all hosts to a cold
	// endpoint: its service's warm-up rate times WarmUpOverrun, plus WarmUpSlack.
	WarmUpOverrun, WarmUpSlack float64
	// Rollouts bounds how versions are tried in roll-outs; rollouts.Defaults replaces what is 0.
	Rollouts rollout.Bounds
	// MinLease is the shortest lease TTL that the store grants.
	MinLease time.Duration
}
