// Package configcheck reads a configuration before it is sent: it finds errors, entries
// that can never match, limits that contradict each other, and what differs from another
// version. It changes nothing and reaches no network.
package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

// Kind is the kind of a finding.
type Kind string

// The kinds of findings.
const (
	// Error is a value that is not valid, or a name that leads nowhere.
	Error Kind = "error"
	// NeverMatches is an entry without effect.
	NeverMatches Kind = "never"
	// Contradiction is a limit that another one makes useless.
	Contradiction Kind = "contradiction"
	// Change is a difference from the other version.
	Change Kind = "change"
)

const (
	// attemptTargets is the time after which an attempt is given up for another one, in
	// multiples of the target latency.
	attemptTargets = 2.5
	// leastUrgentPriority is the least urgent priority; 0 is the most urgent.
	leastUrgentPriority = 9
)

// Finding is one result of a check.
type Finding struct {
	Kind Kind `json:"kind"`
	// Place is the entry, such as "routes[read].max_attempts"; empty for the whole.
	Place string `json:"place"`
	Text  string `json:"text"`
}

// HasErrors reports whether a finding is an Error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Kind == Error })
}

// report collects findings.
type report struct {
	config   *catalog.Config
	findings []Finding
}

func (r *report) add(kind Kind, place, format string, args ...any) {
	r.findings = append(r.findings, Finding{kind, place, fmt.Sprintf(format, args...)})
}

// Check returns all findings about a configuration but Changes, in the order of its entries.
func Check(c *catalog.Config) []Finding {
	r := &report{config: c}
	if len(c.Routes) == 0 {
		r.add(Error, "routes", "there is none")
	}
	names, matches := make(map[string]bool), make(map[string]string)
	for i, route := range c.Routes {
		place := placeOf("routes", route.Name, i)
		if route.Name == "" || names[route.Name] {
			r.add(Error, place, "the name is empty or another route's")
		}
		names[route.Name] = true
		r.checkMatch(place, route, matches)
		r.checkServices(place, route)
		r.checkStages(place, route)
		r.checkTimes(place, route)
	}
	r.checkCustomers()
	r.checkServiceLimits()
	for _, limit := range []struct {
		name  string
		value int64
	}{{"max_header_bytes", int64(c.Limits.MaxHeaderBytes)}, {"max_body_bytes", int64(c.Limits.MaxBodyBytes)}, {"header_timeout_ms", int64(c.Limits.HeaderTimeout)}, {"idle_timeout_ms", int64(c.Limits.IdleTimeout)}} {
		if limit.value < 0 {
			r.add(Error, "limits."+limit.name, "it is below 0")
		}
	}
	return r.findings
}

// placeOf returns the place of an entry, by its position if it has no name.
func placeOf(section, name string, i int) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", section, i)
	}
	return section + "[" + name + "]"
}

// checkMatch checks that requests can match the route. matches holds the routes before it by host
// and prefix.
func (r *report) checkMatch(place string, route *catalog.Route, matches map[string]string) {
	if route.Host == "" {
		r.add(Error, place+".host", "it is empty")
	}
	if !strings.HasPrefix(route.Prefix, "/") {
		r.add(Error, place+".prefix", "%q does not begin with a slash", route.Prefix)
	}
	if catalog.CanonicalHost(route.Host) != strings.ToLower(route.Host) {
		r.add(NeverMatches, place+".host", "%q has a port, which requests are matched without", route.Host)
	}
	key := strings.ToLower(route.Host) + "\x00" + route.Prefix
	if first, hidden := matches[key]; hidden {
		r.add(NeverMatches, place, "%s has the same host and prefix and comes first", first)
		return
	}
	matches[key] = place
}

func (r *report) checkServices(place string, route *catalog.Route) {
	sum := 0.0
	for _, s := range route.TrafficSplit {
		if r.config.Services[s.Service] == nil {
			r.add(Error, place+".service", "service %q is not there", s.Service)
		}
		switch {
		case s.Weight < 0:
			r.add(Error, place+".split["+s.Service+"]", "the weight is below 0")
		case s.Weight == 0:
			r.add(NeverMatches, place+".split["+s.Service+"]", "the weight is 0: the service gets none of the requests")
		}
		sum += max(0, s.Weight)
	}
	if sum <= 0 {
		r.add(Error, place+".split", "no service has a weight above 0")
	}
}

func (r *report) checkStages(place string, route *catalog.Route) {
	for i, s := range route.Stages {
		stage := fmt.Sprintf("%s.stages[%d]", place, i)
		service := r.config.Services[s.Service]
		switch {
		case service == nil:
			r.add(Error, stage+".service", "service %q is not there", s.Service)
		case service.StageLimits == nil:
			r.add(Error, stage+".service", "service %q runs no stages", s.Service)
		}
		for _, after := range s.DependsOn {
			if after < 0 || after >= len(route.Stages) || after == i {
				r.add(Error, stage+".after", "there is no other stage %d", after)
			}
		}
	}
	if stagesTime(r.config, route) < 0 {
		r.add(Error, place+".stages", "stages wait for each other in a circle")
	}
}

