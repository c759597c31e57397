package verdict

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// TestDefaultVerdicts checks that an unset verdict and that of a plain error are
// MayHaveRun, and that the verdict without an error is Ran.
func TestDefaultVerdicts(t *testing.T) {
	is := is.New(t)
	is.Equal((&Error{}).Verdict.String(), "may_have_run")
	is.Equal(Of(errors.New("plain")), MayHaveRun)
	is.Equal(Of(nil), Ran)
}

func TestVerdictTextRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		text, err := v.MarshalText()
		is.NoErr(err)
		var got Verdict
		is.NoErr(got.UnmarshalText(text))
		is.Equal(got, v)
	}
	var v Verdict
	is.True(v.UnmarshalText([]byte("perhaps")) != nil)
}

// TestFromFindsTheErrorInTheChain checks that From unwraps a wrapped Error with its
// code and verdict, and that the code maps to its HTTP status.
func TestFromFindsTheErrorInTheChain(t *testing.T) {
	is := is.New(t)
	inner := New(CodeNoCapacity, NotRun, "full")
	got := From(errors.Wrap(inner, "stage encode"))
	is.Equal(got.Code, CodeNoCapacity)
	is.Equal(got.Verdict, NotRun)
	is.Equal(got.Code.HTTPStatus(), 503)
}
