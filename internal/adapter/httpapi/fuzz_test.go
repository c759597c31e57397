package httpapi

import (
	"encoding/json"
	"testing"
)

// An input that decodeInput accepts is valid JSON.
func FuzzDecodeInput(f *testing.F) {
	f.Add([]byte(`{"input":{"yard":7}}`))
	f.Add([]byte(`{"input":null}`))
	f.Add([]byte(`{"input":1}{"input":2}`))
	f.Add([]byte(`{"INPUT":"\ud800"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		input, err := decodeInput(data)
		if err == nil && !json.Valid(input) {
			t.Fatalf("accepted %q, which is not JSON", input)
		}
	})
}
