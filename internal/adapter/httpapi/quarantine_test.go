package httpapi_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

// crashingBody contains the word on which the test's engines crash.
const crashingBody = `{"input":"deadly question"}`

// A request that crashes every engine that runs it is quarantined after two
// crashes, and runs again once an operator releases it.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{})
	url := "http://" + bed.Hosts[0].Address("callers") + "/v1/pipelines/guidebook/runs"
	admin := "http://" + bed.Hosts[0].Address("operators") + "/v1/admin/quarantine"
	for _, e := range bed.Fleet.Engines {
		e.CrashOnInput("deadly")
	}
	testbed.Until(t, "the request is quarantined", func() bool {
		r := sendRequest(t, "POST", url, crashingBody, customerHeader("triglav"))
		is.True(r.Status != 200)
		return r.Body.Error.Code == "quarantined"
	})
	is.Equal(countCrashes(bed), 2)
	is.Equal(sendRequest(t, "POST", url, crashingBody, customerHeader("triglav")).Status, 422)
	testbed.Until(t, "other requests succeed", func() bool {
		r := sendRequest(t, "POST", url, validBody, customerHeader("triglav"))
		is.True(r.Body.Error.Code != "quarantined")
		return r.Status == 200
	})
	is.Equal(countCrashes(bed), 2)

	for _, e := range bed.Fleet.Engines {
		e.CrashOnInput("")
	}
	fingerprint := quarantinedFingerprint(t, admin)
	is.Equal(sendRequest(t, "DELETE", admin+"/"+fingerprint, "", operatorHeaders()).Status, 200)
	testbed.Until(t, "the released request succeeds", func() bool {
		return sendRequest(t, "POST", url, crashingBody, customerHeader("triglav")).Status == 200
	})
}

// countCrashes returns the number of crashes of all engines.
func countCrashes(bed *testbed.Cluster) int {
	total := 0
	for _, e := range bed.Fleet.Engines {
		total += e.Stats().Crashes
	}
	return total
}

func operatorHeaders() map[string]string {
	return map[string]string{"Authorization": "Bearer " + testbed.OperatorToken}
}

// quarantinedFingerprint returns the only fingerprint in the quarantine list.
func quarantinedFingerprint(t *testing.T, url string) string {
	t.Helper()
	req, err := http.NewRequest("GET", url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", operatorHeaders()["Authorization"])
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var list app.QuarantineList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil || len(list.Quarantined) != 1 {
		t.Fatalf("want one quarantine: %v %v", list, err)
	}
	return list.Quarantined[0].Fingerprint
}
