// Package settings reads the daemon's settings from YAML, applies defaults and
// validates all keys. Settings are immutable once loaded.
package settings

import (
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/strictyaml"
)

// Settings is the content of a daemon's settings file. docs/settings.md lists the
// defaults and ranges.
type Settings struct {
	// Host is the name of this host, unique among all hosts.
	Host string `yaml:"host"`
	// AvailabilityZone is the availability zone of the host.
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
	// DrainSeconds bounds how long a graceful shutdown waits for requests in progress,
	// in seconds.
	DrainSeconds int `yaml:"drain_seconds"`
	// Embedded starts stand-ins for the platform and the endpoints inside the daemon.
	// Then all listen addresses must be loopback addresses, Store.URL must be empty and
	// HostList.URL is ignored.
	Embedded bool `yaml:"embedded"`
}

// Listen holds the listen addresses, each IP:PORT.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	// Peers is also the address that the host advertises to other hosts.
	Peers string `yaml:"peers"`
}

// Store configures access to the platform's key-value store.
type Store struct {
	// URL is the base URL, http://IP:PORT.
	URL string `yaml:"url"`
	// TimeoutMs bounds one call to the store, in milliseconds. It does not apply to
	// watches, whose long polls have a fixed timeout.
	TimeoutMs int `yaml:"timeout_ms"`
}

// HostList configures access to the platform's list of hosts.
type HostList struct {
	// URL is the base URL, http://IP:PORT.
	URL string `yaml:"url"`
	// PollIntervalSeconds is the time between two reads of the list, in seconds.
	PollIntervalSeconds int `yaml:"interval_seconds"`
}

// Peers configures how hosts find and authenticate each other.
type Peers struct {
	// SharedKey authenticates hosts to each other. It is the same on all hosts and has
	// at least minSharedKeyBytes.
	SharedKey string `yaml:"shared_key"`
	// SeedAddresses are the addresses of the first peers to contact, each IP:PORT.
	SeedAddresses []string `yaml:"seeds"`
}

// Operators configures the authentication of operators.
type Operators struct {
	// Token is the bearer token that operators send. It has at least minTokenBytes.
	Token string `yaml:"token"`
}

// Limits bounds the resources that clients may use. All but MaxRequests apply to the
// callers' and to the operators' listener, each on its own.
type Limits struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int `yaml:"body_bytes"`
	// MaxConnections bounds the open connections of a listener.
	MaxConnections int `yaml:"connections"`
	// MaxRequests bounds the callers' requests that are running or queued.
	MaxRequests int `yaml:"runs"`
	// ReadTimeoutMs bounds reading one request, in milliseconds.
	ReadTimeoutMs int `yaml:"read_timeout_ms"`
	// IdleTimeoutMs bounds the wait for the next request on a connection, in
	// milliseconds.
	IdleTimeoutMs int `yaml:"idle_timeout_ms"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
	// Format is json or text.
	Format string `yaml:"format"`
}

// maxFileBytes bounds the settings file.
const maxFileBytes = 1 << 20

// defaults returns the values of keys that the file omits.
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

// Load reads and validates the settings file. The error lists all invalid values;
// Load reports an unknown key or a syntax error without checking the values.
func Load(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	if info.Size() > maxFileBytes {
		return Settings{}, errors.Errorf("settings file %s has %d bytes, at most %d are allowed", path, info.Size(), maxFileBytes)
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

// Parse decodes settings from YAML, applies defaults and validates them. Its errors are
// those of Load.
func Parse(data []byte) (Settings, error) {
	s := defaults()
	if err := strictyaml.Decode(data, &s); err != nil {
		return Settings{}, errors.Wrap(err, "decode settings")
	}
	if err := s.validate(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// DrainTimeout returns DrainSeconds as a duration.
func (s Settings) DrainTimeout() time.Duration { return time.Duration(s.DrainSeconds) * time.Second }
