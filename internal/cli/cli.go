// Package cli implements the pimentorill command-line tool, which sends requests
// to pipelines and operates hosts.
package cli

import (
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

// Exit codes of the tool.
const (
	// ExitOK means that the call succeeded.
	ExitOK = 0
	// ExitFailed means a failure that has no other exit code, such as a response that
	// cannot be decoded.
	ExitFailed = 1
	// ExitUsage means that the command line or a file was invalid and nothing was
	// sent.
	ExitUsage = 2
	// ExitNotRun means that the request failed or was rejected and has not run.
	ExitNotRun = 3
	// ExitMayHaveRun means that the request failed and may have run.
	ExitMayHaveRun = 4
	// ExitRan means that the request has run, but its response is not available.
	ExitRan = 5
)

// Env is the environment of the tool: its standard streams and variables.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Getenv returns the value of a variable, empty if it is not set.
	Getenv func(key string) string
	// DecodePlatformConfig decodes a configuration of the users' platform; nil if none can be.
	DecodePlatformConfig func(data []byte) (*catalog.Config, error)
}

// command is one subcommand.
type command struct {
	// name is one or two words.
	name string
	// argNames lists the arguments in the usage text. run passes them to parse.
	argNames string
	summary  string
	run      func(inv *invocation) error
}

// invocation is one execution of a subcommand.
type invocation struct {
	env   Env
	flags *flag.FlagSet
	// The fields from config to client are set by parse.
	config Config
	// outputFormat is text or json.
	outputFormat string
	args         []string
	client       *client
	// rawArgs holds the unparsed flags and arguments after the command's name.
	rawArgs []string
}

// outputJSON is the output format that prints responses as received.
const outputJSON = "json"

// commands returns the subcommands in the order of the usage text.
func commands() []command {
	return []command{
		{"run", "PIPELINE", "send a request to a pipeline and show its stages and cost", runPipeline},
		{"key", "", "issue an idempotency key that also works while the store is unavailable", issueKey},
		{"config check", "FILE", "check a release note or a platform's configuration before it is sent (-against FILE: and compare)", checkConfig},
		{"release check", "FILE", "show what a release note would change", checkRelease},
		{"release apply", "FILE", "apply a release note (-wait: until it is in force on all hosts)", applyRelease},
		{"release show", "", "show the release in force", showRelease},
		{"release history", "", "list the accepted release notes", showReleaseHistory},
		{"status", "", "show hosts, versions in force, zones and leases", showStatus},
		{"zone out", "ZONE", "take an availability zone out of service", takeZoneOut},
		{"zone in", "ZONE", "put an availability zone back into service", putZoneIn},
		{"cost", "", "show cost by customer, pipeline, stage and cause", showCost},
		{"audit", "", "show the audit trail", showAudit},
		{"endpoints", "", "list the endpoints and their state", showEndpoints},
		{"quarantine list", "", "list the quarantined requests, which crashed endpoints", listQuarantine},
		{"quarantine release", "FINGERPRINT", "remove a request from quarantine so that it can run again", removeFromQuarantine},
		{"explain", "REQUEST_ID", "show the stages, attempts and outcome of a request", showTrace},
	}
}

// Run executes the tool and returns its exit code. args are the arguments after the
// program's name.
func Run(env Env, args []string) int {
	if len(args) == 0 || slices.Contains([]string{"help", "-h", "-help", "--help"}, args[0]) {
		printUsage(env.Stdout)
		return ExitOK
	}
	cmd, rest, ok := findCommand(args)
	if !ok {
		fmt.Fprintf(env.Stderr, "pimentorill: unknown command %q\n\n", strings.Join(args[:min(2, len(args))], " "))
		printUsage(env.Stderr)
		return ExitUsage
	}
	inv := newInvocation(env, cmd, rest)
	err := cmd.run(inv)
	return inv.reportError(err)
}

// findCommand returns the subcommand that args start with, a name of one or two
// words, and the arguments after the name.
func findCommand(args []string) (command, []string, bool) {
	for _, cmd := range commands() {
		words := strings.Fields(cmd.name)
		if len(args) >= len(words) && slices.Equal(args[:len(words)], words) {
			return cmd, args[len(words):], true
		}
	}
	return command{}, nil, false
}

