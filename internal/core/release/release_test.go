package release

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const firstNote = `
id: first
author: ana
base: 0
added:
  zones: [{name: kranj, region: si-central}]
  models: [{name: topo, version: "1"}]
  services:
    - {name: pimentorill-pool, kind: engine, model: topo}
    - {name: register, kind: plain}
  endpoints:
    - {id: e1, service: pimentorill-pool, availability_zone: kranj, url: "http://127.0.0.1:9000", slots: 8, cold_limit: 2, warm_after: 5}
  pipelines:
    - name: guidebook
      deadline_ms: 4000
      stages: [{name: generate, service: pimentorill-pool, path: /v1/completions, max_tokens: 64, price: {per_call: 10}}]
  customers: [{name: triglav, share: 3, pipelines: [guidebook]}]
`

func applyNote(t *testing.T, base *Release, text string) (*Release, error) {
	t.Helper()
	n, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return Apply(base, n, time.Unix(0, 0))
}

func TestApplyReturnsTheNextVersion(t *testing.T) {
	is := is.New(t)
	r, err := applyNote(t, Empty(), firstNote)
	is.NoErr(err)
	is.Equal(r.Version, uint64(1))
	is.Equal(r.Settings, DefaultSettings)
	is.Equal(len(Diff(Empty(), r)), 7) // all elements of firstNote

	out, err := applyNote(t, r, "id: out\nauthor: ana\nbase: 1\nchanged: {zones: [{name: kranj, region: si-central, out: true}]}")
	is.NoErr(err)
	is.True(out.ZoneOutOfService("kranj"))
	is.True(!r.ZoneOutOfService("kranj")) // the base is not modified
	is.Equal(Diff(r, out), []Change{{"zones", "kranj", Changed}})
}

// TestClaimWindowGrowthPerNoteIsLimited checks the limits on both sides of
// maxClaimWindowGrowth, which is 4.
func TestClaimWindowGrowthPerNoteIsLimited(t *testing.T) {
	is := is.New(t)
	r, err := applyNote(t, Empty(), firstNote)
	is.NoErr(err)
	change := "id: window\nauthor: ana\nbase: 1\nchanged: {settings: {retry_percent: 10, queue_limit: 512, weight_loads_per_minute: 30, claim_window_seconds: %d}}"
	_, err = applyNote(t, r, fmt.Sprintf(change, 4*DefaultSettings.ClaimWindowSeconds))
	is.NoErr(err)
	_, err = applyNote(t, r, fmt.Sprintf(change, 4*DefaultSettings.ClaimWindowSeconds+1))
	is.True(err != nil && strings.Contains(err.Error(), "claim_window_seconds"))
}

func TestApplyReportsEveryFault(t *testing.T) {
	is := is.New(t)
	r, err := applyNote(t, Empty(), firstNote)
	is.NoErr(err)
	_, err = applyNote(t, r, `
id: bad
author: ana
base: 1
added:
  zones: [{name: kranj, region: si-central}]
  endpoints:
    - {id: e2, service: nobody, availability_zone: nowhere, url: "http://example.org:80/x", slots: 0, cold_limit: 9, warm_after: 0}
  pipelines:
    - name: p
      deadline_ms: 0
      stages: [{name: s, service: register, path: "/../x"}, {name: s, service: pimentorill-pool, path: /v1, once: true}]
changed: {customers: [{name: nobody, share: 0}], settings: {retry_percent: 99}}
withdrawn: {models: [topo], services: [ghost]}
`)
	is.True(err != nil)
	for _, want := range []string{
		"added.zones[0]", "endpoints[e2].service", "endpoints[e2].availability_zone", "endpoints[e2].url",
		"endpoints[e2].slots", "endpoints[e2].cold_limit", "endpoints[e2].warm_after", "pipelines[p].deadline_ms",
		"pipelines[p].stages[0].path", "pipelines[p].stages[1].name", "pipelines[p].stages[1].once",
		"changed.customers[0]", "settings.retry_percent", "services[pimentorill-pool].model", "withdrawn.services[0]",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no fault for %s in:\n%s", want, err)
		}
	}
}

func TestParseRejectsInvalidNotes(t *testing.T) {
	for name, text := range map[string]string{
		"unknown key": "id: x\nauther: y\n",
		"empty":       "  \n",
		"wrong type":  "id: x\nbase: many\n",
		"too large":   strings.Repeat("#", MaxNoteBytes+1),
	} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(firstNote))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := Parse(data)
		if err != nil {
			return
		}
		if r, err := Apply(Empty(), n, time.Unix(0, 0)); err == nil && r.Version != 1 {
			t.Fatal("wrong version")
		}
	})
}
