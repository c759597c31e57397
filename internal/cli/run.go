package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// maxEventLineBytes bounds one line of an event stream.
const maxEventLineBytes = 64 << 20

// runOptions holds the flags of the run command. Each is the zero value if not given.
type runOptions struct {
	input, file, key, customer string
	deadline                   time.Duration
	stream                     bool
}

func runPipeline(inv *invocation) error {
	var opts runOptions
	inv.flags.StringVar(&opts.input, "input", "", "`INPUT` as JSON; other text is sent as a JSON string")
	inv.flags.StringVar(&opts.file, "file", "", "`FILE` with the input, - for standard input")
	inv.flags.StringVar(&opts.key, "key", "", "idempotency `KEY`, required for pipelines with at-most-once stages")
	inv.flags.StringVar(&opts.customer, "customer", "", "`NAME` of the customer (default: the configured customer)")
	inv.flags.DurationVar(&opts.deadline, "deadline", 0, "deadline as a `DURATION`, at most that of the pipeline (0: that of the pipeline)")
	inv.flags.BoolVar(&opts.stream, "stream", false, "print the tokens of the last stage as they arrive (ignored with -o json)")
	if err := inv.parse("PIPELINE"); err != nil {
		return err
	}
	r, err := inv.newRunRequest(opts)
	if err != nil {
		return err
	}
	return inv.client.send(r, func(body io.Reader) error { return inv.printEvents(body, opts.stream) })
}

// newRunRequest builds the HTTP request of a run. It always requests an event stream,
// so that stages are printed as they finish.
func (inv *invocation) newRunRequest(opts runOptions) (request, error) {
	input, err := inv.encodeInput(opts)
	if err != nil {
		return request{}, err
	}
	customer := opts.customer
	if customer == "" {
		customer = inv.config.Customer
	}
	if customer == "" {
		return request{}, usagef("no customer: set -customer, PIMENTORILL_CUSTOMER or the key customer in the config file")
	}
	headers := map[string]string{
		"Accept":               "text/event-stream",
		"Content-Type":         "application/json",
		"Pimentorill-Customer": customer,
		"Pimentorill-Stages":   "1",
	}
	if opts.key != "" {
		headers["Idempotency-Key"] = opts.key
	}
	if opts.deadline > 0 {
		headers["Pimentorill-Deadline-Ms"] = strconv.FormatInt(opts.deadline.Milliseconds(), 10)
	}
	target := strings.TrimSuffix(inv.config.Callers, "/") + "/v1/pipelines/" + url.PathEscape(inv.args[0]) + "/runs"
	return request{method: "POST", url: target, body: input, headers: headers}, nil
}

// encodeInput returns the request body of a run. It encodes input that is not valid
// JSON as a JSON string.
func (inv *invocation) encodeInput(opts runOptions) ([]byte, error) {
	raw, err := inv.readInput(opts)
	if err != nil {
		return nil, &usageError{err: err}
	}
	if !json.Valid(raw) {
		raw, err = json.Marshal(strings.TrimRight(string(raw), "\n"))
		if err != nil {
			return nil, &usageError{err: err}
		}
	}
	return json.Marshal(map[string]json.RawMessage{"input": raw})
}

// readInput returns the input from -input, -file or standard input as it is.
func (inv *invocation) readInput(opts runOptions) ([]byte, error) {
	switch {
	case opts.input != "" && opts.file != "":
		return nil, errors.New("want either -input or -file, got both")
	case opts.file == "-":
		return io.ReadAll(inv.env.Stdin)
	case opts.file != "":
		return os.ReadFile(opts.file)
	case opts.input != "":
		return []byte(opts.input), nil
	default:
		return nil, errors.New("no input: use -input TEXT, -file FILE or -file - for standard input")
	}
}

