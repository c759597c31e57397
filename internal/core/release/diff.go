package release

import "reflect"

// ChangeKind says what happens to an element.
type ChangeKind string

// The kinds of changes.
const (
	Added     ChangeKind = "added"
	Changed   ChangeKind = "changed"
	Withdrawn ChangeKind = "withdrawn"
)

// Change is one element that differs between two releases.
type Change struct {
	// Section is the name of a note's section, such as "zones".
	Section string `json:"section"`
	// Name is the name or ID of the element; "settings" for the settings.
	Name string     `json:"name"`
	Kind ChangeKind `json:"kind"`
}

// Diff returns the changes from base to next, section by section: added and
// changed elements in the order of next, then withdrawn ones in that of base.
func Diff(base, next *Release) []Change {
	var out []Change
	out = diffSection(out, "zones", base.Zones, next.Zones, zoneName)
	out = diffSection(out, "models", base.Models, next.Models, modelName)
	out = diffSection(out, "services", base.Services, next.Services, serviceName)
	out = diffSection(out, "endpoints", base.Endpoints, next.Endpoints, endpointName)
	out = diffSection(out, "pipelines", base.Pipelines, next.Pipelines, pipelineName)
	out = diffSection(out, "customers", base.Customers, next.Customers, customerName)
	if base.Settings != next.Settings {
		out = append(out, Change{Section: "settings", Name: "settings", Kind: Changed})
	}
	return out
}

func diffSection[T any](out []Change, section string, base, next []T, name func(T) string) []Change {
	baseByName := map[string]T{}
	for _, v := range base {
		baseByName[name(v)] = v
	}
	for _, v := range next {
		before, ok := baseByName[name(v)]
		switch {
		case !ok:
			out = append(out, Change{section, name(v), Added})
		case !reflect.DeepEqual(before, v):
			out = append(out, Change{section, name(v), Changed})
		}
		delete(baseByName, name(v))
	}
	for _, v := range base {
		if _, gone := baseByName[name(v)]; gone {
			out = append(out, Change{section, name(v), Withdrawn})
		}
	}
	return out
}

// Empty returns the release before the first note: version 0 with the default
// settings.
func Empty() *Release { return &Release{Settings: DefaultSettings} }

// Newer reports whether r replaces other: it has a higher version, or other is
// nil.
func (r *Release) Newer(other *Release) bool { return other == nil || r.Version > other.Version }
