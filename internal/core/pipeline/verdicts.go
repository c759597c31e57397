package pipeline

import (
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// stageVerdicts collects the verdicts of one run's stages.
type stageVerdicts struct {
	pipeline release.Pipeline
	// verdicts holds the verdict of each stage that was started.
	verdicts []verdict.Verdict
}

// record appends the verdict of the next stage.
func (p *stageVerdicts) record(v verdict.Verdict) { p.verdicts = append(p.verdicts, v) }

// runVerdict returns the verdict of the whole run.
//
// For a pipeline with at-most-once stages it covers only these, since running
// any other stage again is safe: NotRun if none of them may have run, Ran if
// all of them ran, MayHaveRun otherwise. For other pipelines it is NotRun only
// if no stage may have run.
func (p *stageVerdicts) runVerdict() verdict.Verdict {
	onceOnly := p.pipeline.HasAtMostOnceStage()
	counted, ran, notRun := 0, 0, 0
	for i, s := range p.pipeline.Stages {
		if onceOnly && !s.AtMostOnce {
			continue
		}
		counted++
		switch p.at(i) {
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

// at returns the verdict of stage i, NotRun for a stage that was not started.
func (p *stageVerdicts) at(i int) verdict.Verdict {
	if i < len(p.verdicts) {
		return p.verdicts[i]
	}
	return verdict.NotRun
}
