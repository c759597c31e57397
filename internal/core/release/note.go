package release

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/strictyaml"
)

// MaxNoteBytes is the size of the largest note that Parse accepts.
const MaxNoteBytes = 512 << 10

// Note is a set of changes to a base release.
type Note struct {
	// ID identifies the note; no other note may have it. Apply compares it only with
	// the note that made the base release.
	ID string `json:"id" yaml:"id"`
	// Author is required.
	Author string `json:"author" yaml:"author"`
	// Reason is free text, stored in the history.
	Reason string `json:"reason,omitempty" yaml:"reason,omitempty"`
	// Base is the release version that the note applies to.
	Base uint64 `json:"base" yaml:"base"`
	// Added holds elements whose names are new.
	Added Elements `json:"added,omitempty" yaml:"added,omitempty"`
	// Changed holds the complete new values of existing elements.
	Changed Elements `json:"changed,omitempty" yaml:"changed,omitempty"`
	// Withdrawn holds the names of elements to remove.
	Withdrawn ElementNames `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
}

// Elements are the sections of a note that hold complete elements.
type Elements struct {
	Zones     []Zone     `json:"zones,omitempty" yaml:"zones,omitempty"`
	Models    []Model    `json:"models,omitempty" yaml:"models,omitempty"`
	Services  []Service  `json:"services,omitempty" yaml:"services,omitempty"`
	Endpoints []Endpoint `json:"endpoints,omitempty" yaml:"endpoints,omitempty"`
	Pipelines []Pipeline `json:"pipelines,omitempty" yaml:"pipelines,omitempty"`
	Customers []Customer `json:"customers,omitempty" yaml:"customers,omitempty"`
	// Settings replaces the settings of the release; it is allowed only in
	// Changed.
	Settings *Settings `json:"settings,omitempty" yaml:"settings,omitempty"`
}

// ElementNames are the sections of a note that hold only names.
type ElementNames struct {
	Zones     []string `json:"zones,omitempty" yaml:"zones,omitempty"`
	Models    []string `json:"models,omitempty" yaml:"models,omitempty"`
	Services  []string `json:"services,omitempty" yaml:"services,omitempty"`
	Endpoints []string `json:"endpoints,omitempty" yaml:"endpoints,omitempty"`
	Pipelines []string `json:"pipelines,omitempty" yaml:"pipelines,omitempty"`
	Customers []string `json:"customers,omitempty" yaml:"customers,omitempty"`
}

// Fault is one error in a note.
type Fault struct {
	// Path is the location of the error: in the note, for example
	// "added.pipelines[2]", or in the resulting release, for example
	// "pipelines[guidebook].stages[0].service"; empty for the note as a whole.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Faults are all errors in a note. Non-empty Faults are an error.
type Faults []Fault

// Error lists the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Path + ": " + fault.Message
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(path, format string, args ...any) {
	*f = append(*f, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Parse reads a note from YAML, which includes JSON. It returns an error for an
// empty note, for unknown keys, for wrong types and for a note larger than
// MaxNoteBytes. The error names the line if the line is known.
func Parse(data []byte) (Note, error) {
	var n Note
	if len(data) > MaxNoteBytes {
		return n, errors.Errorf("note has %d bytes, at most %d are allowed", len(data), MaxNoteBytes)
	}
	if err := strictyaml.Decode(data, &n); err != nil {
		return Note{}, errors.Wrap(err, "note is not valid")
	}
	return n, nil
}

// Apply returns the release that results from applying note to base, which it
// doesn't modify. It returns Faults if the note is invalid. Apply doesn't
// compare base.Version with note.Base: the caller does so before, to name the
// conflicting note in its error.
func Apply(base *Release, note Note, acceptedAt time.Time) (*Release, error) {
	var faults Faults
	next := &Release{
		Version:    base.Version + 1,
		NoteID:     note.ID,
		Author:     note.Author,
		AcceptedAt: acceptedAt,
		Settings:   base.Settings,
	}
	checkNote(&faults, base, note)
	a, c, w := note.Added, note.Changed, note.Withdrawn
	next.Zones = applySection(&faults, "zones", base.Zones, a.Zones, c.Zones, w.Zones, zoneName)
	next.Models = applySection(&faults, "models", base.Models, a.Models, c.Models, w.Models, modelName)
	next.Services = applySection(&faults, "services", base.Services, a.Services, c.Services, w.Services, serviceName)
	next.Endpoints = applySection(&faults, "endpoints", base.Endpoints, a.Endpoints, c.Endpoints, w.Endpoints, endpointName)
	next.Pipelines = applySection(&faults, "pipelines", base.Pipelines, a.Pipelines, c.Pipelines, w.Pipelines, pipelineName)
	next.Customers = applySection(&faults, "customers", base.Customers, a.Customers, c.Customers, w.Customers, customerName)
	if c.Settings != nil {
		next.Settings = *c.Settings
		checkClaimWindowGrowth(&faults, base, next.Settings)
	}
	checkRelease(&faults, next)
	if len(faults) > 0 {
		return nil, faults
	}
	return next, nil
}

func zoneName(z Zone) string         { return z.Name }
func modelName(m Model) string       { return m.Name }
func serviceName(s Service) string   { return s.Name }
func endpointName(e Endpoint) string { return e.ID }
func pipelineName(p Pipeline) string { return p.Name }
func customerName(c Customer) string { return c.Name }

// checkNote adds a fault for each error in the parts of a note that are not
// elements.
func checkNote(faults *Faults, base *Release, note Note) {
	if !validName(note.ID) {
		faults.add("id", "%q: want %s", note.ID, nameRule)
	}
	if note.Author == "" || len(note.Author) > maxAuthorBytes {
		faults.add("author", "want 1 to %d bytes", maxAuthorBytes)
	}
	if note.ID != "" && note.ID == base.NoteID {
		faults.add("id", "%q was accepted already as version %d", note.ID, base.Version)
	}
	if note.Added.Settings != nil {
		faults.add("added.settings", "settings always exist: put them under changed")
	}
	if changesNothing(note) {
		faults.add("", "the note changes nothing")
	}
}

// changesNothing reports whether the note names no elements and no settings.
func changesNothing(n Note) bool {
	elementCount := func(e Elements) int {
		return len(e.Zones) + len(e.Models) + len(e.Services) + len(e.Endpoints) + len(e.Pipelines) + len(e.Customers)
	}
	w := n.Withdrawn
	nameCount := len(w.Zones) + len(w.Models) + len(w.Services) + len(w.Endpoints) + len(w.Pipelines) + len(w.Customers)
	return elementCount(n.Added)+elementCount(n.Changed)+nameCount == 0 && n.Changed.Settings == nil
}

// applySection returns the elements of one section after the note, and adds a
// fault for each name that the note has twice in the section or that doesn't or
// does already exist. The elements of base keep their order; added elements follow
// in the order of the note.
func applySection[T any](faults *Faults, section string, base, added, changed []T, withdrawn []string, name func(T) string) []T {
	out := slices.Clone(base)
	namedAt := map[string]string{} // paths in the note, by element name
	index := func(n string) int { return slices.IndexFunc(out, func(v T) bool { return name(v) == n }) }
	// markNamed records that the note names n at path. It adds a fault and returns
	// false if the note has named n before.
	markNamed := func(path, n string) bool {
		if earlier, ok := namedAt[n]; ok {
			faults.add(path, "%q is named already at %s", n, earlier)
			return false
		}
		namedAt[n] = path
		return true
	}
	for i, n := range withdrawn {
		path := fmt.Sprintf("withdrawn.%s[%d]", section, i)
		if !markNamed(path, n) {
			continue
		}
		at := index(n)
		if at < 0 {
			faults.add(path, "%q does not exist", n)
			continue
		}
		out = slices.Delete(out, at, at+1)
	}
	for i, v := range changed {
		path := fmt.Sprintf("changed.%s[%d]", section, i)
		if !markNamed(path, name(v)) {
			continue
		}
		at := index(name(v))
		if at < 0 {
			faults.add(path, "%q does not exist: put it under added", name(v))
			continue
		}
		out[at] = v
	}
	for i, v := range added {
		path := fmt.Sprintf("added.%s[%d]", section, i)
		if !markNamed(path, name(v)) {
			continue
		}
		if index(name(v)) >= 0 {
			faults.add(path, "%q exists already: put it under changed", name(v))
			continue
		}
		out = append(out, v)
	}
	return out
}
