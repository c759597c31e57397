package app

import (
	"context"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// rolloutPollInterval is the time between two looks at the hosts' versions.
	rolloutPollInterval = 50 * time.Millisecond
	// unresponsiveAfter is the silence after which a host counts as not heard of.
	unresponsiveAfter = 15 * time.Second
)

// HostVersion is a host with the release that it has in force, as last heard.
type HostVersion struct {
	Host             string    `json:"host"`
	AvailabilityZone string    `json:"availability_zone"`
	State            string    `json:"state"`
	Version          uint64    `json:"version"`
	LastHeardAt      time.Time `json:"heard_at"`
}

// Rollout tells which hosts have a release in force.
type RolloutStatus struct {
	// Everywhere says that all known hosts have it.
	Everywhere bool `json:"everywhere"`
	// Hosts have it in force.
	Hosts []HostVersion `json:"hosts"`
	// Behind have been heard of lately and have an older release.
	Behind []HostVersion `json:"behind"`
	// Unresponsive have not been heard of lately.
	Unresponsive []HostVersion `json:"not_heard"`
}

// AcceptedNoteStatus is an accepted note with the hosts that have it in force.
type AcceptedNoteStatus struct {
	release.AcceptedNote
	Rollout *RolloutStatus `json:"in_force,omitempty"`
}

// WaitForRollout waits until all known hosts have the version in force or ctx
// ends, and returns what is known then.
func (a *App) WaitForRollout(ctx context.Context, version uint64) RolloutStatus {
	for {
		seen := a.rolloutStatus(version)
		if seen.Everywhere || ctx.Err() != nil {
			return seen
		}
		port.Sleep(ctx, rolloutPollInterval)
	}
}

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

// hostVersions returns all known hosts, this one first.
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
