package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/ratelimit"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/peering"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// kindStateDump is the kind of peer requests that return the replicated state of
	// a host.
	kindStateDump = "facts"
	// kindChanges is the kind of peer requests that return what changed in the store.
	kindChanges = "facts.changes"
	// maxChangesWait bounds how long a host may ask another one to wait for changes.
	maxChangesWait = 5 * time.Second
)

// stateSharing exchanges the replicated state with the other hosts: all of it for hosts
// that can't reach the store, and its changes for those that follow this one. It implements
// facts.Peers.
type stateSharing struct{ group *peering.Group }

// changesRequest asks for the changes after a position.
type changesRequest struct {
	After  port.StorePosition `cbor:"1,keyasint"`
	WaitMs int64              `cbor:"2,keyasint,omitempty"`
}

// handleRequests registers the handlers that return the state of replica and its changes
// to other hosts. It must be called before the group runs.
func (s *stateSharing) handleRequests(replica *facts.Replica) {
	s.group.Handle(kindChanges, func(ctx context.Context, _ port.Member, payload []byte) ([]byte, error) {
		var request changesRequest
		if err := cbor.Unmarshal(payload, &request); err != nil {
			return nil, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "request for changes can't be read")
		}
		wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxChangesWait)
		c := replica.Changes(ctx, request.After, max(0, wait))
		if c == nil {
			return nil, ctx.Err()
		}
		return cbor.Marshal(c)
	})
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

// Followed implements facts.Peers.
func (s *stateSharing) Followed() []string { return s.group.Followed() }

// Changes implements facts.Peers.
func (s *stateSharing) Changes(ctx context.Context, host string, after port.StorePosition, wait time.Duration) (*facts.Changes, error) {
	payload, err := cbor.Marshal(changesRequest{after, wait.Milliseconds()})
	if err != nil {
		return nil, errors.Wrap(err, "encode request for changes")
	}
	raw, err := s.group.AskOften(ctx, host, kindChanges, payload)
	if verdict.From(err) != nil && verdict.From(err).Code == verdict.CodeNotReady {
		return nil, facts.ErrNotConnected
	}
	if err != nil {
		return nil, err
	}
	c := &facts.Changes{}
	if err := cbor.Unmarshal(raw, c); err != nil {
		return nil, errors.Wrap(err, "decode changes of another host")
	}
	return c, nil
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
