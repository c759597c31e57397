package release

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// CurrentKey is the store key of the current release.
const CurrentKey = "release/current"

// maxHistoryLength is how many accepted notes are stored with the release.
const maxHistoryLength = 64

// StoredRelease is the value under CurrentKey: the release and the notes that
// led to it, newest first. A single compare-and-swap writes both.
type StoredRelease struct {
	Release Release        `json:"release"`
	History []AcceptedNote `json:"history"`
}

// AcceptedNote records an accepted note.
type AcceptedNote struct {
	// Version is the version of the release that the note made.
	Version uint64 `json:"version"`
	NoteID  string `json:"note_id"`
	Author  string `json:"author"`
	Reason  string `json:"reason,omitempty"`
	// At is when the note was accepted.
	At      time.Time `json:"at"`
	Changes []Change  `json:"changes"`
}

// Advance returns the value to store when next replaces the release in s. reason
// is the Reason of the note that made next.
func (s StoredRelease) Advance(next *Release, reason string) StoredRelease {
	entry := AcceptedNote{
		Version: next.Version,
		NoteID:  next.NoteID,
		Author:  next.Author,
		Reason:  reason,
		At:      next.AcceptedAt,
		Changes: Diff(&s.Release, next),
	}
	history := append([]AcceptedNote{entry}, s.History...)
	return StoredRelease{Release: *next, History: history[:min(len(history), maxHistoryLength)]}
}

// Find returns the accepted note with that ID, if it is still in the history.
func (s StoredRelease) Find(noteID string) (AcceptedNote, bool) {
	return find(s.History, func(a AcceptedNote) bool { return a.NoteID == noteID })
}

// Encode returns the stored representation, in JSON.
func (s StoredRelease) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode release")
	}
	return data, nil
}

// DecodeStored decodes what Encode returned.
func DecodeStored(data []byte) (StoredRelease, error) {
	var s StoredRelease
	if err := json.Unmarshal(data, &s); err != nil {
		return StoredRelease{}, errors.Wrap(err, "decode release")
	}
	return s, nil
}
