package entry

import (
	"context"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/peering"
	"github.com/pimentorill/pimentorill/internal/port"
)

// kindStateDump asks another host for its facts.
const kindStateDump = "facts"

// stateSharing passes facts between hosts, for those that the store does not answer.
type stateSharing struct{ group *peering.Group }

// answer has this host answer the others.
func (s *stateSharing) handleRequests(f *facts.Replica) {
	s.group.Handle(kindStateDump, func(ctx context.Context, _ port.Member, _ []byte) ([]byte, error) {
		d := f.Dump(ctx)
		if d == nil {
			return nil, ctx.Err()
		}
		return cbor.Marshal(d)
	})
}

// ask asks one other host, by chance.
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
		return nil, errors.Wrap(err, "decode facts")
	}
	return d, nil
}
