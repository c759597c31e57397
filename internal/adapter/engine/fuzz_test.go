package engine

import (
	"bytes"
	"testing"

	"github.com/pimentorill/pimentorill/internal/port"
)

const wholeStream = "data: {\"choices\":[{\"text\":\"a \"}]}\n\n" +
	"data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}],\"usage\":{\"calls\":1,\"completion_tokens\":1}}\n\n" +
	"data: [DONE]\n\n"

// FuzzStream checks that a stream counts as whole only with its end mark, and
// that the text is what the tokens add up to.
func FuzzStream(f *testing.F) {
	f.Add([]byte(wholeStream))
	f.Add([]byte(wholeStream[:60]))
	f.Add([]byte("event: x\ndata: {\ndata: }\n\n: ping\n\ndata:[DONE]\n\n"))
	f.Add([]byte("data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\r\n\r\ndata: [DONE]\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var a port.AttemptResult
		var seen []byte
		tokens := 0
		err := readCompletion(bytes.NewReader(raw), 1<<16, &a, func(text string) {
			seen = append(seen, text...)
			tokens++
		})
		if string(seen) != a.Text || tokens != a.Tokens {
			t.Fatalf("text %q with %d tokens, seen %q with %d", a.Text, a.Tokens, seen, tokens)
		}
		if err == nil && !bytes.Contains(raw, doneMark) {
			t.Fatal("whole without an end mark")
		}
	})
}

// FuzzLoad checks that a report is dropped or makes sense.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"incarnation":"1","running":2,"waiting":0,"slots":4,"cold":true}`))
	f.Add([]byte(`{"running":-1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		l := parseLoad(raw)
		if l != nil && (l.Running < 0 || l.Waiting < 0 || l.Slots < 0) {
			t.Fatalf("report %+v", l)
		}
	})
}
