package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/standin"
)

// TestStrayRefusalEndsItsConnection guards against a host that takes a claim which another one holds: after
// a refusal that answered nothing, each call got the response to the one before.
func TestStrayRefusalEndsItsConnection(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "500 Internal Server Error"} {
		t.Run(status[:3], func(t *testing.T) {
			is := is.New(t)
			stand, direct := startStore(t)
			_, err := direct.CompareAndSwap(t.Context(), "taken", 0, []byte("other"), 0)
			is.NoErr(err)
			proxy, err := standin.StartStrayProxy(stand.Address(), fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\n{}", status), 20*time.Millisecond)
			is.NoErr(err)
			defer proxy.Close()
			c := New(Config{Address: proxy.Address()})
			defer c.Close()
			for i := range 4 {
				_, _ = c.CompareAndSwap(t.Context(), fmt.Sprint("key-", i), 0, []byte("x"), 0)
				_, err := c.CompareAndSwap(t.Context(), "taken", 0, []byte("x"), 0)
				is.True(err != nil)
			}
		})
	}
}
