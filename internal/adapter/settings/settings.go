// Package settings reads the daemon's settings from YAML, fills in defaults
// and checks them whole. Settings are immutable once loaded.
package settings

import (
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/strictyaml"
)

// Settings are what one daemon learns from its file.
type Settings struct {
	// Host names this host, unique over all hosts.
	Host string `yaml:"host"`
	// AvailabilityZone is the zone that the host stands in.
	AvailabilityZone string `yaml:"availability_zone"`
	// Region is the region of the zone.
	Region    string    `yaml:"region"`
	Listen    Listen    `yaml:"listen"`
	Store     Store     `yaml:"store"`
	HostList  HostList  `yaml:"host_list"`
	Peers     Peers     `yaml:"peers"`
	Operators Operators `yaml:"operators"`
	Limits    Limits    `yaml:"limits"`
	Log       Log       `yaml:"log"`
	// DrainSeconds bounds how long a graceful shutdown waits for requests.
	DrainSeconds int `yaml:"drain_seconds"`
	// Embedded starts stand-ins for the platform and the endpoints inside the
	// daemon. Only loopback addresses are allowed then.
	Embedded bool `yaml:"embedded"`
}

// Listen holds the addresses, each IP:PORT.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// Store tells how to reach the platform's key-value service.
type Store struct {
	// URL is the base URL, http://IP:PORT.
	URL string `yaml:"url"`
	// TimeoutMs bounds one call, in milliseconds.
	TimeoutMs int `yaml:"timeout_ms"`
}

// HostList tells how to reach the platform's list of hosts.
type HostList struct {
	URL string `yaml:"url"`
	// PollIntervalSeconds is the time between two readings.
	PollIntervalSeconds int `yaml:"interval_seconds"`
}

// Peers tells how hosts know and trust each other.
type Peers struct {
	// SharedKey authenticates hosts to each other; the same on all hosts.
	SharedKey string `yaml:"shared_key"`
	// SeedAddresses are the peers' addresses to try first, each IP:PORT.
	SeedAddresses []string `yaml:"seeds"`
}

// Operators holds what guards the operators' calls.
type Operators struct {
	// Token is what operators send as bearer token.
	Token string `yaml:"token"`
}

// Limits bounds what callers can take of the host.
type Limits struct {
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int `yaml:"body_bytes"`
	// MaxConnections is the most connections of callers.
	MaxConnections int `yaml:"connections"`
	// MaxRequests is the most requests under way or waiting.
	MaxRequests int `yaml:"runs"`
	// ReadTimeoutMs bounds the reading of one request, in milliseconds.
	ReadTimeoutMs int `yaml:"read_timeout_ms"`
	// IdleTimeoutMs bounds the wait for the next request of a connection.
	IdleTimeoutMs int `yaml:"idle_timeout_ms"`
}

// Log tells how to log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
	// Format is json or text.
	Format string `yaml:"format"`
}

// maxFileBytes is the largest settings file.
const maxFileBytes = 1 << 20

// defaults returns the settings that hold where the file is silent.
func defaults() Settings {
	return Settings{
		Region:       "default",
		Listen:       Listen{Callers: "127.0.0.1:8700", Operators: "127.0.0.1:8701", Peers: "127.0.0.1:8702"},
		Store:        Store{TimeoutMs: 500},
		HostList:     HostList{PollIntervalSeconds: 5},
		Limits:       Limits{MaxBodyBytes: 1 << 20, MaxConnections: 4096, MaxRequests: 2048, ReadTimeoutMs: 10_000, IdleTimeoutMs: 60_000},
		Log:          Log{Level: "info", Format: "text"},
		DrainSeconds: 30,
	}
}

// Load reads and checks the file. The error lists all faults.
func Load(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	if info.Size() > maxFileBytes {
		return Settings{}, errors.Errorf("settings: %s has %d bytes, at most %d are allowed", path, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, errors.Wrap(err, path)
	}
	return s, nil
}

// Parse reads settings from YAML, fills in defaults and checks them.
func Parse(data []byte) (Settings, error) {
	s := defaults()
	if err := strictyaml.Decode(data, &s); err != nil {
		return Settings{}, errors.Wrap(err, "settings are not valid")
	}
	if err := s.validate(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// DrainTimeout returns the bound of a graceful shutdown.
func (s Settings) DrainTimeout() time.Duration { return time.Duration(s.DrainSeconds) * time.Second }