// newInvocation returns an invocation whose flags and arguments are not parsed.
func newInvocation(env Env, cmd command, rest []string) *invocation {
	inv := &invocation{env: env, rawArgs: rest}
	inv.flags = flag.NewFlagSet("pimentorill "+cmd.name, flag.ContinueOnError)
	inv.flags.SetOutput(env.Stderr)
	inv.flags.Usage = func() {
		fmt.Fprintf(env.Stderr, "usage: pimentorill %s [flags] %s\n%s\n\nflags:\n", cmd.name, cmd.argNames, cmd.summary)
		inv.flags.PrintDefaults()
	}
	return inv
}

// parse parses the flags, which may precede and follow the arguments, loads the
// configuration and creates the client. It requires one argument per name; the
// subcommand must define its own flags before the call. All errors are *usageError.
func (inv *invocation) parse(names ...string) error {
	file := inv.flags.String("config", "", "config `FILE` with addresses, token and customer (default $PIMENTORILL_CONFIG)")
	inv.flags.StringVar(&inv.outputFormat, "o", "text", "output `FORMAT`: text or json")
	for rest := inv.rawArgs; ; rest = inv.flags.Args()[1:] {
		if err := inv.flags.Parse(rest); err != nil {
			return &usageError{err: err, alreadyPrinted: true}
		}
		if inv.flags.NArg() == 0 {
			break
		}
		inv.args = append(inv.args, inv.flags.Arg(0))
	}
	if len(inv.args) != len(names) {
		return usagef("want %d arguments %s, got %d", len(names), strings.Join(names, " "), len(inv.args))
	}
	if inv.outputFormat != "text" && inv.outputFormat != outputJSON {
		return usagef("-o %q: want text or json", inv.outputFormat)
	}
	config, err := loadConfig(*file, inv.env.Getenv)
	if err != nil {
		return &usageError{err: err}
	}
	inv.config = config
	inv.client = newClient(config)
	return nil
}

// usageError reports an invalid command line or file. Nothing was sent.
type usageError struct {
	err error
	// alreadyPrinted is true if the flag package has printed the error.
	alreadyPrinted bool
}

func (e *usageError) Error() string { return e.err.Error() }

// usagef returns a *usageError with the formatted message.
func usagef(format string, args ...any) error {
	return &usageError{err: errors.Errorf(format, args...)}
}

// reportError prints the error, if any, and returns the exit code.
func (inv *invocation) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	var u *usageError
	if errors.As(err, &u) {
		if errors.Is(u.err, flag.ErrHelp) {
			return ExitOK
		}
		if !u.alreadyPrinted {
			fmt.Fprintln(inv.env.Stderr, "pimentorill:", u.err)
		}
		return ExitUsage
	}
	var apiErr *apiError
	if errors.As(err, &apiErr) {
		fmt.Fprint(inv.env.Stderr, apiErr.format())
		return apiErr.exitCode()
	}
	fmt.Fprintln(inv.env.Stderr, "pimentorill:", err)
	return ExitFailed
}

func printUsage(w io.Writer) {
	fmt.Fprint(w, "pimentorill sends requests to pipelines and operates hosts.\n\nusage: pimentorill COMMAND [flags] [arguments]\n\ncommands:\n")
	for _, cmd := range commands() {
		fmt.Fprintf(w, "  %-30s %s\n", strings.TrimSpace(cmd.name+" "+cmd.argNames), cmd.summary)
	}
	fmt.Fprint(w, `
Each command accepts -h, -o json and -config FILE. The addresses, the token, the
customer and the name of the operator are read from the config file (keys callers,
operators, token, customer, actor). Environment variables override the file:
PIMENTORILL_CALLERS, PIMENTORILL_OPERATORS, PIMENTORILL_TOKEN,
PIMENTORILL_CUSTOMER, PIMENTORILL_ACTOR. PIMENTORILL_CONFIG names the file if
-config is not given.

exit codes: 0 success; 1 other failure; 2 invalid command line or file, nothing
sent; 3 failed, has not run; 4 failed, may have run; 5 has run, no response.
`)
}
