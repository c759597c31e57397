package standin

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// orderState holds an engine's state and handles the orders that change it.
type orderState struct {
	cfg EngineConfig

	mu                  sync.Mutex
	state               port.EngineState
	incarnations        int // starts of the process so far
	highestFencingToken uint64
	stats               OrderStats
	responsesToDrop     int // responses still to be dropped
	sleep               func(ctx context.Context, d time.Duration) error
}

// OrderStats holds counters that tests check. They survive a crash.
type OrderStats struct {
	// Accepted is the number of orders that the engine began.
	Accepted int
	// RefusedStale is the number of orders refused for an old fencing token.
	RefusedStale int
	// RefusedBusy is the number of orders refused because one was in progress.
	RefusedBusy int
	// AcceptedStale is the number of orders whose fencing token was below one
	// received before and that were not refused for it, because the engine does
	// not check fencing tokens. Those refused as busy are included. A paused
	// lease holder sends such orders.
	AcceptedStale int
}

func (o *orderState) init(cfg EngineConfig) {
	o.cfg = cfg
	o.sleep = sleep
	o.restart()
}

// restart resets the state to that of a new process, as configured. The highest
// fencing token and the counters survive.
func (o *orderState) restart() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.incarnations++
	o.state = port.EngineState{Incarnation: strconv.Itoa(o.incarnations), Role: o.cfg.Role}
	if o.cfg.Model != "" {
		o.state.Loaded = []port.LoadedModel{{Model: o.cfg.Model, Version: o.cfg.Version}}
	}
}

// checkModelLoaded refuses a call for a model that is not loaded. A call without a
// model is accepted.
func (o *orderState) checkModelLoaded(c call) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.loadedIndex(c.model) < 0 && c.model != "" {
		return &refusedError{reason: "model not loaded"}
	}
	return nil
}

// loadedIndex returns the index of a model in state.Loaded, -1 if it is not loaded.
// The caller holds mu.
func (o *orderState) loadedIndex(model string) int {
	return slices.IndexFunc(o.state.Loaded, func(l port.LoadedModel) bool { return l.Model == model })
}

// begin accepts an order and returns 202 and the incarnation that runs it, or
// refuses it and returns 409 for a stale fencing token or 429 if an order is in
// progress.
func (o *orderState) begin(order port.Order, fencingToken uint64) (status int, incarnation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if fencingToken < o.highestFencingToken {
		if o.cfg.ChecksFence {
			o.stats.RefusedStale++
			return http.StatusConflict, ""
		}
		o.stats.AcceptedStale++
	}
	o.highestFencingToken = max(o.highestFencingToken, fencingToken)
	if o.state.Busy {
		o.stats.RefusedBusy++
		return http.StatusTooManyRequests, ""
	}
	o.stats.Accepted++
	o.state.Busy = true
	o.state.LastOrder = order.ID
	o.state.LastError = ""
	return http.StatusAccepted, o.state.Incarnation
}

// execute runs an order accepted by begin, on the given incarnation. The order has
// no effect if the process crashes before its end.
func (o *orderState) execute(order port.Order, incarnation string) {
	err := o.loadWeights(order)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.state.Incarnation != incarnation {
		return
	}
	o.state.Busy = false
	if err != nil {
		o.state.LastError = err.Error()
		return
	}
	o.apply(order)
}

// loadWeights fetches the weights that an order needs and waits for LoadTime. It
// does nothing for orders that load no model or adapter.
func (o *orderState) loadWeights(order port.Order) error {
	if order.Kind != port.OrderLoad && order.Kind != port.OrderLoadAdapter {
		return nil
	}
	if o.cfg.Weights != nil {
		if err := o.cfg.Weights.Fetch(o.cfg.ID); err != nil {
			return err
		}
	}
	return o.sleep(context.Background(), o.cfg.LoadTime)
}

// apply changes the state as the order says. The caller holds mu.
func (o *orderState) apply(order port.Order) {
	i := o.loadedIndex(order.Model)
	// State returns the slice without a copy, so it is never changed in place.
	loaded := slices.Clone(o.state.Loaded)
	switch order.Kind {
	case port.OrderRole:
		o.state.Role = order.Role
	case port.OrderLoad:
		if i >= 0 {
			loaded = slices.Delete(loaded, i, i+1)
		}
		loaded = append(loaded, port.LoadedModel{Model: order.Model, Version: order.Version})
	case port.OrderUnload:
		if i >= 0 {
			loaded = slices.Delete(loaded, i, i+1)
		}
	case port.OrderLoadAdapter, port.OrderUnloadAdapter:
		if i < 0 {
			o.state.LastError = "model not loaded"
			return
		}
		loaded[i].Adapters = updateAdapters(loaded[i].Adapters, order)
	default:
		o.state.LastError = "unknown order"
	}
	o.state.Loaded = loaded
}

func updateAdapters(current []string, order port.Order) []string {
	updated := slices.DeleteFunc(slices.Clone(current), func(a string) bool { return a == order.Adapter })
	if order.Kind == port.OrderLoadAdapter {
		updated = append(updated, order.Adapter)
	}
	return updated
}

// takeResponseDrop reports whether to drop the response to this order, and if so
// decrements responsesToDrop.
func (o *orderState) takeResponseDrop() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.responsesToDrop == 0 {
		return false
	}
	o.responsesToDrop--
	return true
}

// DropOrderResponses drops the responses to the next n accepted orders.
func (e *Engine) DropOrderResponses(n int) {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	e.orders.responsesToDrop = n
}

// OrderStats returns the current counters of orders.
func (e *Engine) OrderStats() OrderStats {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return e.orders.stats
}

// State returns the engine's state. The caller must not change its slices.
func (e *Engine) State() port.EngineState {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return e.orders.state
}

// SubmitOrder submits an order in process and returns the HTTP status: 202 if the
// engine accepted it and executes it asynchronously, 409 for a stale fencing token,
// or 429 if an order is in progress.
func (e *Engine) SubmitOrder(order port.Order, fencingToken uint64) int {
	status, incarnation := e.orders.begin(order, fencingToken)
	if status == http.StatusAccepted {
		go e.orders.execute(order, incarnation)
	}
	return status
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order port.Order
	if err := readJSON(r, &order); err != nil || order.ID == "" {
		w.Header().Set(port.HeaderVerdict, "not_run")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fencingToken, _ := strconv.ParseUint(r.Header.Get(port.HeaderFence), 10, 64)
	status := e.SubmitOrder(order, fencingToken)
	if status == http.StatusAccepted && e.orders.takeResponseDrop() {
		abortConnection()
	}
	if status != http.StatusAccepted {
		w.Header().Set(port.HeaderVerdict, "not_run")
	}
	writeJSON(w, status, e.State())
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}
