// Package cli is the operators' command-line tool.
package cli

import (
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Exit codes of the tool.
const (
	// ExitOK means that the call was answered.
	ExitOK = 0
	// ExitFailed means a failure that none of the other codes tells of.
	ExitFailed = 1
	// ExitUsage means that the command line or a file was wrong; nothing was sent.
	ExitUsage = 2
	// ExitNotRun means that the request was refused and has not run.
	ExitNotRun = 3
	// ExitMayHaveRun means that the request failed and may have run.
	ExitMayHaveRun = 4
	// ExitRan means that the request has run, but its answer is not to be had.
	ExitRan = 5
)

// Env is what the tool takes from its surroundings.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(key string) string
}

// command is one subcommand.
type command struct {
	name     string
	argNames string
	summary  string
	run      func(c *invocation) error
}

// call is one use of a subcommand.
type invocation struct {
	env    Env
	flags  *flag.FlagSet
	config Config
	output string
	args   []string
	client *client
	// rest holds the words behind the command's name.
	rawArgs []string
}

const outputJSON = "json"

func commands() []command {
	return []command{
		{"run", "PIPELINE", "send a request to a pipeline and show its stages and cost", runPipeline},
		{"key", "", "get an issued idempotency key, which works while the store is away", issueKey},
		{"release check", "FILE", "show what a release note would change", releaseCheck},
		{"release apply", "FILE", "put a release note in force (-wait: until all hosts have it)", releaseApply},
		{"release show", "", "show the release in force", releaseShow},
		{"release history", "", "list the accepted notes", releaseHistory},
		{"status", "", "show hosts, versions in force, zones and leases", showStatus},
		{"zone out", "ZONE", "take an availability zone out of service", zoneOut},
		{"zone in", "ZONE", "bring an availability zone back in service", zoneIn},
		{"cost", "", "show cost by customer, pipeline, stage and cause", showCost},
		{"audit", "", "show the audit trail", showAudit},
		{"endpoints", "", "list the endpoints and their state", showEndpoints},
		{"quarantine list", "", "list the requests that crashed endpoints and are refused", quarantineList},
		{"quarantine release", "FINGERPRINT", "let a refused request run again", quarantineRelease},
		{"explain", "REQUEST_ID", "tell what became of a request", explain},
	}
}

// Run runs the tool with the arguments after the program's name and returns
// the exit code.
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
	c := newInvocation(env, cmd, rest)
	err := cmd.run(c)
	return c.reportError(err)
}

// match finds the subcommand, whose name is one word or two.
func findCommand(args []string) (command, []string, bool) {
	for _, cmd := range commands() {
		words := strings.Fields(cmd.name)
		if len(args) >= len(words) && slices.Equal(args[:len(words)], words) {
			return cmd, args[len(words):], true
		}
	}
	return command{}, nil, false
}

func newInvocation(env Env, cmd command, rest []string) *invocation {
	c := &invocation{env: env, rawArgs: rest}
	c.flags = flag.NewFlagSet("pimentorill "+cmd.name, flag.ContinueOnError)
	c.flags.SetOutput(env.Stderr)
	c.flags.Usage = func() {
		fmt.Fprintf(env.Stderr, "usage: pimentorill %s [flags] %s\n%s\n\nflags:\n", cmd.name, cmd.argNames, cmd.summary)
		c.flags.PrintDefaults()
	}
	return c
}

// parse reads the flags, which may stand before and after the arguments, and
// the configuration. It wants as many arguments as names are given.
func (c *invocation) parse(names ...string) error {
	file := c.flags.String("config", "", "file with addresses and token (default $PIMENTORILL_CONFIG)")
	c.flags.StringVar(&c.output, "o", "text", "output: text or json")
	for rest := c.rawArgs; ; rest = c.flags.Args()[1:] {
		if err := c.flags.Parse(rest); err != nil {
			return &usageError{err: err, alreadyPrinted: true}
		}
		if c.flags.NArg() == 0 {
			break
		}
		c.args = append(c.args, c.flags.Arg(0))
	}
	if len(c.args) != len(names) {
		return usagef("want %d arguments %s, got %d", len(names), strings.Join(names, " "), len(c.args))
	}
	if c.output != "text" && c.output != outputJSON {
		return usagef("-o %q: want text or json", c.output)
	}
	config, err := loadConfig(*file, c.env.Getenv)
	if err != nil {
		return &usageError{err: err}
	}
	c.config = config
	c.client = newClient(config)
	return nil
}

// usageError is a mistake on the command line or in a file: nothing was sent.
type usageError struct {
	err error
	// shown says that the flag package has printed it already.
	alreadyPrinted bool
}

func (e *usageError) Error() string { return e.err.Error() }

func usagef(format string, args ...any) error {
	return &usageError{err: errors.Errorf(format, args...)}
}

// exit prints the error, if any, and returns the exit code.
func (c *invocation) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	var u *usageError
	if errors.As(err, &u) {
		if errors.Is(u.err, flag.ErrHelp) {
			return ExitOK
		}
		if !u.alreadyPrinted {
			fmt.Fprintln(c.env.Stderr, "pimentorill:", u.err)
		}
		return ExitUsage
	}
	var refused *apiError
	if errors.As(err, &refused) {
		fmt.Fprint(c.env.Stderr, refused.format())
		return refused.exitCode()
	}
	fmt.Fprintln(c.env.Stderr, "pimentorill:", err)
	return ExitFailed
}

func printUsage(w io.Writer) {
	fmt.Fprint(w, "pimentorill runs requests and operates hosts of the serving system.\n\nusage: pimentorill COMMAND [flags] [arguments]\n\ncommands:\n")
	for _, cmd := range commands() {
		fmt.Fprintf(w, "  %-30s %s\n", strings.TrimSpace(cmd.name+" "+cmd.argNames), cmd.summary)
	}
	fmt.Fprint(w, `
Each command takes -h, -o json and -config FILE. Addresses and token come from
the file (keys callers, operators, token, customer), or from the environment,
which goes first: PIMENTORILL_CALLERS, PIMENTORILL_OPERATORS, PIMENTORILL_TOKEN,
PIMENTORILL_CUSTOMER.

exit codes: 0 answered; 1 other failure; 2 wrong command line or file, nothing
sent; 3 refused and not run; 4 failed and may have run; 5 has run, no answer.
`)
}
