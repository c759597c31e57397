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
type result struct {
	code     int
	out, err string
}

// tool returns a function that runs the tool against a host.
func tool(t *testing.T, env map[string]string) func(args ...string) result {
	t.Helper()
	return func(args ...string) result {
		var out, errs bytes.Buffer
		code := Run(Env{Stdin: strings.NewReader("from standard input"), Stdout: &out, Stderr: &errs, Getenv: func(k string) string { return env[k] }}, args)
		return result{code, out.String(), errs.String()}
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

func TestRunShowsStagesAndCost(t *testing.T) {
	is := is.New(t)
	run := tool(t, hostEnv(testbed.Start(t, testbed.Config{})))
	got := run("run", "guidebook", "-input", "is it dry?")
	is.Equal(got.code, ExitOK)
	for _, stage := range []string{"encode", "retrieve", "rerank", "generate", "cost"} {
		is.True(strings.Contains(got.err, stage))
	}
	is.Equal(run("run", "-stream", "guidebook", "-file", "-").code, ExitOK)
	raw := run("run", "guidebook", "-input", "x", "-o", "json")
	is.True(json.Valid([]byte(raw.out)))
	var answer struct {
		RequestID string `json:"request_id"`
	}
	is.NoErr(json.Unmarshal([]byte(raw.out), &answer))
	is.True(strings.Contains(run("explain", answer.RequestID).out, "attempt generate"))
	cost := run("cost")
	is.True(strings.Contains(cost.out, "rerank"))
}

func TestExitCodesTellWhatHappened(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{})
	run := tool(t, hostEnv(bed))
	is.Equal(run().code, ExitOK)
	is.Equal(run("nonsense").code, ExitUsage)
	is.Equal(run("run").code, ExitUsage)
	is.Equal(run("run", "guidebook").code, ExitUsage)
	is.Equal(run("run", "guidebook", "-nosuchflag").code, ExitUsage)
	is.Equal(run("status", "-o", "xml").code, ExitUsage)
	is.Equal(run("run", "nothing", "-input", "x").code, ExitNotRun)
	is.Equal(run("run", "booking", "-input", "x").code, ExitNotRun) // no key
	is.Equal(run("zone", "out", "nowhere").code, ExitNotRun)

	noToken := hostEnv(bed)
	delete(noToken, "PIMENTORILL_TOKEN")
	is.Equal(tool(t, noToken)("status").code, ExitUsage)

	nobody := hostEnv(bed)
	nobody["PIMENTORILL_CALLERS"] = "http://" + closedAddress(t)
	is.Equal(tool(t, nobody)("run", "guidebook", "-input", "x").code, ExitNotRun)

	silent := hostEnv(bed)
	silent["PIMENTORILL_CALLERS"] = "http://" + hangUpAddress(t)
	is.Equal(tool(t, silent)("run", "guidebook", "-input", "x").code, ExitMayHaveRun)
}

// closedAddress returns an address that nobody listens on.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// hangUpAddress returns an address that reads a request and hangs up.
func hangUpAddress(t *testing.T) string {
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
	run := tool(t, hostEnv(testbed.Start(t, testbed.Config{})))
	file := filepath.Join(t.TempDir(), "note.yaml")
	is.NoErr(os.WriteFile(file, []byte("id: drop\nauthor: ana\nbase: 1\nwithdrawn: {customers: [tazalyk]}\n"), 0o600))
	check := run("release", "check", file)
	is.Equal(check.code, ExitOK)
	is.True(strings.Contains(check.out, "tazalyk"))
	is.True(strings.Contains(run("release", "apply", file, "-wait", "5s").out, "in force on all 1 hosts"))
	is.Equal(run("release", "apply", file).code, ExitOK) // the same note again changes nothing
	is.True(strings.Contains(run("release", "history").out, "drop"))
	is.True(strings.Contains(run("release", "show").out, "version 2"))

	is.NoErr(os.WriteFile(file, []byte("id: late\nauthor: bor\nbase: 1\nwithdrawn: {customers: [triglav]}\n"), 0o600))
	late := run("release", "apply", file)
	is.Equal(late.code, ExitNotRun)
	is.True(strings.Contains(late.err, `note "drop" by ana`)) // the other note is named

	is.NoErr(os.WriteFile(file, []byte("id: bad\nauthor: bor\nbase: 2\nwithdrawn: {services: [encoders]}\n"), 0o600))
	bad := run("release", "apply", file)
	is.Equal(bad.code, ExitNotRun)
	is.True(strings.Contains(bad.err, "stages[0].service")) // each fault is named by its path
	is.NoErr(os.WriteFile(file, []byte("id: [\n"), 0o600))
	is.Equal(run("release", "check", file).code, ExitUsage)

	is.Equal(run("zone", "out", "kranj").code, ExitOK)
	is.True(strings.Contains(run("status").out, "out"))
	is.Equal(run("zone", "in", "kranj").code, ExitOK)
	is.True(strings.Contains(run("audit", "-kind", "release").out, "ana"))
	is.Equal(run("endpoints").code, ExitOK)
	is.Equal(run("explain", "nothing").code, ExitNotRun)
	is.Equal(run("quarantine", "list").code, ExitOK)
	is.Equal(run("quarantine", "release", "00112233445566778899aabbccddeeff").code, ExitNotRun)
}
