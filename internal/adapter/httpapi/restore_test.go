package httpapi_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"github.com/pimentorill/pimentorill/internal/testbed"
)

// Guards against a second run of a caller's key at another host after the store came back
// from a copy of before its claim.
func TestKeyedRequestRunsOnceAcrossARestore(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{Hosts: 3})
	urls := bookingURLs(bed)
	backup := bed.Store.Backup()
	keys := []string{"yard-17", ulid.Make().String()}
	outputs := make(map[string]string)
	for _, key := range keys {
		testbed.Until(t, "the request has run", func() bool {
			r := sendRequest(t, "POST", urls[0], validBody, bookingHeaders(key))
			outputs[key] = string(r.Body.Output)
			return r.Status == 200
		})
	}
	bed.Store.Restore(backup)
	for _, key := range keys {
		testbed.Until(t, "the other hosts return the output of the first run", func() bool {
			for _, url := range urls[1:] {
				r := sendRequest(t, "POST", url, validBody, bookingHeaders(key))
				if r.Status != 200 {
					is.True(r.Body.Error.Verdict != "not_run")
					return false
				}
				is.Equal(string(r.Body.Output), outputs[key])
			}
			return true
		})
	}
	is.Equal(len(bed.Fleet.RunCounter.RepeatedKeys()), 0)
	is.Equal(bed.Fleet.RunCounter.KeyCount(), 2)
}
