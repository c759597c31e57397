package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/daemon"
	"github.com/pimentorill/pimentorill/internal/standin"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

// BenchmarkBooking measures sequential bookings: with the caller's own keys,
// which are claimed in the store, and with issued keys, which need no store
// access.
func BenchmarkBooking(b *testing.B) {
	cluster := testbed.Start(b, testbed.Config{})
	host := cluster.Hosts[0].App()
	keys := map[string]func() string{
		"own key": daemon.NewID,
		"issued key": func() string {
			k, err := host.IssueKey(testbed.Customer)
			if err != nil {
				b.Fatal(err)
			}
			return k.Key
		},
	}
	for name, next := range keys {
		b.Run(name, func(b *testing.B) {
			for i := range b.N {
				in := app.RunRequest{
					Customer: testbed.Customer, Pipeline: standin.PipelineBooking, Key: next(),
					Input: json.RawMessage(fmt.Sprintf(`"yard %d"`, i)),
				}
				if _, err := host.Run(context.Background(), in); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
