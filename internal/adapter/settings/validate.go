package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Minimum lengths of secrets, in bytes.
const (
	minSharedKeyBytes = 8
	minTokenBytes     = 8
)

// namePattern matches the names of hosts, zones and regions.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// errorList collects validation errors, each of the form "key: message".
type errorList []string

// add appends an error for the key.
func (l *errorList) add(key, format string, args ...any) {
	*l = append(*l, key+": "+fmt.Sprintf(format, args...))
}

// checkRange appends an error if value is less than minimum or greater than maximum.
func (l *errorList) checkRange(key string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		l.add(key, "%d: want %d to %d", value, minimum, maximum)
	}
}

// validate returns one error that lists all keys with invalid values, these values and
// the allowed ones, or nil. Secrets are not shown.
func (s Settings) validate() error {
	var l errorList
	for key, name := range map[string]string{"host": s.Host, "availability_zone": s.AvailabilityZone, "region": s.Region} {
		if !namePattern.MatchString(name) {
			l.add(key, "%q: want 1 to 63 characters of a-z, 0-9, dot, dash and underscore, the first a letter or a digit", name)
		}
	}
	s.validateListen(&l)
	s.validatePlatformPeersAndOperators(&l)
	s.validateLimits(&l)
	if len(l) == 0 {
		return nil
	}
	slices.Sort(l)
	return errors.Errorf("%d invalid settings:\n  %s", len(l), strings.Join(l, "\n  "))
}

// validateListen checks the listen addresses. Two of them may be the same only if the
// port is 0, which selects a free port.
func (s Settings) validateListen(l *errorList) {
	addresses := map[string]string{"listen.callers": s.Listen.Callers, "listen.operators": s.Listen.Operators, "listen.peers": s.Listen.Peers}
	keyByAddress := map[string]string{}
	for _, key := range slices.Sorted(maps.Keys(addresses)) {
		addr, err := netip.ParseAddrPort(addresses[key])
		if err != nil {
			l.add(key, "%q: want IP:PORT", addresses[key])
			continue
		}
		if s.Embedded && !addr.Addr().IsLoopback() {
			l.add(key, "%q: want a loopback address in embedded mode", addresses[key])
		}
		if key == "listen.peers" && addr.Addr().IsUnspecified() {
			l.add(key, "%q: want the IP address at which other hosts reach this host", addresses[key])
		}
		if other, taken := keyByAddress[addresses[key]]; taken && addr.Port() != 0 {
			l.add(key, "%q: already used by %s", addresses[key], other)
		}
		keyByAddress[addresses[key]] = key
	}
}

// validatePlatformPeersAndOperators checks the store, host list, peer and operator settings.
func (s Settings) validatePlatformPeersAndOperators(l *errorList) {
	if !s.Embedded {
		validateURL(l, "store.url", s.Store.URL)
		validateURL(l, "host_list.url", s.HostList.URL)
	}
	if s.Embedded && s.Store.URL != "" {
		l.add("store.url", "want no URL in embedded mode, which starts its own store")
	}
	l.checkRange("store.timeout_ms", s.Store.TimeoutMs, 10, 60_000)
	l.checkRange("host_list.interval_seconds", s.HostList.PollIntervalSeconds, 1, 3600)
	if len(s.Peers.SharedKey) < minSharedKeyBytes {
		l.add("peers.shared_key", "too short: want at least %d bytes", minSharedKeyBytes)
	}
	for i, seed := range s.Peers.SeedAddresses {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			l.add(fmt.Sprintf("peers.seeds[%d]", i), "%q: want IP:PORT", seed)
		}
	}
	if len(s.Operators.Token) < minTokenBytes {
		l.add("operators.token", "too short: want at least %d bytes", minTokenBytes)
	}
}

// validateURL checks that raw has the form http://IP:PORT.
func validateURL(l *errorList, key, raw string) {
	u, err := url.Parse(raw)
	if err != nil || u.Scheme != "http" || u.User != nil {
		l.add(key, "%q: want http://IP:PORT", raw)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		l.add(key, "%q: want IP:PORT as the host of the URL", u.Host)
	}
}

func (s Settings) validateLimits(l *errorList) {
	l.checkRange("limits.body_bytes", s.Limits.MaxBodyBytes, 1024, 64<<20)
	l.checkRange("limits.connections", s.Limits.MaxConnections, 1, 1<<20)
	l.checkRange("limits.runs", s.Limits.MaxRequests, 1, 1<<20)
	l.checkRange("limits.read_timeout_ms", s.Limits.ReadTimeoutMs, 100, 600_000)
	l.checkRange("limits.idle_timeout_ms", s.Limits.IdleTimeoutMs, 100, 3_600_000)
	l.checkRange("drain_seconds", s.DrainSeconds, 1, 600)
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		l.add("log.level", "%q: want debug, info, warn or error", s.Log.Level)
	}
	if !slices.Contains([]string{"json", "text"}, s.Log.Format) {
		l.add("log.format", "%q: want json or text", s.Log.Format)
	}
}
