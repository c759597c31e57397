package ratelimit

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

// Division divides limits on all hosts together into whole shares, without
// communication: the shares of hosts that know the same hosts add up to the limit at
// most. It is immutable.
type Division struct {
	self string
	// hosts holds the ids of all known hosts, with this one, sorted; empty if none is
	// known yet.
	hosts []string
	// spare is the number of hosts for which shares are left unused.
	spare int
}

// NewDivision returns the division among the hosts with the given ids, of which self is
// one whether ids holds it or not, and a number of spare hosts. Without ids it is a
// division among the spare hosts alone, and this host is one of these.
func NewDivision(self string, ids []string, spare int) Division {
	if len(ids) == 0 {
		return Division{self: self, spare: spare}
	}
	hosts := append(slices.Clone(ids), self)
	slices.Sort(hosts)
	return Division{self: self, hosts: slices.Compact(hosts), spare: spare}
}

// Equal reports whether both divisions are among the same hosts.
func (d Division) Equal(o Division) bool {
	return d.spare == o.spare && slices.Equal(d.hosts, o.hosts)
}

// Share returns the share of the host with the given rank: the whole part of total over
// the hosts, and one more for the hosts with the lowest ranks.
func (d Division) Share(total, rank int) int {
	n := len(d.hosts) + d.spare
	if len(d.hosts) > 0 && rank < total%n-d.spare {
		return total/n + 1
	}
	return total / n
}

// Rank returns this host's position, from 0, among the hosts in the order in which they
// get the shares of an incarnation: that of rendezvous hashing. The order changes with
// each round.
func (d Division) Rank(i catalog.Incarnation, round int64) int {
	purpose := i.ID + "\x00" + strconv.FormatInt(i.StartedUnixMs, 10) + "\x00" + strconv.FormatInt(round, 10) + "\x00"
	own := xxhash.Sum64String(purpose + d.self)
	rank := 0
	for _, h := range d.hosts {
		if weight := xxhash.Sum64String(purpose + h); weight > own || weight == own && h < d.self {
			rank++
		}
	}
	return rank
}
