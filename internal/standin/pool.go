package standin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pimentorill/pimentorill/internal/port"
)

// Pool stands in for an encoder, retriever or reranker. It outputs a PoolOutput.
type Pool struct{ backend }

// PoolOutput is the output of a pool.
type PoolOutput struct {
	EndpointID string          `json:"by"`
	Input      json.RawMessage `json:"input"`
}

// NewPool returns a pool server. Start makes it reachable.
func NewPool(cfg BackendConfig) *Pool {
	p := &Pool{}
	p.init(cfg)
	p.work = p.compute
	mux := http.NewServeMux()
	p.registerRoutes(mux)
	mux.HandleFunc("POST /", p.handleCall)
	p.handler = mux
	return p
}

func (p *Pool) compute(ctx context.Context, c call, _ func(string) error) (json.RawMessage, error) {
	p.charges.add(c.attempt, port.Usage{Calls: 1})
	if err := sleep(ctx, p.currentStepTime(p.cfg.WorkTime)); err != nil {
		return nil, err
	}
	return json.Marshal(PoolOutput{EndpointID: p.cfg.ID, Input: c.input})
}
