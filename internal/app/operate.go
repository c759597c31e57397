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

const (
	// maxAcceptAttempts bounds the attempts to accept a note while the store is
	// unavailable, acceptRetryDelay apart.
	maxAcceptAttempts = 4
	acceptRetryDelay  = 100 * time.Millisecond
	// storeRetryAfter is the retry delay sent to operators while the store is
	// unavailable.
	storeRetryAfter = 2 * time.Second
)

// Preview holds the changes that a note would make.
type Preview struct {
	// Base is the version of the release that the note changes, Version the one
	// that the release would get.
	Base    uint64           `json:"base"`
	Version uint64           `json:"version"`
	Changes []release.Change `json:"changes"`
}

// CheckNote returns the changes that the note would make to the release in the
// store. The error is release.Faults, a *verdict.Error, or the error of reading or
// decoding the stored release.
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

// ApplyNote accepts the note with a compare-and-swap on the release in the store.
// If the store's response is lost, it reads back whether the note was accepted.
// The error is release.Faults or a *verdict.Error, whose verdict says whether the
// note may be in force, or an error of decoding or encoding the release. ApplyNote
// writes an audit record whether or not the note is accepted.
func (a *App) ApplyNote(ctx context.Context, note release.Note) (release.AcceptedNote, error) {
	accepted, err := a.acceptWithRetries(ctx, note)
	outcome := "accepted"
	if err != nil {
		outcome = "refused: " + err.Error()
	}
	a.recordAudit(port.AuditRelease, note.Author, note.ID, "apply", accepted.Version, outcome)
	return accepted, err
}

// acceptWithRetries calls tryAccept until the store is available, at most
// maxAcceptAttempts times. If the store stays unavailable, the verdict is MayHaveRun
// if one of the writes may have taken effect, else NotRun.
func (a *App) acceptWithRetries(ctx context.Context, note release.Note) (release.AcceptedNote, error) {
	var uncertain bool
	var lastErr error
	for attempt := range maxAcceptAttempts {
		if attempt > 0 {
			port.Sleep(ctx, acceptRetryDelay)
		}
		accepted, err := a.tryAccept(ctx, note)
		if err == nil || !errors.Is(err, port.ErrUnavailable) {
			return accepted, err
		}
		uncertain = uncertain || errors.Is(err, port.ErrUncertain)
		lastErr = err
	}
	v := verdict.NotRun
	if uncertain {
		v = verdict.MayHaveRun
	}
	return release.AcceptedNote{}, verdict.Wrap(lastErr, verdict.CodeStoreUnavailable, v, "the store does not answer").WithRetryAfter(storeRetryAfter)
}

// tryAccept makes one attempt to accept the note. It succeeds without a write if
// the note has been accepted before. After a write it waits until this host has the
// release in force. Errors of the store are returned as they are.
func (a *App) tryAccept(ctx context.Context, note release.Note) (release.AcceptedNote, error) {
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
	entry, err := a.deps.ControlStore.CompareAndSwap(ctx, release.CurrentKey, revision, data, 0)
	if errors.Is(err, port.ErrConflict) {
		return a.resolveConflict(entry, note)
	}
	if err != nil {
		return release.AcceptedNote{}, err
	}
	a.applyStored(entry)
	a.controlLoop.flush(ctx)
	return updated.History[0], nil
}

// readRelease returns the release in the store and the revision of its key; the
// empty release and 0 if none is stored.
func (a *App) readRelease(ctx context.Context) (release.StoredRelease, uint64, error) {
	entry, err := a.deps.ControlStore.Get(ctx, release.CurrentKey)
	if errors.Is(err, port.ErrNotFound) {
		return release.StoredRelease{Release: *release.Empty()}, 0, nil
	}
	if err != nil {
		return release.StoredRelease{}, 0, err
	}
	stored, err := release.DecodeStored(entry.Value)
	return stored, entry.Revision, err
}

// nextRelease applies the note to the stored release, which must be the note's
// base. The error is release.Faults or a *verdict.Error with CodeConflict.
func (a *App) nextRelease(stored release.StoredRelease, note release.Note) (*release.Release, error) {
	if note.Base != stored.Release.Version {
		return nil, staleBaseError(stored, note.Base)
	}
	return release.Apply(&stored.Release, note, a.deps.Clock.Now().UTC())
}

// resolveConflict returns the accepted note if an earlier attempt of the same
// compare-and-swap has accepted it, else an error that names the note that was
// accepted instead. entry is the one that the store holds.
func (a *App) resolveConflict(entry port.Entry, note release.Note) (release.AcceptedNote, error) {
	stored, err := release.DecodeStored(entry.Value)
	if err != nil {
		return release.AcceptedNote{}, err
	}
	if accepted, ok := stored.Find(note.ID); ok {
		return accepted, nil
	}
	return release.AcceptedNote{}, staleBaseError(stored, note.Base)
}

// staleBaseError returns the error for a note whose base is not the stored release.
func staleBaseError(stored release.StoredRelease, base uint64) error {
	r := stored.Release
	if base > r.Version {
		return verdict.New(verdict.CodeConflict, verdict.NotRun, fmt.Sprintf("base %d does not exist: version %d is in force", base, r.Version))
	}
	return verdict.New(verdict.CodeConflict, verdict.NotRun,
		fmt.Sprintf("base %d is not in force any more: note %q by %s made version %d at %s", base, r.NoteID, r.Author, r.Version, r.AcceptedAt.Format(time.RFC3339)))
}

// SetZoneService takes an availability zone out of service or brings it back, by
// applying a note to the release in the store. Its errors are those of ApplyNote,
// and *verdict.Error with NotRun if the zone is unknown or in that state already.
func (a *App) SetZoneService(ctx context.Context, author, zone string, outOfService bool) (release.AcceptedNote, error) {
	stored, _, err := a.readRelease(ctx)
	if err != nil {
		return release.AcceptedNote{}, verdict.Wrap(err, verdict.CodeStoreUnavailable, verdict.NotRun, "the store does not answer").WithRetryAfter(storeRetryAfter)
	}
	z, ok := stored.Release.Zone(zone)
	if !ok {
		return release.AcceptedNote{}, verdict.New(verdict.CodeNotFound, verdict.NotRun, "no such availability zone")
	}
	if z.OutOfService == outOfService {
		return release.AcceptedNote{}, verdict.New(verdict.CodeConflict, verdict.NotRun, "the availability zone is in that state already")
	}
	z.OutOfService = outOfService
	note := release.Note{ID: "zone-" + strings.ToLower(a.deps.NewID()), Author: author, Base: stored.Release.Version, Reason: zoneReason(zone, outOfService)}
	note.Changed.Zones = []release.Zone{z}
	return a.ApplyNote(ctx, note)
}

// zoneReason returns the reason of the note of SetZoneService.
func zoneReason(zone string, outOfService bool) string {
	if outOfService {
		return "take availability zone " + zone + " out of service"
	}
	return "bring availability zone " + zone + " back in service"
}

// recordAudit writes an audit record of this host. version is a release's, 0 if the
// record is about none.
func (a *App) recordAudit(kind port.AuditKind, actor, subject, action string, version uint64, outcome string) {
	a.deps.Audit.Record(port.AuditRecord{
		ID: a.deps.NewID(), Time: a.deps.Clock.Now().UTC(), Host: a.cfg.Host, Kind: kind,
		Actor: actor, Subject: subject, Action: action, Version: version, Outcome: outcome,
	})
}
