package app

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Bounds of accepting a note.
const (
	acceptAttempts   = 4
	acceptRetryPause = 100 * time.Millisecond
	storeRetryAfter  = 2 * time.Second
)

// Preview is what a note would change.
type Preview struct {
	Base    uint64           `json:"base"`
	Version uint64           `json:"version"`
	Changes []release.Change `json:"changes"`
}

// CheckNote returns what the note would change against the release in the
// store. The error is release.Faults or a *verdict.Error.
func (a *App) CheckNote(ctx context.Context, note release.Note) (Preview, error) {
	stored, _, err := a.readRelease(ctx)
	if err != nil {
		return Preview{}, err
	}
	next, err := a.nextRelease(stored, note)
	if err != nil {
		return Preview{}, err
	}
	return Preview{Base: note.Base, Version: next.Version, Changes: release.Diff(&stored.Release, next)}, nil
}

// ApplyNote accepts the note: one compare-and-swap on the release in the
// store. A lost answer is settled by reading back the note's id. The error is
// release.Faults or a *verdict.Error; its verdict says whether the note may
// be in force.
func (a *App) ApplyNote(ctx context.Context, note release.Note) (release.AcceptedNote, error) {
	accepted, err := a.accept(ctx, note)
	outcome := "accepted"
	if err != nil {
		outcome = "refused: " + err.Error()
	}
	a.record(port.AuditRelease, note.Author, note.ID, "apply", accepted.Version, outcome)
	return accepted, err
}

// accept tries the compare-and-swap until its outcome is known. Once a write
// may have taken effect, a later failure is reported as MayHaveRun.
func (a *App) accept(ctx context.Context, note release.Note) (release.AcceptedNote, error) {
	var uncertain bool
	var last error
	for attempt := range acceptAttempts {
		if attempt > 0 {
			port.Sleep(ctx, acceptRetryPause)
		}
		accepted, err := a.acceptOnce(ctx, note)
		if err == nil || !errors.Is(err, port.ErrUnavailable) {
			return accepted, err
		}
		uncertain = uncertain || errors.Is(err, port.ErrUncertain)
		last = err
	}
	v := verdict.NotRun
	if uncertain {
		v = verdict.MayHaveRun
	}
	return release.AcceptedNote{}, verdict.Wrap(last, verdict.CodeStoreUnavailable, v, "the store does not answer").WithRetryAfter(storeRetryAfter)
}

func (a *App) acceptOnce(ctx context.Context, note release.Note) (release.AcceptedNote, error) {
	stored, revision, err := a.readRelease(ctx)
	if err != nil {
		return release.AcceptedNote{}, err
	}
	if earlier, ok := stored.Find(note.ID); ok {
		return earlier, nil
	}
	next, err := a.nextRelease(stored, note)
	if err != nil {
		return release.AcceptedNote{}, err
	}
	updated := stored.Advance(next, note.Reason)
	data, err := updated.Encode()
	if err != nil {
		return release.AcceptedNote{}, err
	}
	if len(data) > port.MaxValueBytes {
		return release.AcceptedNote{}, verdict.New(verdict.CodeTooLarge, verdict.NotRun, fmt.Sprintf("the release has %d bytes, the store holds %d", len(data), port.MaxValueBytes))
	}
	entry, err := a.deps.Control.CompareAndSwap(ctx, release.CurrentKey, revision, data, 0)
	if errors.Is(err, port.ErrConflict) {
		return a.lostRace(entry, note)
	}
	if err != nil {
		return release.AcceptedNote{}, err
	}
	a.take(entry)
	a.control.flush(ctx)
	return updated.History[0], nil
}

// readRelease returns what the store holds now, with its revision.
func (a *App) readRelease(ctx context.Context) (release.StoredRelease, uint64, error) {
	entry, err := a.deps.Control.Get(ctx, release.CurrentKey)
	if errors.Is(err, port.ErrNotFound) {
		return release.StoredRelease{Release: *release.Empty()}, 0, nil
	}
	if err != nil {
		return release.StoredRelease{}, 0, err
	}
	stored, err := release.DecodeStored(entry.Value)
	return stored, entry.Revision, err
}

// nextRelease checks the note against the base and applies it.
func (a *App) nextRelease(stored release.StoredRelease, note release.Note) (*release.Release, error) {
	if note.Base != stored.Release.Version {
		return nil, otherNote(stored, note.Base)
	}
	return release.Apply(&stored.Release, note, a.deps.Clock.Now().UTC())
}

// lostRace tells which note was accepted instead. The swap's own earlier try
// may have been that one.
func (a *App) lostRace(entry port.Entry, note release.Note) (release.AcceptedNote, error) {
	stored, err := release.DecodeStored(entry.Value)
	if err != nil {
		return release.AcceptedNote{}, err
	}
	if accepted, ok := stored.Find(note.ID); ok {
		return accepted, nil
	}
	return release.AcceptedNote{}, otherNote(stored, note.Base)
}

func otherNote(stored release.StoredRelease, base uint64) error {
	r := stored.Release
	if base > r.Version {
		return verdict.New(verdict.CodeConflict, verdict.NotRun, fmt.Sprintf("base %d does not exist: version %d is in force", base, r.Version))
	}
	return verdict.New(verdict.CodeConflict, verdict.NotRun,
		fmt.Sprintf("base %d is not in force any more: note %q by %s made version %d at %s", base, r.NoteID, r.Author, r.Version, r.AcceptedAt.Format(time.RFC3339)))
}

// SetZone takes an availability zone out of service or back in, by a note of
// its own against the release in the store.
func (a *App) SetZone(ctx context.Context, author, zone string, out bool) (release.AcceptedNote, error) {
	stored, _, err := a.readRelease(ctx)
	if err != nil {
		return release.AcceptedNote{}, verdict.Wrap(err, verdict.CodeStoreUnavailable, verdict.NotRun, "the store does not answer").WithRetryAfter(storeRetryAfter)
	}
	z, ok := stored.Release.Zone(zone)
	if !ok {
		return release.AcceptedNote{}, verdict.New(verdict.CodeNotFound, verdict.NotRun, "no such availability zone")
	}
	if z.OutOfService == out {
		return release.AcceptedNote{}, verdict.New(verdict.CodeConflict, verdict.NotRun, "the availability zone is in that state already")
	}
	z.OutOfService = out
	note := release.Note{ID: "zone-" + strings.ToLower(a.deps.NewID()), Author: author, Base: stored.Release.Version, Reason: zoneReason(zone, out)}
	note.Changed.Zones = []release.Zone{z}
	return a.ApplyNote(ctx, note)
}

func zoneReason(zone string, out bool) string {
	if out {
		return "take availability zone " + zone + " out of service"
	}
	return "bring availability zone " + zone + " back in service"
}

// record adds an audit record of this host.
func (a *App) record(kind port.AuditKind, actor, subject, action string, version uint64, outcome string) {
	a.deps.Audit.Record(port.AuditRecord{
		ID: a.deps.NewID(), Time: a.deps.Clock.Now().UTC(), Host: a.cfg.Host, Kind: kind,
		Actor: actor, Subject: subject, Action: action, Version: version, Outcome: outcome,
	})
}
