package cli

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/testbed"
)

// toolResult is the exit code and the output of one execution of the tool.
type toolResult struct {
	exitCode       int
	stdout, stderr string
}

// newTool returns a function that runs the tool with the environment variables and the
// text "from standard input" on standard input.
func newTool(t *testing.T, env map[string]string) func(args ...string) toolResult {
	t.Helper()
	return func(args ...string) toolResult {
		var out, errs bytes.Buffer
		code := Run(Env{Stdin: strings.NewReader("from standard input"), Stdout: &out, Stderr: &errs, Getenv: func(k string) string { return env[k] }}, args)
		return toolResult{code, out.String(), errs.String()}
	}
}

// toolEnv returns the environment variables with which the tool connects to the first
// host of bed.
func toolEnv(bed *testbed.Cluster) map[string]string {
	return map[string]string{
		"PIMENTORILL_CALLERS":   "http://" + bed.Hosts[0].Address("callers"),
		"PIMENTORILL_OPERATORS": "http://" + bed.Hosts[0].Address("operators"),
		"PIMENTORILL_TOKEN":     testbed.OperatorToken,
		"PIMENTORILL_CUSTOMER":  testbed.Customer,
		"PIMENTORILL_ACTOR":     "ana",
	}
}

func TestRunExplainAndCostPrintStages(t *testing.T) {
	is := is.New(t)
	run := newTool(t, toolEnv(testbed.Start(t, testbed.Config{})))
	got := run("run", "guidebook", "-input", "is it dry?")
	is.Equal(got.exitCode, ExitOK)
	for _, stage := range []string{"encode", "retrieve", "rerank", "generate", "cost"} {
		is.True(strings.Contains(got.stderr, stage))
	}
	is.Equal(run("run", "-stream", "guidebook", "-file", "-").exitCode, ExitOK)
	raw := run("run", "guidebook", "-input", "x", "-o", "json")
	is.True(json.Valid([]byte(raw.stdout)))
	var response struct {
		RequestID string `json:"request_id"`
	}
	is.NoErr(json.Unmarshal([]byte(raw.stdout), &response))
	is.True(strings.Contains(run("explain", response.RequestID).stdout, "attempt generate"))
	cost := run("cost")
	is.True(strings.Contains(cost.stdout, "rerank"))
}

func TestExitCodesMatchOutcomes(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{})
	run := newTool(t, toolEnv(bed))
	is.Equal(run().exitCode, ExitOK) // prints the usage text
	is.Equal(run("nonsense").exitCode, ExitUsage)
	is.Equal(run("run").exitCode, ExitUsage)
	is.Equal(run("run", "guidebook").exitCode, ExitUsage) // no input
	is.Equal(run("run", "guidebook", "-nosuchflag").exitCode, ExitUsage)
	is.Equal(run("status", "-o", "xml").exitCode, ExitUsage)
	is.Equal(run("run", "nothing", "-input", "x").exitCode, ExitNotRun)
	is.Equal(run("run", "booking", "-input", "x").exitCode, ExitNotRun) // no idempotency key
	is.Equal(run("zone", "out", "nowhere").exitCode, ExitNotRun)

	noToken := toolEnv(bed)
	delete(noToken, "PIMENTORILL_TOKEN")
	is.Equal(newTool(t, noToken)("status").exitCode, ExitUsage)

	noServer := toolEnv(bed)
	noServer["PIMENTORILL_CALLERS"] = "http://" + unusedAddress(t)
	is.Equal(newTool(t, noServer)("run", "guidebook", "-input", "x").exitCode, ExitNotRun)

	disconnecting := toolEnv(bed)
	disconnecting["PIMENTORILL_CALLERS"] = "http://" + disconnectingAddress(t)
	is.Equal(newTool(t, disconnecting)("run", "guidebook", "-input", "x").exitCode, ExitMayHaveRun)
}

// unusedAddress returns an address that nothing listens on.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// disconnectingAddress returns the address of a server that reads a request and
// closes the connection without a response.
func disconnectingAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			conn.Close()
		}
	}()
	return l.Addr().String()
}

func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	run := newTool(t, toolEnv(testbed.Start(t, testbed.Config{})))
	file := filepath.Join(t.TempDir(), "note.yaml")
	is.NoErr(os.WriteFile(file, []byte("id: drop\nauthor: ana\nbase: 1\nwithdrawn: {customers: [tazalyk]}\n"), 0o600))
	check := run("release", "check", file)
	is.Equal(check.exitCode, ExitOK)
	is.True(strings.Contains(check.stdout, "tazalyk"))
	is.True(strings.Contains(run("release", "apply", file, "-wait", "5s").stdout, "in force on all 1 hosts"))
	is.Equal(run("release", "apply", file).exitCode, ExitOK) // applying the same note again has no effect
	is.True(strings.Contains(run("release", "history").stdout, "drop"))
	is.True(strings.Contains(run("release", "show").stdout, "version 2"))

	is.NoErr(os.WriteFile(file, []byte("id: late\nauthor: bor\nbase: 1\nwithdrawn: {customers: [triglav]}\n"), 0o600))
	late := run("release", "apply", file)
	is.Equal(late.exitCode, ExitNotRun)
	is.True(strings.Contains(late.stderr, `note "drop" by ana`)) // the error names the conflicting note

	is.NoErr(os.WriteFile(file, []byte("id: bad\nauthor: bor\nbase: 2\nwithdrawn: {services: [encoders]}\n"), 0o600))
	bad := run("release", "apply", file)
	is.Equal(bad.exitCode, ExitNotRun)
	is.True(strings.Contains(bad.stderr, "stages[0].service")) // the error names the path of the invalid value
	is.NoErr(os.WriteFile(file, []byte("id: [\n"), 0o600))
	is.Equal(run("release", "check", file).exitCode, ExitUsage)

	is.Equal(run("zone", "out", "kranj").exitCode, ExitOK)
	is.True(strings.Contains(run("status").stdout, "out"))
	is.Equal(run("zone", "in", "kranj").exitCode, ExitOK)
	is.True(strings.Contains(run("audit", "-kind", "release").stdout, "ana"))
	is.Equal(run("endpoints").exitCode, ExitOK)
	is.Equal(run("explain", "nothing").exitCode, ExitNotRun)
	is.Equal(run("quarantine", "list").exitCode, ExitOK)
	is.Equal(run("quarantine", "release", "00112233445566778899aabbccddeeff").exitCode, ExitNotRun)
}
