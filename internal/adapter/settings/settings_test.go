package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validSettings = `
host: entry-1
availability_zone: ljubljana
store: {url: "http://127.0.0.1:9100"}
host_list: {url: "http://127.0.0.1:9101"}
peers: {shared_key: local-peers}
operators: {token: local-only}
`

func TestParseFillsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Listen.Callers, "127.0.0.1:8700")
	is.Equal(s.DrainSeconds, 30)
}

func TestParseErrorListsAllInvalidKeys(t *testing.T) {
	_, err := Parse([]byte(`
host: "Entry 1"
listen: {callers: "0.0.0.0:80", operators: nowhere}
store: {url: "http://127.0.0.1:1"}
peers: {shared_key: x, seeds: [a]}
limits: {runs: 0}
log: {format: xml}
embedded: true
`))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, key := range []string{"host:", "availability_zone:", "listen.callers:", "listen.operators:", "store.url:",
		"peers.shared_key:", "peers.seeds[0]:", "operators.token:", "limits.runs:", "log.format:"} {
		if !strings.Contains(err.Error(), key) {
			t.Errorf("no fault for %s in %s", key, err)
		}
	}
}

// The host advertises listen.peers to other hosts, so 0.0.0.0 is invalid there. It is
// valid for callers.
func TestPeersAddressMustBeReachable(t *testing.T) {
	_, err := Parse([]byte(validSettings + "listen: {callers: \"0.0.0.0:1\", peers: \"0.0.0.0:2\"}\n"))
	if err == nil || !strings.Contains(err.Error(), "listen.peers:") || strings.Contains(err.Error(), "listen.callers:") {
		t.Fatal(err)
	}
}

// Settings that Parse accepts have a host name.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("host: [x]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse(data); err == nil && s.Host == "" {
			t.Fatal("Parse accepted settings without a host name")
		}
	})
}