// stagesTime returns the least time that the stages of a route take, one piece each; negative if
// they wait for each other.
func stagesTime(c *catalog.Config, route *catalog.Route) time.Duration {
	done := make(map[int]time.Duration)
	var finish func(i, depth int) time.Duration
	finish = func(i, depth int) time.Duration {
		if t, ok := done[i]; ok {
			return t
		}
		if depth > len(route.Stages) {
			return -1
		}
		start := time.Duration(0)
		for _, after := range route.Stages[i].DependsOn {
			if after < 0 || after >= len(route.Stages) || after == i {
				continue
			}
			t := finish(after, depth+1)
			if t < 0 {
				return t
			}
			start = max(start, t)
		}
		if s := c.Services[route.Stages[i].Service]; s != nil && s.StageLimits != nil {
			start += s.StageLimits.CallOverhead + s.StageLimits.TimePerPiece
		}
		done[i] = start
		return start
	}
	longest := time.Duration(0)
	for i := range route.Stages {
		t := finish(i, 0)
		if t < 0 {
			return t
		}
		longest = max(longest, t)
	}
	return longest
}

func (r *report) checkTimes(place string, route *catalog.Route) {
	if route.Timeout < 0 || route.TargetLatency < 0 || route.TargetEventGap < 0 {
		r.add(Error, place, "a time is below 0")
	}
	if route.Priority < 0 || route.Priority > leastUrgentPriority {
		r.add(Error, place+".priority", "%d is not 0 to %d", route.Priority, leastUrgentPriority)
	}
	if route.Timeout > 0 && route.Timeout < route.TargetLatency {
		r.add(Contradiction, place+".timeout_ms", "requests end after %v, before the target of %v", route.Timeout, route.TargetLatency)
	}
	if needed := stagesTime(r.config, route); route.Timeout > 0 && needed >= route.Timeout {
		r.add(Contradiction, place+".timeout_ms", "the stages alone take %v of %v", needed, route.Timeout)
	}
	again := time.Duration(attemptTargets * float64(route.TargetLatency))
	switch {
	case route.MaxAttempts > 1 && !route.Repeatable():
		r.add(Contradiction, place+".max_attempts", "%d attempts are allowed for requests that may run once only", route.MaxAttempts)
	case route.MaxAttempts > 1 && route.Kind == catalog.Idempotent && route.Timeout > 0 && again >= route.Timeout:
		r.add(Contradiction, place+".max_attempts", "a slow attempt is replaced after %v, when the timeout of %v is over", again, route.Timeout)
	}
	if route.Resumable && route.Kind != catalog.Stream {
		r.add(NeverMatches, place+".resumable", "only streams are resumed")
	}
}

func (r *report) checkCustomers() {
	names, owners := make(map[string]bool), make(map[string]string)
	for i, c := range r.config.Customers {
		place := placeOf("tenants", c.Name, i)
		if c.Name == "" || names[c.Name] {
			r.add(Error, place, "the name is empty or another tenant's")
		}
		names[c.Name] = true
		if len(c.APIKeys) == 0 {
			r.add(NeverMatches, place+".api_keys", "there is none: no request is the tenant's")
		}
		for n, key := range c.APIKeys {
			keyPlace := fmt.Sprintf("%s.api_keys[%d]", place, n)
			if key == "" {
				r.add(Error, keyPlace, "it is empty")
			}
			if owner, taken := owners[key]; taken {
				r.add(Error, keyPlace, "%s has the same key", owner)
			}
			owners[key] = place
		}
		for j, route := range r.config.Routes {
			if len(c.Regions) > 0 && len(route.Regions) > 0 && !slices.ContainsFunc(c.Regions, func(region string) bool { return slices.Contains(route.Regions, region) }) {
				r.add(Contradiction, place+".allowed_regions", "none is allowed by %s too: no endpoint may run the tenant's requests there", placeOf("routes", route.Name, j))
			}
		}
	}
}

func (r *report) checkServiceLimits() {
	used := make(map[string]bool)
	for _, route := range r.config.Routes {
		for _, s := range route.TrafficSplit {
			used[s.Service] = true
		}
		for _, s := range route.Stages {
			used[s.Service] = true
		}
	}
	for i, name := range slices.Sorted(maps.Keys(r.config.Services)) {
		s, place := r.config.Services[name], placeOf("services", name, i)
		if name == "" {
			r.add(Error, place, "the name is empty")
		}
		if !used[name] {
			r.add(NeverMatches, place, "no route and no stage uses it")
		}
		if s.MaxConnections < 0 || s.WarmUpTime < 0 || s.WarmUpRate < 0 {
			r.add(Error, place, "a limit is below 0")
		}
		if l := s.StageLimits; l != nil && l.ResultTTL > 0 && l.CallOverhead+l.TimePerPiece >= l.ResultTTL {
			r.add(Contradiction, place+".segments.handle_s", "a result is kept for %v, a call takes %v", l.ResultTTL, l.CallOverhead+l.TimePerPiece)
		}
	}
}

// Sort sorts findings by kind, errors first, and keeps their order otherwise.
func Sort(findings []Finding) {
	order := []Kind{Error, NeverMatches, Contradiction, Change}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Compare(slices.Index(order, a.Kind), slices.Index(order, b.Kind))
	})
}
