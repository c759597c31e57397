package testbed

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/invariant"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// Guards against a caller that takes a request that it never sent for one that may have
// run: a connection that was reset while it was dialled.
func TestRequestWhoseDialFailedHasNotRun(t *testing.T) {
	for _, c := range []struct {
		op   string
		err  error
		want verdict.Verdict
	}{
		{"dial", syscall.ECONNREFUSED, verdict.NotRun},
		{"dial", syscall.ECONNRESET, verdict.NotRun},
		{"dial", syscall.ETIMEDOUT, verdict.NotRun},
		{"read", syscall.ECONNRESET, verdict.MayHaveRun},
		{"write", syscall.ECONNRESET, verdict.MayHaveRun},
	} {
		is := is.New(t)
		caller := NewCaller(func() []string { return []string{"host:1"} }, invariant.New())
		transport := caller.client.Transport.(*http.Transport)
		transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: c.op, Net: "tcp", Err: os.NewSyscallError("connect", c.err)}
		}
		_, failure := caller.Send(t.Context(), "host:1", standin.PipelineGuidebook, Customer, "", json.RawMessage(`1`))
		is.Equal(failure.Verdict, c.want) // the operation that failed decides, not its error
	}
}
