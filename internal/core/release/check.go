package release

import (
	"fmt"
	"net/netip"
	"net/url"
	"path"
	"regexp"
	"strings"
)

// Limits on the values in a release. maxStages applies to one pipeline, maxPrice is
// in the unit of Price, maxBudgetPercent applies to retries and to hedges.
const (
	maxAuthorBytes          = 128
	maxStages               = 8
	maxTimeoutMs            = 600_000
	maxSlots                = 4096
	maxWarmAfter            = 100_000
	maxTokens               = 1 << 20
	maxPrice                = 1_000_000_000_000
	maxShare                = 1_000_000
	maxQueueLimit           = 1 << 20
	maxClaimWindowSeconds   = 7 * 24 * 3600
	minClaimWindowSeconds   = 60
	maxBudgetPercent        = 50
	maxWeightLoadsPerMinute = 100_000
)

const nameRule = "1 to 63 of a-z, 0-9, dot, dash and underscore, starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func validName(s string) bool { return namePattern.MatchString(s) }

// checkRelease adds a fault for each invalid value in the release.
func checkRelease(faults *Faults, r *Release) {
	checkNames(faults, "zones", r.Zones, zoneName)
	checkNames(faults, "models", r.Models, modelName)
	checkNames(faults, "services", r.Services, serviceName)
	checkNames(faults, "endpoints", r.Endpoints, endpointName)
	checkNames(faults, "pipelines", r.Pipelines, pipelineName)
	checkNames(faults, "customers", r.Customers, customerName)
	for _, z := range r.Zones {
		if !validName(z.Region) {
			faults.add(elementPath("zones", z.Name)+".region", "%q: want %s", z.Region, nameRule)
		}
	}
	for _, m := range r.Models {
		if m.Version == "" {
			faults.add(elementPath("models", m.Name)+".version", "want a version")
		}
	}
	for _, s := range r.Services {
		checkService(faults, r, s)
	}
	for _, e := range r.Endpoints {
		checkEndpoint(faults, r, e)
	}
	for _, p := range r.Pipelines {
		checkPipeline(faults, r, p)
	}
	for _, c := range r.Customers {
		checkCustomer(faults, r, c)
	}
	checkSettings(faults, r.Settings)
}

// elementPath returns the path of a section's element in a Fault.
func elementPath(section, name string) string { return section + "[" + name + "]" }

// checkNames adds a fault for each element of a section whose name is invalid.
func checkNames[T any](faults *Faults, section string, all []T, name func(T) string) {
	for i, v := range all {
		if !validName(name(v)) {
			faults.add(fmt.Sprintf("%s[%d]", section, i), "name %q: want %s", name(v), nameRule)
		}
	}
}

func checkService(faults *Faults, r *Release, s Service) {
	basePath := elementPath("services", s.Name)
	switch s.Kind {
	case KindEngine:
		if _, ok := find(r.Models, func(m Model) bool { return m.Name == s.Model }); !ok {
			faults.add(basePath+".model", "model %q does not exist; an engine service needs one", s.Model)
		}
	case KindPool, KindPlain:
		if s.Model != "" {
			faults.add(basePath+".model", "only an engine service has a model")
		}
	default:
		faults.add(basePath+".kind", "%q: want engine, pool or plain", s.Kind)
	}
}

func checkEndpoint(faults *Faults, r *Release, e Endpoint) {
	basePath := elementPath("endpoints", e.ID)
	if _, ok := r.Service(e.Service); !ok {
		faults.add(basePath+".service", "service %q does not exist", e.Service)
	}
	if _, ok := r.Zone(e.AvailabilityZone); !ok {
		faults.add(basePath+".availability_zone", "zone %q does not exist", e.AvailabilityZone)
	}
	if msg := checkURL(e.URL); msg != "" {
		faults.add(basePath+".url", "%s", msg)
	}
	if e.Role != "" && !validName(e.Role) {
		faults.add(basePath+".role", "%q: want %s", e.Role, nameRule)
	}
	checkRange(faults, basePath+".slots", int64(e.Slots), 1, maxSlots)
	checkRange(faults, basePath+".cold_limit", int64(e.ColdLimit), 1, int64(max(1, e.Slots)))
	checkRange(faults, basePath+".warm_after", int64(e.WarmAfter), 1, maxWarmAfter)
}

