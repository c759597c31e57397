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

// Shortest secrets, in bytes.
const (
	minSharedKeyBytes = 8
	minTokenBytes     = 8
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// faults collects what is wrong, one line a key.
type faultList []string

func (f *faultList) add(key, format string, args ...any) {
	*f = append(*f, key+": "+fmt.Sprintf(format, args...))
}

func (f *faultList) checkRange(key string, got, low, high int) {
	if got < low || got > high {
		f.add(key, "%d: want %d to %d", got, low, high)
	}
}

// check returns one error that lists all faults, each with its key and what
// is allowed.
func (s Settings) validate() error {
	var f faultList
	for key, name := range map[string]string{"host": s.Host, "availability_zone": s.AvailabilityZone, "region": s.Region} {
		if !namePattern.MatchString(name) {
			f.add(key, "%q: want 1 to 63 of a-z, 0-9, dot, dash and underscore", name)
		}
	}
	s.validateListen(&f)
	s.validatePlatformAndAccess(&f)
	s.validateLimits(&f)
	if len(f) == 0 {
		return nil
	}
	slices.Sort(f)
	return errors.Errorf("%d faults in the settings:\n  %s", len(f), strings.Join(f, "\n  "))
}

func (s Settings) validateListen(f *faultList) {
	listens := map[string]string{"listen.callers": s.Listen.Callers, "listen.operators": s.Listen.Operators, "listen.peers": s.Listen.Peers}
	used := map[string]string{}
	for _, key := range slices.Sorted(maps.Keys(listens)) {
		addr, err := netip.ParseAddrPort(listens[key])
		if err != nil {
			f.add(key, "%q: want IP:PORT", listens[key])
			continue
		}
		if s.Embedded && !addr.Addr().IsLoopback() {
			f.add(key, "%q: the embedded mode listens on loopback addresses only", listens[key])
		}
		if key == "listen.peers" && addr.Addr().IsUnspecified() {
			f.add(key, "%q: want the IP number by which other hosts reach this one", listens[key])
		}
		if other, taken := used[listens[key]]; taken && addr.Port() != 0 {
			f.add(key, "%q is the address of %s too", listens[key], other)
		}
		used[listens[key]] = key
	}
}

func (s Settings) validatePlatformAndAccess(f *faultList) {
	if !s.Embedded {
		validateURL(f, "store.url", s.Store.URL)
		validateURL(f, "host_list.url", s.HostList.URL)
	}
	if s.Embedded && s.Store.URL != "" {
		f.add("store.url", "the embedded mode brings its own store")
	}
	f.checkRange("store.timeout_ms", s.Store.TimeoutMs, 10, 60_000)
	f.checkRange("host_list.interval_seconds", s.HostList.PollIntervalSeconds, 1, 3600)
	if len(s.Peers.SharedKey) < minSharedKeyBytes {
		f.add("peers.shared_key", "want at least %d bytes", minSharedKeyBytes)
	}
	for i, seed := range s.Peers.SeedAddresses {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			f.add(fmt.Sprintf("peers.seeds[%d]", i), "%q: want IP:PORT", seed)
		}
	}
	if len(s.Operators.Token) < minTokenBytes {
		f.add("operators.token", "want at least %d bytes", minTokenBytes)
	}
}

func validateURL(f *faultList, key, raw string) {
	u, err := url.Parse(raw)
	if err != nil || u.Scheme != "http" || u.User != nil {
		f.add(key, "%q: want http://IP:PORT", raw)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		f.add(key, "%q: want an IP number and a port", u.Host)
	}
}

func (s Settings) validateLimits(f *faultList) {
	f.checkRange("limits.body_bytes", s.Limits.MaxBodyBytes, 1024, 64<<20)
	f.checkRange("limits.connections", s.Limits.MaxConnections, 1, 1<<20)
	f.checkRange("limits.runs", s.Limits.MaxRequests, 1, 1<<20)
	f.checkRange("limits.read_timeout_ms", s.Limits.ReadTimeoutMs, 100, 600_000)
	f.checkRange("limits.idle_timeout_ms", s.Limits.IdleTimeoutMs, 100, 3_600_000)
	f.checkRange("drain_seconds", s.DrainSeconds, 1, 600)
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		f.add("log.level", "%q: want debug, info, warn or error", s.Log.Level)
	}
	if !slices.Contains([]string{"json", "text"}, s.Log.Format) {
		f.add("log.format", "%q: want json or text", s.Log.Format)
	}
}
