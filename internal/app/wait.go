package app

import (
	"context"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// waitInterval is the time between two looks at the hosts' versions.
	waitInterval = 50 * time.Millisecond
	// notHeardAfter is the silence after which a host counts as not heard of.
	notHeardAfter = 15 * time.Second
)

// HostVersion is a host with the release that it has in force, as last heard.
type HostVersion struct {
	Host             string    `json:"host"`
	AvailabilityZone string    `json:"availability_zone"`
	State            string    `json:"state"`
	Version          uint64    `json:"version"`
	HeardAt          time.Time `json:"heard_at"`
}

// InForce tells which hosts have a release in force.
type InForce struct {
	// Everywhere says that all known hosts have it.
	Everywhere bool `json:"everywhere"`
	// Hosts have it in force.
	Hosts []HostVersion `json:"hosts"`
	// Behind have been heard of lately and have an older release.
	Behind []HostVersion `json:"behind"`
	// NotHeard have not been heard of lately.
	NotHeard []HostVersion `json:"not_heard"`
}

// AcceptedEverywhere is an accepted note with the hosts that have it in force.
type AcceptedEverywhere struct {
	release.AcceptedNote
	InForce *InForce `json:"in_force,omitempty"`
}

// WaitInForce waits until all known hosts have the version in force or ctx
// ends, and returns what is known then.
func (a *App) WaitInForce(ctx context.Context, version uint64) InForce {
	for {
		seen := a.inForce(version)
		if seen.Everywhere || ctx.Err() != nil {
			return seen
		}
		port.Sleep(ctx, waitInterval)
	}
}

func (a *App) inForce(version uint64) InForce {
	var out InForce
	now := a.deps.Clock.Now()
	for _, h := range a.hostVersions() {
		switch {
		case h.State == port.MemberGone.String():
		case h.Version >= version:
			out.Hosts = append(out.Hosts, h)
		case now.Sub(h.HeardAt) > notHeardAfter:
			out.NotHeard = append(out.NotHeard, h)
		default:
			out.Behind = append(out.Behind, h)
		}
	}
	out.Everywhere = len(out.Behind)+len(out.NotHeard) == 0
	return out
}

// hostVersions returns all known hosts, this one first.
func (a *App) hostVersions() []HostVersion {
	self := HostVersion{Host: a.cfg.Host, AvailabilityZone: a.cfg.AvailabilityZone, State: port.MemberLive.String(), HeardAt: a.deps.Clock.Now()}
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
		out = append(out, HostVersion{Host: m.ID, AvailabilityZone: m.AvailabilityZone, State: m.State.String(), Version: m.ReleaseVersion, HeardAt: m.LastHeardAt})
	}
	return out
}
