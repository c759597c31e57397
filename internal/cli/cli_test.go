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

// result is what one use of the tool gave.
type toolResult struct {
	exitCode       int
	stdout, stderr string
}

// tool returns a function that runs the tool against a host.
func newTool(t *testing.T, env map[string]string) func(args ...string) toolResult {
	t.Helper()
	return func(args ...string) toolResult {
		var out, errs bytes.Buffer
		code := Run(Env{Stdin: strings.NewReader("from standard input"), Stdout: &out, Stderr: &errs, Getenv: func(k string) string { return env[k] }}, args)
		return toolResult{code, out.String(), errs.String()}
	}
}

func hostEnv(bed *testbed.Cluster) map[string]string {
	return map[string]string{
		"PIMENTORILL_CALLERS":   "http://" + bed.Hosts[0].Address("callers"),
		"PIMENTORILL_OPERATORS": "http://" + bed.Hosts[0].Address("operators"),
		"PIMENTORILL_TOKEN":     testbed.Token,
		"PIMENTORILL_CUSTOMER":  testbed.Customer,
		"PIMENTORILL_ACTOR":     "ana",
	}
}

func TestRunPrintsStagesAndCost(t *testing.T) {
	is := is.New(t)
	run := newTool(t, hostEnv(testbed.Start(t, testbed.Config{})))
	got := run("run", "guidebook", "-input", "is it dry?")
	is.Equal(got.exitCode, ExitOK)
	for _, stage := range []string{"encode", "retrieve", "rerank", "generate", "cost"} {
		is.True(strings.Contains(got.stderr, stage))
	}
	is.Equal(run("run", "-stream", "guidebook", "-file", "-").exitCode, ExitOK)
	raw := run("run", "guidebook", "-input", "x", "-o", "json")
	is.True(json.Valid([]byte(raw.stdout)))
	var answer struct {
		RequestID string `json:"request_id"`
	}
	is.NoErr(json.Unmarshal([]byte(raw.stdout), &answer))
	is.True(strings.Contains(run("explain", answer.RequestID).stdout, "attempt generate"))
	cost := run("cost")
	is.True(strings.Contains(cost.stdout, "rerank"))
}

func TestExitCodesMatchOutcomes(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{})
	run := newTool(t, hostEnv(bed))
	is.Equal(run().exitCode, ExitOK)
	is.Equal(run("nonsense").exitCode, ExitUsage)
	is.Equal(run("run").exitCode, ExitUsage)
	is.Equal(run("run", "guidebook").exitCode, ExitUsage)
	is.Equal(run("run", "guidebook", "-nosuchflag").exitCode, ExitUsage)
	is.Equal(run("status", "-o", "xml").exitCode, ExitUsage)
	is.Equal(run("run", "nothing", "-input", "x").exitCode, ExitNotRun)
	is.Equal(run("run", "booking", "-input", "x").exitCode, ExitNotRun) // no key
	is.Equal(run("zone", "out", "nowhere").exitCode, ExitNotRun)

	noToken := hostEnv(bed)
	delete(noToken, "PIMENTORILL_TOKEN")
	is.Equal(newTool(t, noToken)("status").exitCode, ExitUsage)

	nobody := hostEnv(bed)
	nobody["PIMENTORILL_CALLERS"] = "http://" + unusedAddress(t)
	is.Equal(newTool(t, nobody)("run", "guidebook", "-input", "x").exitCode, ExitNotRun)

	silent := hostEnv(bed)
	silent["PIMENTORILL_CALLERS"] = "http://" + disconnectingAddress(t)
	is.Equal(newTool(t, silent)("run", "guidebook", "-input", "x").exitCode, ExitMayHaveRun)
}

// unusedAddress returns an address that nobody listens on.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// disconnectingAddress returns an address that reads a request and hangs up.
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

func TestReleaseCommands(t *testing.T) {
	is := is.New(t)
	run := newTool(t, hostEnv(testbed.Start(t, testbed.Config{})))
	file := filepath.Join(t.TempDir(), "note.yaml")
	is.NoErr(os.WriteFile(file, []byte("id: drop\nauthor: ana\nbase: 1\nwithdrawn: {customers: [tazalyk]}\n"), 0o600))
	check := run("release", "check", file)
	is.Equal(check.exitCode, ExitOK)
	is.True(strings.Contains(check.stdout, "tazalyk"))
	is.True(strings.Contains(run("release", "apply", file, "-wait", "5s").stdout, "in force on all 1 hosts"))
	is.Equal(run("release", "apply", file).exitCode, ExitOK) // the same note again changes nothing
	is.True(strings.Contains(run("release", "history").stdout, "drop"))
	is.True(strings.Contains(run("release", "show").stdout, "version 2"))

	is.NoErr(os.WriteFile(file, []byte("id: late\nauthor: bor\nbase: 1\nwithdrawn: {customers: [triglav]}\n"), 0o600))
	late := run("release", "apply", file)
	is.Equal(late.exitCode, ExitNotRun)
	is.True(strings.Contains(late.stderr, `note "drop" by ana`)) // the other note is named

	is.NoErr(os.WriteFile(file, []byte("id: bad\nauthor: bor\nbase: 2\nwithdrawn: {services: [encoders]}\n"), 0o600))
	bad := run("release", "apply", file)
	is.Equal(bad.exitCode, ExitNotRun)
	is.True(strings.Contains(bad.stderr, "stages[0].service")) // each fault is named by its path
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
