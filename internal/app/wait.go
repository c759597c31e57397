package app

import (
	"context"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// rolloutPollInterval is the pause between two checks of the hosts' versions.
	rolloutPollInterval = 50 * time.Millisecond
	// unresponsiveAfter is how long after the last news of a host the host counts
	// as unresponsive.
	unresponsiveAfter = 15 * time.Second
)

// HostVersion is a host with the version of the release that it last announced as
// in force.
type HostVersion struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	// State is the name of a port.MemberState.
	State string `json:"state"`
	// Version is 0 if the host has announced none.
	Version uint64 `json:"version"`
	// LastHeardAt is when this host last received news of the host, directly or
	// from another host; the current time for this host itself.
	LastHeardAt time.Time `json:"heard_at"`
}

// RolloutStatus reports which hosts have a version of the release in force.
type RolloutStatus struct {
	// Everywhere is true if all known hosts that are not gone have the version in
	// force.
	Everywhere bool `json:"everywhere"`
	// Hosts lists the hosts that have the version, or a newer one, in force. Hosts
	// that are gone are in none of the lists.
	Hosts []HostVersion `json:"hosts"`
	// Behind lists the other hosts that have an older version in force.
	Behind []HostVersion `json:"behind"`
	// Unresponsive lists the hosts with an older version of which there has been no
	// news for longer than unresponsiveAfter.
	Unresponsive []HostVersion `json:"not_heard"`
}

// AcceptedNoteStatus is an accepted note with its rollout, which is nil if the
// operator did not wait for it.
type AcceptedNoteStatus struct {
	release.AcceptedNote
	Rollout *RolloutStatus `json:"in_force,omitempty"`
}

// WaitForRollout waits until all known hosts that are not gone have the version in
// force or ctx ends, and returns the status at that time.
func (a *App) WaitForRollout(ctx context.Context, version uint64) RolloutStatus {
	for {
		status := a.rolloutStatus(version)
		if status.Everywhere || ctx.Err() != nil {
			return status
		}
		port.Sleep(ctx, rolloutPollInterval)
	}
}

// rolloutStatus returns the current status of the version's rollout.
func (a *App) rolloutStatus(version uint64) RolloutStatus {
	var out RolloutStatus
	now := a.deps.Clock.Now()
	for _, h := range a.hostVersions() {
		switch {
		case h.State == port.MemberGone.String():
		case h.Version >= version:
			out.Hosts = append(out.Hosts, h)
		case now.Sub(h.LastHeardAt) > unresponsiveAfter:
			out.Unresponsive = append(out.Unresponsive, h)
		default:
			out.Behind = append(out.Behind, h)
		}
	}
	out.Everywhere = len(out.Behind)+len(out.Unresponsive) == 0
	return out
}

// hostVersions returns all known hosts, this one first and including those that are
// gone.
func (a *App) hostVersions() []HostVersion {
	self := HostVersion{Host: a.cfg.Host, AvailabilityZone: a.cfg.AvailabilityZone, State: port.MemberLive.String(), LastHeardAt: a.deps.Clock.Now()}
	if r := a.Snapshot().Release; r != nil {
		self.Version = r.Version
	}
	out := []HostVersion{self}
	if a.deps.Peers == nil {
		return out
	}
	for _, m := range a.deps.Peers.Members() {
		if m.ID == a.cfg.Host {
			continue
		}
		out = append(out, HostVersion{Host: m.ID, AvailabilityZone: m.AvailabilityZone, State: m.State.String(), Version: m.ReleaseVersion, LastHeardAt: m.LastHeardAt})
	}
	return out
}
