package httpapi_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"github.com/pimentorill/pimentorill/internal/testbed"
)

const differentBody = `{"input":"is the south face dry?"}`

func bookingHeaders(key string) map[string]string {
	return map[string]string{"Pimentorill-Customer": testbed.Customer, "Idempotency-Key": key}
}

// bookingURLs returns the URL of the booking pipeline on each host.
func bookingURLs(bed *testbed.Cluster) []string {
	var urls []string
	for _, address := range bed.CallerAddresses() {
		urls = append(urls, "http://"+address+"/v1/pipelines/booking/runs")
	}
	return urls
}

func TestKeyedRequestRunsOnceAcrossHosts(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{Hosts: 3})
	urls := bookingURLs(bed)
	for _, key := range []string{"yard-17", ulid.Make().String()} {
		var requests sync.WaitGroup
		responses := make([]response, 2*len(urls)) // two concurrent requests per host
		for i := range responses {
			requests.Go(func() { responses[i] = sendRequest(t, "POST", urls[i%len(urls)], validBody, bookingHeaders(key)) })
		}
		requests.Wait()
		output := ""
		for _, r := range responses {
			is.True(r.Status == 200 || r.Status == 409) // 409 while another request with the key runs
			if r.Status == 200 {
				is.True(output == "" || output == string(r.Body.Output))
				output = string(r.Body.Output)
			}
		}
		is.True(output != "")
		conflicting := sendRequest(t, "POST", urls[0], differentBody, bookingHeaders(key))
		is.Equal(conflicting.Status, 409)
		is.Equal(conflicting.Body.Error.Verdict, "not_run")
		testbed.Until(t, "every host returns the stored output", func() bool {
			for _, url := range urls {
				r := sendRequest(t, "POST", url, validBody, bookingHeaders(key))
				if r.Status != 200 || string(r.Body.Output) != output {
					return false
				}
			}
			return true
		})
	}
	is.Equal(len(bed.Fleet.RunCounter.RepeatedKeys()), 0)
	is.Equal(bed.Fleet.RunCounter.KeyCount(), 2)
}

// During a store outage, a key that the caller has chosen is refused, and a key that
// the host has issued runs once. A key that was modified, or issued to another customer,
// is invalid.
func TestOnlyIssuedKeysRunDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{})
	url := bookingURLs(bed)[0]
	bed.Store.SetOutage(true)
	refused := sendRequest(t, "POST", url, validBody, bookingHeaders(ulid.Make().String()))
	is.Equal(refused.Status, 503)
	is.Equal(refused.Body.Error.Code, "store_unavailable")
	is.Equal(refused.Body.Error.Verdict, "not_run")
	is.True(refused.Body.Error.RetryAfterMs > 0)
	is.Equal(bed.Fleet.RunCounter.KeyCount(), 0)

	key := issueKey(t, strings.Replace(url, "/v1/pipelines/booking/runs", "/v1/keys", 1))
	first := sendRequest(t, "POST", url, validBody, bookingHeaders(key))
	is.Equal(first.Status, 200)
	again := sendRequest(t, "POST", url, validBody, bookingHeaders(key))
	is.Equal(again.Status, 200)
	is.Equal(string(again.Body.Output), string(first.Body.Output))
	is.Equal(len(bed.Fleet.RunCounter.RepeatedKeys()), 0)

	forged := sendRequest(t, "POST", url, validBody, bookingHeaders(key[:len(key)-4]+"AAAA"))
	is.Equal(forged.Status, 400)
	stolen := sendRequest(t, "POST", url, validBody, map[string]string{"Pimentorill-Customer": "tazalyk", "Idempotency-Key": key})
	is.Equal(stolen.Status, 400)
}

// issueKey returns a new idempotency key from the host's /v1/keys URL.
func issueKey(t *testing.T, url string) string {
	t.Helper()
	req, err := http.NewRequest("POST", url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Pimentorill-Customer", testbed.Customer)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	var issued struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(data, &issued); err != nil || issued.Key == "" {
		t.Fatalf("no key in %s", data)
	}
	return issued.Key
}

// A host forwards a request with an issued key to the key's issuer, also while the
// store is unavailable. Once the issuer has failed, the other hosts report that the
// request may have run and do not run it again.
func TestIssuedKeyIsForwardedToItsIssuer(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{Hosts: 3})
	urls := bookingURLs(bed)
	key := issueKey(t, strings.Replace(urls[0], "/v1/pipelines/booking/runs", "/v1/keys", 1))
	for _, url := range urls {
		warmUpKey := ulid.Make().String()
		testbed.Until(t, "the service without at-most-once stages is warm", func() bool {
			return sendRequest(t, "POST", url, validBody, bookingHeaders(warmUpKey)).Status == 200
		})
	}
	keysBefore := bed.Fleet.RunCounter.KeyCount()
	bed.Store.SetOutage(true)
	output := ""
	for _, url := range []string{urls[1], urls[2], urls[0]} {
		testbed.Until(t, "a host that knows the key's issuer succeeds", func() bool {
			r := sendRequest(t, "POST", url, validBody, bookingHeaders(key))
			is.True(r.Body.Error.Verdict != "not_run" || bed.Fleet.RunCounter.KeyCount() == keysBefore)
			is.True(r.Status != 200 || output == "" || output == string(r.Body.Output))
			if r.Status == 200 {
				output = string(r.Body.Output)
			}
			return r.Status == 200
		})
	}
	is.Equal(len(bed.Fleet.RunCounter.RepeatedKeys()), 0)
	is.Equal(bed.Fleet.RunCounter.KeyCount(), keysBefore+1)
	testbed.Until(t, "all hosts confirm that a key of the caller has not run", func() bool {
		r := sendRequest(t, "POST", urls[1], validBody, bookingHeaders(ulid.Make().String()))
		is.Equal(r.Status, 503)
		return r.Body.Error.Verdict == "not_run"
	})
	bed.Kill(0)
	testbed.Until(t, "the failed issuer is detected", func() bool {
		r := sendRequest(t, "POST", urls[1], validBody, bookingHeaders(key))
		is.Equal(r.Body.Error.Verdict, "may_have_run")
		return r.Status == 409 || r.Status == 503
	})
	is.Equal(len(bed.Fleet.RunCounter.RepeatedKeys()), 0)
}
