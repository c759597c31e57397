package invariant

import (
	"encoding/json"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// checkAnswer checks that an answer is whole and belongs to its request: the
// stand-ins' outputs follow from the input, so each stage can be redone here.
func (r *Recorder) checkAnswer(f *standin.Fleet, reply Reply) {
	if reply.Answer == nil {
		return
	}
	got := string(reply.Answer.Output)
	if want, ok := expected(f, reply); ok && got != want {
		r.violate("%s request %s got an answer that is not its own: %s, want %s", reply.Answer.Pipeline, reply.Answer.RequestID, got, want)
	}
	if reply.Streamed != nil {
		r.checkStream(reply, got)
	}
	r.checkSameKey(reply, got)
}

// checkStream checks that the tokens add up to the output.
func (r *Recorder) checkStream(reply Reply, output string) {
	var text string
	if json.Unmarshal([]byte(output), &text) != nil || text != *reply.Streamed {
		r.violate("request %s streamed %q, its output is %s", reply.Answer.RequestID, *reply.Streamed, output)
	}
}

// checkSameKey checks that all answers to one key are the same.
func (r *Recorder) checkSameKey(reply Reply, output string) {
	if reply.Key == "" {
		return
	}
	for _, other := range r.replies {
		if other.Key == reply.Key && other.Answer != nil && string(other.Answer.Output) != output {
			r.violate("key %s got two answers: %s and %s", reply.Key, output, other.Answer.Output)
			return
		}
	}
}

// expected returns the output that the named endpoints give for the input.
// It is not known for an answer that does not name all its stages.
func expected(f *standin.Fleet, reply Reply) (string, bool) {
	var stages []release.Stage
	for _, p := range f.Note("expected", nil).Added.Pipelines {
		if p.Name == reply.Answer.Pipeline {
			stages = p.Stages
		}
	}
	if len(stages) == 0 || len(stages) != len(reply.Answer.Stages) {
		return "", false
	}
	value := reply.Input
	for i, s := range stages {
		value = stageOutput(s, reply.Answer.Stages[i].Endpoint, reply.Key, value)
	}
	return string(value), true
}

// stageOutput returns what a stand-in gives for the input of a stage.
func stageOutput(s release.Stage, endpoint, key string, input json.RawMessage) json.RawMessage {
	var out any
	switch {
	case s.Service == standin.ServiceEngines:
		out = standin.Completion(prompt(input), s.MaxTokens)
	case s.AtMostOnce:
		out = standin.PlainOutput{By: endpoint, Key: key, Run: 1, Input: input}
	default:
		out = standin.PoolOutput{By: endpoint, Input: input}
	}
	data, err := json.Marshal(out)
	if err != nil {
		return nil
	}
	return data
}

// prompt returns a JSON string's value, and any other JSON as its text.
func prompt(input json.RawMessage) string {
	var s string
	if json.Unmarshal(input, &s) == nil {
		return s
	}
	return string(input)
}