// checkURL returns what is wrong with an endpoint's base URL, or an empty
// string if it is valid.
func checkURL(raw string) string {
	u, err := url.Parse(raw)
	if err != nil || u.Scheme != "http" || u.User != nil || u.RawQuery != "" || u.Fragment != "" || strings.Trim(u.Path, "/") != "" {
		return fmt.Sprintf("%q: want http://IP:PORT", raw)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return fmt.Sprintf("%q: want an IP number and a port", u.Host)
	}
	return ""
}

func checkPipeline(faults *Faults, r *Release, p Pipeline) {
	basePath := elementPath("pipelines", p.Name)
	checkRange(faults, basePath+".deadline_ms", int64(p.TimeoutMs), 1, maxTimeoutMs)
	checkRange(faults, basePath+".stages", int64(len(p.Stages)), 1, maxStages)
	seen := map[string]bool{}
	atMostOnceStages := 0
	for i, s := range p.Stages {
		stagePath := fmt.Sprintf("%s.stages[%d]", basePath, i)
		if seen[s.Name] {
			faults.add(stagePath+".name", "%q stands twice", s.Name)
		}
		seen[s.Name] = true
		if s.AtMostOnce {
			atMostOnceStages++
		}
		checkStage(faults, r, stagePath, s)
	}
	if atMostOnceStages > 1 {
		faults.add(basePath+".stages", "%d stages may not be repeated, at most one is allowed", atMostOnceStages)
	}
}

func checkStage(faults *Faults, r *Release, stagePath string, s Stage) {
	if !validName(s.Name) {
		faults.add(stagePath+".name", "%q: want %s", s.Name, nameRule)
	}
	svc, ok := r.Service(s.Service)
	if !ok {
		faults.add(stagePath+".service", "service %q does not exist", s.Service)
	}
	if !strings.HasPrefix(s.Path, "/") || path.Clean(s.Path) != s.Path || strings.ContainsAny(s.Path, "?#% \t\r\n\\") {
		faults.add(stagePath+".path", "%q: want a clean path that starts with a slash", s.Path)
	}
	if ok && svc.Kind == KindEngine {
		checkRange(faults, stagePath+".max_tokens", int64(s.MaxTokens), 1, maxTokens)
		if s.AtMostOnce {
			faults.add(stagePath+".once", "a stage on an engine can always be repeated")
		}
	}
	for _, p := range []int64{s.Price.PerCall, s.Price.PerPromptToken, s.Price.PerCachedToken, s.Price.PerCompletionToken} {
		checkRange(faults, stagePath+".price", p, 0, maxPrice)
	}
}

func checkCustomer(faults *Faults, r *Release, c Customer) {
	basePath := elementPath("customers", c.Name)
	checkRange(faults, basePath+".share", int64(c.Share), 1, maxShare)
	for i, name := range c.Pipelines {
		if _, ok := r.Pipeline(name); !ok {
			faults.add(fmt.Sprintf("%s.pipelines[%d]", basePath, i), "pipeline %q does not exist", name)
		}
	}
}

func checkSettings(faults *Faults, s Settings) {
	checkRange(faults, "settings.retry_percent", int64(s.RetryPercent), 0, maxBudgetPercent)
	checkRange(faults, "settings.hedge_percent", int64(s.HedgePercent), 0, maxBudgetPercent)
	checkRange(faults, "settings.queue_limit", int64(s.QueueLimit), 1, maxQueueLimit)
	checkRange(faults, "settings.weight_loads_per_minute", int64(s.WeightLoadsPerMinute), 0, maxWeightLoadsPerMinute)
	checkRange(faults, "settings.claim_window_seconds", int64(s.ClaimWindowSeconds), minClaimWindowSeconds, maxClaimWindowSeconds)
}

// maxClaimWindowGrowth is the factor by which one note may lengthen the claim
// window: claims written under the old window are kept only as long as that
// window requires.
const maxClaimWindowGrowth = 4

// checkClaimWindowGrowth adds a fault if the claim window grows by more than
// maxClaimWindowGrowth. The first note may set any window, since no key has been
// claimed before it.
func checkClaimWindowGrowth(faults *Faults, base *Release, next Settings) {
	limit := maxClaimWindowGrowth * base.Settings.ClaimWindowSeconds
	if base.Version > 0 && next.ClaimWindowSeconds > limit {
		faults.add("changed.settings.claim_window_seconds", "%d: one note may raise it to %d at the most; raise it in steps, each after the window before has passed", next.ClaimWindowSeconds, limit)
	}
}

// checkRange adds a fault if got is not between low and high, both included.
func checkRange(faults *Faults, fieldPath string, got, low, high int64) {
	if got < low || got > high {
		faults.add(fieldPath, "%d: want %d to %d", got, low, high)
	}
}