// printEvents prints the events of a stream until the result or error event. An error
// event gives its *apiError. A stream that ends earlier, or has a line of more than
// maxEventLineBytes, gives an *apiError with the verdict MayHaveRun.
func (inv *invocation) printEvents(body io.Reader, printTokens bool) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 64<<10), maxEventLineBytes)
	name := ""
	for lines.Scan() {
		line := lines.Bytes()
		if v, ok := bytes.CutPrefix(line, []byte("event: ")); ok {
			name = string(v)
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		last, err := inv.printEvent(name, data, printTokens)
		if last || err != nil {
			return err
		}
	}
	return connectionError(errors.New("the stream ended without a result or error event"), verdict.MayHaveRun)
}

// printEvent prints one event, or returns the *apiError of an error event. It ignores
// unknown events. last is true for a result or error event.
func (inv *invocation) printEvent(name string, data []byte, printTokens bool) (last bool, err error) {
	switch name {
	case "token":
		return false, inv.printToken(data, printTokens)
	case "stage":
		return false, inv.printStage(data)
	case "result":
		return true, inv.printResult(data, printTokens)
	case "error":
		var response struct {
			Error apiError `json:"error"`
		}
		if err := json.Unmarshal(data, &response); err != nil {
			return true, connectionError(err, verdict.MayHaveRun)
		}
		return true, &response.Error
	}
	return false, nil
}

// printToken prints the text of a token event to standard output if printTokens is set.
func (inv *invocation) printToken(data []byte, printTokens bool) error {
	if !printTokens || inv.outputFormat == outputJSON {
		return nil
	}
	var t struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &t); err != nil {
		return errors.Wrap(err, "decode token event")
	}
	_, err := io.WriteString(inv.env.Stdout, t.Text)
	return err
}

// printStage prints a finished stage to standard error, except with -o json.
func (inv *invocation) printStage(data []byte) error {
	if inv.outputFormat == outputJSON {
		return nil
	}
	var s pipeline.StageResult
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode stage event")
	}
	_, err := fmt.Fprintf(inv.env.Stderr, "%-12s %-24s %-16s attempts %d  %6d ms  cost %s\n",
		s.Stage, s.Endpoint, s.AvailabilityZone, s.Attempts, s.DurationMs, formatAmount(s.Cost))
	return err
}

// printResult prints the output to standard output and the cost to standard error. The
// output is omitted if its tokens have been printed.
func (inv *invocation) printResult(data []byte, printTokens bool) error {
	if inv.outputFormat == outputJSON {
		return inv.printJSON(data)
	}
	var response app.RunResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return errors.Wrap(err, "decode result event")
	}
	if printTokens {
		fmt.Fprintln(inv.env.Stdout)
	} else {
		fmt.Fprintln(inv.env.Stdout, string(response.Output))
	}
	_, err := fmt.Fprintf(inv.env.Stderr, "request %s  release %d  cost %s\n", response.RequestID, response.ReleaseVersion, formatAmount(response.Cost))
	return err
}

// issueKey requests an idempotency key and prints it.
func issueKey(inv *invocation) error {
	customer := inv.flags.String("customer", "", "`NAME` of the customer (default: the configured customer)")
	if err := inv.parse(); err != nil {
		return err
	}
	if *customer == "" {
		*customer = inv.config.Customer
	}
	r := request{method: "POST", url: strings.TrimSuffix(inv.config.Callers, "/") + "/v1/keys", headers: map[string]string{"Pimentorill-Customer": *customer}}
	return inv.client.send(r, func(body io.Reader) error {
		data, err := io.ReadAll(body)
		if err != nil {
			return errors.Wrap(err, "read the response")
		}
		if inv.outputFormat == outputJSON {
			return inv.printJSON(data)
		}
		var k struct {
			Key string `json:"key"`
		}
		if err := json.Unmarshal(data, &k); err != nil {
			return errors.Wrap(err, "decode the response")
		}
		_, err = fmt.Fprintln(inv.env.Stdout, k.Key)
		return err
	})
}
