package stagework

import (
	"context"
	"log/slog"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Causes of results that no stage has read, besides the codes and reasons with which plans and
// jobs fail.
const (
	// causePlanEnded is that of results whose call ended after their plan.
	causePlanEnded = "plan_ended"
	// causeHandedOver is that of a plan that this host has handed over.
	causeHandedOver = "handed_over"
)

// causeOf returns the cause of unused results for the error that has ended a plan.
func causeOf(err error) string {
	switch {
	case errors.Is(err, errHandedOver):
		return causeHandedOver
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return string(verdict.CodeCallerCancelled)
	default:
		return string(verdict.From(err).Code)
	}
}

// freeUnused frees results that no stage has read, and counts them by cause.
func (sc *Scheduler) freeUnused(request string, handles []string, cause string) {
	if len(handles) == 0 {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.freeUnusedLocked(request, handles, cause)
}

// freeUnusedLocked is freeUnused for a caller that holds sc.mu.
func (sc *Scheduler) freeUnusedLocked(request string, handles []string, cause string) {
	n := sc.freeLocked(handles)
	if n == 0 {
		return
	}
	sc.cfg.Metrics.Tagged(map[string]string{"cause": cause}).Counter("stage_results_unused_total").Inc(int64(n))
	sc.cfg.Log.Info("stage results not used", slog.String("request", request), slog.Int("results", n), slog.String("cause", cause))
}

// countPieces counts the results that a call has made and its pieces that found no storage.
func (sc *Scheduler) countPieces(results []port.PieceResult) {
	made, noSpace := int64(0), int64(0)
	for _, r := range results {
		switch r.Failure {
		case port.PieceSucceeded:
			made++
		case port.PieceNoSpace:
			noSpace++
		}
	}
	sc.cfg.Metrics.Counter("stage_results_made_total").Inc(made)
	sc.cfg.Metrics.Counter("stage_pieces_without_storage_total").Inc(noSpace)
}
