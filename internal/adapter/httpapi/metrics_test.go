package httpapi_test

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/testbed"
)

var metricName = regexp.MustCompile(`(?m)^# TYPE (pimentorill_\w+) `)

// Every metric that a host exports after it has served a request is named in
// docs/metrics.md. Metrics that the host does not export by then are not checked.
func TestMetricsPageListsExportedMetrics(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/metrics.md")
	is.NoErr(err)
	bed := testbed.Start(t, testbed.Config{})
	address := "http://" + bed.Hosts[0].Address("callers")
	is.Equal(sendRequest(t, "POST", address+"/v1/pipelines/guidebook/runs", validBody, customerHeader("triglav")).Status, 200)
	var text string
	testbed.Until(t, "the metrics are reported", func() bool {
		resp, err := http.Get(address + "/metrics")
		is.NoErr(err)
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		text = string(data)
		return strings.Contains(text, "pimentorill_requests_total") && strings.Contains(text, "pimentorill_release_version 1")
	})
	for _, m := range metricName.FindAllStringSubmatch(text, -1) {
		name := strings.TrimPrefix(m[1], "pimentorill_")
		if !strings.Contains(string(page), "`"+name) {
			t.Errorf("docs/metrics.md does not name %s", name)
		}
	}
}
