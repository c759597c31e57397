package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentorill/pimentorill/internal/port"
)

// defaultMaxTokens is the number of tokens generated if a call sets none.
const defaultMaxTokens = 16

// EngineConfig holds the settings of an engine.
type EngineConfig struct {
	BackendConfig
	// Model, Version and Role are those of a newly started process.
	Model   string
	Version string
	Role    string
	// TokenTime is the time between two tokens of a stream.
	TokenTime time.Duration
	// PromptTokenTime is the time to process one prompt token that is not cached.
	PromptTokenTime time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks of
	// BlockTokens tokens; 0 means no cache.
	CacheBlocks int
	// CacheEventDelay is the time until a cache event is published.
	CacheEventDelay time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing token.
	ChecksFence bool
	// LoadTime is how long it takes to load a model once its weights are fetched.
	LoadTime time.Duration
	// Weights is where models are fetched from; nil makes fetches instant.
	Weights *WeightStore
}

// Engine stands in for a model engine. A token is a word. The text that it
// generates depends on the prompt alone; see Completion.
type Engine struct {
	backend
	engineCfg EngineConfig
	prefix    prefixCache
	orders    orderState
}

// NewEngine returns an engine. Start makes it reachable.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{engineCfg: cfg}
	e.init(cfg.BackendConfig)
	e.work = e.complete
	e.checkAccepted = e.orders.checkModelLoaded
	e.prefix.init(cfg)
	e.orders.init(cfg)
	e.onStart = func() {
		e.prefix.reset()
		e.orders.restart()
	}
	mux := http.NewServeMux()
	e.registerRoutes(mux)
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("GET /v1/cache/events", e.handleEvents)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /v1/state", e.handleState)
	e.handler = mux
	return e
}

// Completion returns the first n tokens that any engine generates for prompt.
func Completion(prompt string, n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(token(prompt, i))
	}
	return text.String()
}

func token(prompt string, i int) string {
	sum := xxhash.Sum64String(prompt + "\x00" + strconv.Itoa(i))
	return "w" + strconv.FormatUint(sum%100000, 36) + " "
}

// complete runs a completion, or the remainder of a resumed one.
func (e *Engine) complete(ctx context.Context, c call, emit func(string) error) (json.RawMessage, error) {
	if err := e.prefill(ctx, c); err != nil {
		return nil, err
	}
	total := c.maxTokens
	if total <= 0 {
		total = defaultMaxTokens
	}
	breakAt := e.faults.nextStreamBreak()
	var text strings.Builder
	for i := c.resume; i < total; i++ {
		if err := sleep(ctx, e.currentStepTime(e.engineCfg.TokenTime)); err != nil {
			return nil, err
		}
		e.charges.add(c.attempt, port.Usage{CompletionTokens: 1})
		word := token(c.prompt, i)
		text.WriteString(word)
		if err := emit(word); err != nil {
			return nil, err
		}
		if breakAt > 0 && i-c.resume+1 >= breakAt {
			return nil, errResponseLost
		}
	}
	return json.Marshal(text.String())
}

// prefill charges the prompt, including the tokens already sent of a resumed stream.
func (e *Engine) prefill(ctx context.Context, c call) error {
	words := strings.Fields(c.prompt)
	cached := e.prefix.lookupAndStore(words)
	all := len(words) + c.resume
	u := port.Usage{Calls: 1, PromptTokens: int64(all - cached), CachedTokens: int64(cached)}
	e.charges.add(c.attempt, u)
	return sleep(ctx, e.currentStepTime(e.engineCfg.PromptTokenTime*time.Duration(all-cached)))
}
