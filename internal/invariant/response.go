package invariant

import (
	"encoding/json"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// checkResponse checks that a response, if there is one, is complete and belongs to
// its request. The output of a stand-in is determined by its id, the key and the
// input, so each stage is recomputed.
func (r *Recorder) checkResponse(f *standin.Fleet, outcome Outcome) {
	if outcome.Response == nil {
		return
	}
	got := string(outcome.Response.Output)
	if want, ok := expectedOutput(f, outcome); ok && got != want {
		r.addViolation("%s request %s got a response that does not match its input: %s, want %s", outcome.Response.Pipeline, outcome.Response.RequestID, got, want)
	}
	if outcome.Streamed != nil {
		r.checkStream(outcome, got)
	}
	r.checkKeyConsistency(outcome, got)
}

// checkStream checks that the streamed tokens add up to the output.
func (r *Recorder) checkStream(outcome Outcome, output string) {
	var text string
	if json.Unmarshal([]byte(output), &text) != nil || text != *outcome.Streamed {
		r.addViolation("request %s streamed %q, its output is %s", outcome.Response.RequestID, *outcome.Streamed, output)
	}
}

// checkKeyConsistency checks that all responses to the outcome's key have the same
// output.
func (r *Recorder) checkKeyConsistency(outcome Outcome, output string) {
	if outcome.Key == "" {
		return
	}
	for _, other := range r.outcomes {
		if other.Key == outcome.Key && other.Response != nil && string(other.Response.Output) != output {
			r.addViolation("key %s got two different responses: %s and %s", outcome.Key, output, other.Response.Output)
			return
		}
	}
}

// expectedOutput returns the output that the endpoints named in the response
// produce for the input. It returns false if the fleet's note lacks the pipeline or
// the response does not list all its stages.
func expectedOutput(f *standin.Fleet, outcome Outcome) (string, bool) {
	var stages []release.Stage
	for _, p := range f.Note("expected", nil).Added.Pipelines {
		if p.Name == outcome.Response.Pipeline {
			stages = p.Stages
		}
	}
	if len(stages) == 0 || len(stages) != len(outcome.Response.Stages) {
		return "", false
	}
	value := outcome.Input
	for i, s := range stages {
		value = stageOutput(s, outcome.Response.Stages[i].Endpoint, outcome.Key, value)
	}
	return string(value), true
}

// stageOutput returns the output of a stand-in for the input of a stage. An
// at-most-once stage must have run once, so its Run is 1.
func stageOutput(s release.Stage, endpoint, key string, input json.RawMessage) json.RawMessage {
	var out any
	switch {
	case s.Service == standin.ServiceEngines:
		out = standin.Completion(prompt(input), s.MaxTokens)
	case s.AtMostOnce:
		out = standin.PlainOutput{EndpointID: endpoint, Key: key, Run: 1, Input: input}
	default:
		out = standin.PoolOutput{EndpointID: endpoint, Input: input}
	}
	data, err := json.Marshal(out)
	if err != nil {
		return nil
	}
	return data
}

// prompt returns the value of a JSON string, and the text of any other JSON.
func prompt(input json.RawMessage) string {
	var s string
	if json.Unmarshal(input, &s) == nil {
		return s
	}
	return string(input)
}
