package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/ratelimit"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/peering"
	"github.com/pimentorill/pimentorill/internal/port"
)

// kindStateDump is the kind of peer requests that return the replicated state of
// a host.
const kindStateDump = "facts"

// stateSharing exchanges the replicated state with the other hosts, for hosts
// that can't reach the store.
type stateSharing struct{ group *peering.Group }

// handleRequests registers the handler that returns the state of replica to other
// hosts. It must be called before the group runs.
func (s *stateSharing) handleRequests(replica *facts.Replica) {
	s.group.Handle(kindStateDump, func(ctx context.Context, _ port.Member, _ []byte) ([]byte, error) {
		d := replica.Dump(ctx)
		if d == nil {
			return nil, ctx.Err()
		}
		return cbor.Marshal(d)
	})
}

// fetchFromPeer fetches the state of a randomly chosen other host. It returns an
// error if no other host is known and unsuspected or the chosen one sends no
// state.
func (s *stateSharing) fetchFromPeer(ctx context.Context) (*facts.Dump, error) {
	others := s.group.Others()
	if len(others) == 0 {
		return nil, errors.New("no other host is known")
	}
	raw, err := s.group.Ask(ctx, others[rand.IntN(len(others))], kindStateDump, nil)
	if err != nil {
		return nil, err
	}
	d := &facts.Dump{}
	if err := cbor.Unmarshal(raw, d); err != nil {
		return nil, errors.Wrap(err, "decode state of another host")
	}
	return d, nil
}

// rateLimitGossip tells the other hosts what endpoints say of their rate limits. It
// implements peering.Gossip.
type rateLimitGossip struct {
	limits *ratelimit.Limiter
	log    *slog.Logger
}

// Outgoing implements peering.Gossip.
func (g rateLimitGossip) Outgoing() []byte {
	payload, err := cbor.Marshal(g.limits.Reports())
	if err != nil {
		g.log.Error("reports of rate limits can't be encoded", slog.Any("error", err))
	}
	return payload
}

// Incoming implements peering.Gossip. Payloads that can't be decoded, such as those of
// hosts that send none, are ignored.
func (g rateLimitGossip) Incoming(payload []byte) {
	var reports []ratelimit.Report
	if cbor.Unmarshal(payload, &reports) == nil {
		g.limits.Merge(reports)
	}
}
