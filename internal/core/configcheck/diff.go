package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

// Diff returns what differs between two configurations, as Changes. Keys are counted and never
// named.
func Diff(base, next *catalog.Config) []Finding {
	r := &report{}
	if next.Version <= base.Version {
		r.add(Error, "version", "%d is not above %d, the other version's", next.Version, base.Version)
	}
	diffEntries(r, "routes", byName(base.Routes, func(v *catalog.Route) string { return v.Name }), byName(next.Routes, func(v *catalog.Route) string { return v.Name }), routeFields)
	diffEntries(r, "services", base.Services, next.Services, serviceFields)
	diffEntries(r, "tenants", byName(base.Customers, customerName), byName(next.Customers, customerName), customerFields)
	r.changes("limits", limitFields(base.Limits), limitFields(next.Limits))
	diffKeys(r, base, next)
	return r.findings
}

func customerName(c catalog.Customer) string { return c.Name }

func byName[T any](all []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(all))
	for _, v := range all {
		out[name(v)] = v
	}
	return out
}

// field is a field of an entry in the words of the configuration.
type field struct{ name, value string }

func value(name string, v any) field { return field{name, fmt.Sprint(v)} }

func diffEntries[T any](r *report, section string, base, next map[string]T, fields func(T) []field) {
	names := maps.Clone(base)
	maps.Copy(names, next)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		place := section + "[" + name + "]"
		before, was := base[name]
		after, is := next[name]
		switch {
		case !was:
			r.add(Change, place, "is new")
		case !is:
			r.add(Change, place, "is dropped")
		default:
			r.changes(place, fields(before), fields(after))
		}
	}
}

// changes adds a Change for each field that differs.
func (r *report) changes(place string, before, after []field) {
	for i := range before {
		if before[i].value != after[i].value {
			r.add(Change, place+"."+before[i].name, "from %s to %s", orNone(before[i].value), orNone(after[i].value))
		}
	}
}

func orNone(s string) string {
	if s == "" || s == "[]" {
		return "none"
	}
	return s
}

func routeFields(v *catalog.Route) []field {
	kind := []string{"at most once", "idempotent", "streaming"}[v.Kind]
	var split, stages []string
	for _, s := range v.TrafficSplit {
		split = append(split, fmt.Sprintf("%s:%g", s.Service, s.Weight))
	}
	for _, s := range v.Stages {
		stages = append(stages, fmt.Sprintf("%s after %v, %d bytes", s.Service, s.DependsOn, s.ResultBytes))
	}
	return []field{value("host", v.Host), value("prefix", v.Prefix), value("route_type", kind), value("timeout_ms", v.Timeout), value("target_latency_ms", v.TargetLatency),
		value("gap_target_ms", v.TargetEventGap), value("priority", v.Priority), value("split", strings.Join(split, ", ")), value("max_attempts", v.MaxAttempts),
		value("stages", strings.Join(stages, "; ")), value("public", v.Public), value("sticky", v.CacheAffinity), value("resumable", v.Resumable), value("allowed_regions", v.Regions)}
}

func serviceFields(v *catalog.Service) []field {
	stages := catalog.StageLimits{}
	if v.StageLimits != nil {
		stages = *v.StageLimits
	}
	return []field{value("max_conns", v.MaxConnections), value("warmup_s", v.WarmUpTime), value("warmup_per_s", v.WarmUpRate), value("segments", v.StageLimits != nil),
		value("segments.slots", stages.MaxConcurrentCalls), value("segments.batch", stages.MaxBatch), value("segments.call_ms", stages.CallOverhead),
		value("segments.item_ms", stages.TimePerPiece), value("segments.headroom_mb", stages.ResultCapacityBytes/1e6), value("segments.handle_s", stages.ResultTTL)}
}

func customerFields(v catalog.Customer) []field {
	priority := "the route's"
	if v.HasPriority {
		priority = fmt.Sprint(v.Priority)
	}
	return []field{value("priority", priority), value("allowed_regions", v.Regions)}
}

func limitFields(v catalog.Limits) []field {
	return []field{value("max_header_bytes", v.MaxHeaderBytes), value("max_body_bytes", v.MaxBodyBytes), value("header_timeout_ms", v.HeaderTimeout), value("idle_timeout_ms", v.IdleTimeout)}
}

// diffKeys adds a Change for each tenant that is in both versions and has other keys.
func diffKeys(r *report, base, next *catalog.Config) {
	before := byName(base.Customers, customerName)
	for i, c := range next.Customers {
		old, was := before[c.Name]
		if !was {
			continue
		}
		added := count(c.APIKeys, old.APIKeys)
		dropped := count(old.APIKeys, c.APIKeys)
		if added+dropped > 0 {
			r.add(Change, placeOf("tenants", c.Name, i)+".api_keys", "%d new, %d dropped", added, dropped)
		}
	}
}

// count returns the number of keys that others lacks.
func count(keys, others []string) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}
