package engine

import (
	"bytes"
	"testing"

	"github.com/pimentorill/pimentorill/internal/port"
)

const completeStream = "data: {\"choices\":[{\"text\":\"a \"}]}\n\n" +
	"data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}],\"usage\":{\"calls\":1,\"completion_tokens\":1}}\n\n" +
	"data: [DONE]\n\n"

// FuzzReadCompletion checks that a stream is accepted only with its done marker and
// that the result's text is the concatenation of the tokens passed to onToken.
func FuzzReadCompletion(f *testing.F) {
	f.Add([]byte(completeStream))
	f.Add([]byte(completeStream[:60]))
	f.Add([]byte("event: x\ndata: {\ndata: }\n\n: ping\n\ndata:[DONE]\n\n"))
	f.Add([]byte("data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\r\n\r\ndata: [DONE]\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var result port.AttemptResult
		var received []byte
		tokens := 0
		err := readCompletion(bytes.NewReader(raw), 1<<16, &result, func(text string) {
			received = append(received, text...)
			tokens++
		})
		if string(received) != result.Text || tokens != result.Tokens {
			t.Fatalf("text %q with %d tokens, onToken received %q in %d", result.Text, result.Tokens, received, tokens)
		}
		if err == nil && !bytes.Contains(raw, doneMarker) {
			t.Fatal("stream is complete without a done marker")
		}
	})
}

// FuzzParseLoad checks that no report with a negative number is accepted.
func FuzzParseLoad(f *testing.F) {
	f.Add([]byte(`{"incarnation":"1","running":2,"waiting":0,"slots":4,"cold":true}`))
	f.Add([]byte(`{"running":-1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		l := parseLoad(raw)
		if l != nil && (l.Running < 0 || l.Waiting < 0 || l.Slots < 0) {
			t.Fatalf("invalid report %+v", l)
		}
	})
}
