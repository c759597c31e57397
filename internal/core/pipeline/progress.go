package pipeline

import (
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// progress keeps what is known of the stages of one run, for its verdict.
type progress struct {
	pipeline release.Pipeline
	// stages holds the verdict of each stage that was begun.
	stages []verdict.Verdict
}

// note records the verdict of the next stage.
func (p *progress) note(v verdict.Verdict) { p.stages = append(p.stages, v) }

// verdict returns the verdict of the whole run.
//
// For a pipeline with stages that may not be repeated it speaks of these
// alone, since running another stage again harms nobody: NotRun if none of
// them may have run, Ran if all of them ran, MayHaveRun otherwise. For other
// pipelines it is NotRun only if no stage may have run.
func (p *progress) verdict() verdict.Verdict {
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

// at returns the verdict of stage i; NotRun for a stage not begun.
func (p *progress) at(i int) verdict.Verdict {
	if i < len(p.stages) {
		return p.stages[i]
	}
	return verdict.NotRun
}
