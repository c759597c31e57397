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

// kindFacts asks another host for its facts.
const kindFacts = "facts"

// factSharing passes facts between hosts, for those that the store does not answer.
type factSharing struct{ group *peering.Group }

// answer has this host answer the others.
func (s *factSharing) answer(f *facts.Facts) {
	s.group.Handle(kindFacts, func(ctx context.Context, _ port.Member, _ []byte) ([]byte, error) {
		d := f.Dump(ctx)
		if d == nil {
			return nil, ctx.Err()
		}
		return cbor.Marshal(d)
	})
}

// ask asks one other host, by chance.
func (s *factSharing) ask(ctx context.Context) (*facts.Dump, error) {
	others := s.group.Others()
	if len(others) == 0 {
		return nil, errors.New("no other host is known")
	}
	raw, err := s.group.Ask(ctx, others[rand.IntN(len(others))], kindFacts, nil)
	if err != nil {
		return nil, err
	}
	d := &facts.Dump{}
	if err := cbor.Unmarshal(raw, d); err != nil {
		return nil, errors.Wrap(err, "decode facts")
	}
	return d, nil
}
