package configcheck

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/release"
)

// CheckNote returns all findings about a release note that is to be applied to base: what makes it
// invalid, or else what the resulting release has that never matches, and what differs.
func CheckNote(base *release.Release, note release.Note) []Finding {
	r := &report{}
	if note.Base != base.Version {
		r.add(Error, "base", "the note is for version %d, the other version is %d", note.Base, base.Version)
	}
	next, err := release.Apply(base, note, time.Time{})
	var faults release.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			r.add(Error, f.Path, "%s", f.Message)
		}
	}
	if err != nil {
		return r.findings
	}
	r.checkRelease(next)
	for _, c := range release.Diff(base, next) {
		r.add(Change, c.Section+"["+c.Name+"]", "is %s", c.Kind)
	}
	return r.findings
}

// checkRelease finds what no request can reach in a valid release, and limits against each other.
func (r *report) checkRelease(next *release.Release) {
	for _, s := range next.Services {
		place := "services[" + s.Name + "]"
		if !slices.ContainsFunc(next.Pipelines, func(p release.Pipeline) bool {
			return slices.ContainsFunc(p.Stages, func(stage release.Stage) bool { return stage.Service == s.Name })
		}) {
			r.add(NeverMatches, place, "no stage uses it")
		}
		if !slices.ContainsFunc(next.EndpointsOf(s.Name), func(e release.Endpoint) bool {
			return !e.Leaving && !next.ZoneOutOfService(e.AvailabilityZone)
		}) {
			r.add(Contradiction, place, "no endpoint takes work: all are leaving or in zones out of service, or there is none")
		}
	}
	for _, p := range next.Pipelines {
		if !slices.ContainsFunc(next.Customers, func(c release.Customer) bool { return c.Allows(p.Name) }) {
			r.add(NeverMatches, "pipelines["+p.Name+"]", "no customer may call it")
		}
	}
	for _, c := range next.Customers {
		if len(c.Pipelines) == 0 {
			r.add(NeverMatches, "customers["+c.Name+"]", "it may call no pipeline")
		}
	}
}
