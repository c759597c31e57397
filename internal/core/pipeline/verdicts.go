package pipeline

import (
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// stageVerdicts collects the verdicts of one run's stages.
type stageVerdicts struct {
	pipeline release.Pipeline
	// verdicts holds the verdicts of the stages recorded so far, in order from
	// the first stage.
	verdicts []verdict.Verdict
}

// record appends the verdict of the next stage.
func (sv *stageVerdicts) record(v verdict.Verdict) { sv.verdicts = append(sv.verdicts, v) }

// runVerdict returns the verdict of the whole run.
//
// It covers only the at-most-once stages if the pipeline has any, since running
// any other stage again is safe, and all stages otherwise. It is NotRun if none
// of the covered stages may have run, Ran if all of them ran, and MayHaveRun
// otherwise.
func (sv *stageVerdicts) runVerdict() verdict.Verdict {
	atMostOnceOnly := sv.pipeline.HasAtMostOnceStage()
	counted, ran, notRun := 0, 0, 0
	for i, s := range sv.pipeline.Stages {
		if atMostOnceOnly && !s.AtMostOnce {
			continue
		}
		counted++
		switch sv.at(i) {
		case verdict.Ran:
			ran++
		case verdict.NotRun:
			notRun++
		}
	}
	switch counted {
	case notRun:
		return verdict.NotRun
	case ran:
		return verdict.Ran
	default:
		return verdict.MayHaveRun
	}
}

// at returns the verdict of stage i, NotRun if none is recorded.
func (sv *stageVerdicts) at(i int) verdict.Verdict {
	if i < len(sv.verdicts) {
		return sv.verdicts[i]
	}
	return verdict.NotRun
}
