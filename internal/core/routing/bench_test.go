package routing

import (
	"encoding/json"
	"strings"
	"testing"
)

// BenchmarkPick picks among the 85 engines in each of seven availability zones,
// the size that the system is designed for, for a prompt of 500 words.
func BenchmarkPick(b *testing.B) {
	p := newPicker(testRelease(85, "a", "b", "c", "d", "e", "f", "g"), 1)
	w := testAttempt
	w.Input, _ = json.Marshal(strings.Repeat("route ", 500))
	b.ReportAllocs()
	for b.Loop() {
		e, err := p.Pick(w)
		if err != nil {
			b.Fatal(err)
		}
		p.Begin(e.ID)
	}
}
