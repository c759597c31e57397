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
)

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 64 << 20

// runFlags are the flags of run.
type runFlags struct {
	input, file, key, customer string
	deadline                   time.Duration
	stream                     bool
}

func runPipeline(c *call) error {
	var f runFlags
	c.flags.StringVar(&f.input, "input", "", "the input: JSON, or a text that is sent as a JSON string")
	c.flags.StringVar(&f.file, "file", "", "a file with the input, - for standard input")
	c.flags.StringVar(&f.key, "key", "", "idempotency key, needed where a stage may not be repeated")
	c.flags.StringVar(&f.customer, "customer", "", "the customer (default from the config)")
	c.flags.DurationVar(&f.deadline, "deadline", 0, "deadline, at most the pipeline's own (0: the pipeline's own)")
	c.flags.BoolVar(&f.stream, "stream", false, "print the tokens of the last stage as they come")
	if err := c.parse("PIPELINE"); err != nil {
		return err
	}
	r, err := c.runRequest(f)
	if err != nil {
		return err
	}
	return c.client.send(r, func(body io.Reader) error { return c.showEvents(body, f.stream) })
}

// runRequest builds the call: always a stream, so that stages show as they finish.
func (c *call) runRequest(f runFlags) (request, error) {
	input, err := c.readInput(f)
	if err != nil {
		return request{}, err
	}
	customer := f.customer
	if customer == "" {
		customer = c.config.Customer
	}
	if customer == "" {
		return request{}, usagef("no customer: use -customer, PIMENTORILL_CUSTOMER or key customer in the config file")
	}
	headers := map[string]string{
		"Accept":               "text/event-stream",
		"Content-Type":         "application/json",
		"Pimentorill-Customer": customer,
		"Pimentorill-Stages":   "1",
	}
	if f.key != "" {
		headers["Idempotency-Key"] = f.key
	}
	if f.deadline > 0 {
		headers["Pimentorill-Deadline-Ms"] = strconv.FormatInt(f.deadline.Milliseconds(), 10)
	}
	target := strings.TrimSuffix(c.config.Callers, "/") + "/v1/pipelines/" + url.PathEscape(c.args[0]) + "/runs"
	return request{method: "POST", url: target, body: input, headers: headers}, nil
}

// readInput returns the body of a run.
func (c *call) readInput(f runFlags) ([]byte, error) {
	raw, err := c.inputBytes(f)
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

func (c *call) inputBytes(f runFlags) ([]byte, error) {
	switch {
	case f.input != "" && f.file != "":
		return nil, errors.New("give -input or -file, not both")
	case f.file == "-":
		return io.ReadAll(c.env.Stdin)
	case f.file != "":
		return os.ReadFile(f.file)
	case f.input != "":
		return []byte(f.input), nil
	default:
		return nil, errors.New("no input: use -input TEXT, -file FILE or -file - for standard input")
	}
}

// showEvents prints a stream of events.
func (c *call) showEvents(body io.Reader, tokens bool) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 64<<10), maxEventBytes)
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
		last, err := c.showEvent(name, data, tokens)
		if last || err != nil {
			return err
		}
	}
	return brokenCall(errors.New("the stream ended before its result"))
}

// showEvent prints one event and reports whether it is the last.
func (c *call) showEvent(name string, data []byte, tokens bool) (last bool, err error) {
	switch name {
	case "token":
		return false, c.showToken(data, tokens)
	case "stage":
		return false, c.showStage(data)
	case "result":
		return true, c.showResult(data, tokens)
	case "error":
		var answer struct {
			Error apiError `json:"error"`
		}
		if err := json.Unmarshal(data, &answer); err != nil {
			return true, brokenCall(err)
		}
		return true, &answer.Error
	}
	return false, nil
}

func (c *call) showToken(data []byte, tokens bool) error {
	if !tokens || c.output == outputJSON {
		return nil
	}
	var t struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &t); err != nil {
		return errors.Wrap(err, "token event")
	}
	_, err := io.WriteString(c.env.Stdout, t.Text)
	return err
}

func (c *call) showStage(data []byte) error {
	if c.output == outputJSON {
		return nil
	}
	var s pipeline.StageResult
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "stage event")
	}
	_, err := fmt.Fprintf(c.env.Stderr, "%-12s %-24s %-16s attempts %d  %6d ms  cost %s\n",
		s.Stage, s.Endpoint, s.AvailabilityZone, s.Attempts, s.DurationMs, money(s.Cost))
	return err
}

func (c *call) showResult(data []byte, tokens bool) error {
	if c.output == outputJSON {
		return c.printRaw(data)
	}
	var a app.RunResponse
	if err := json.Unmarshal(data, &a); err != nil {
		return errors.Wrap(err, "result event")
	}
	if tokens {
		fmt.Fprintln(c.env.Stdout)
	} else {
		fmt.Fprintln(c.env.Stdout, string(a.Output))
	}
	_, err := fmt.Fprintf(c.env.Stderr, "request %s  release %d  cost %s\n", a.RequestID, a.ReleaseVersion, money(a.Cost))
	return err
}

func issueKey(c *call) error {
	customer := c.flags.String("customer", "", "the customer (default from the config)")
	if err := c.parse(); err != nil {
		return err
	}
	if *customer == "" {
		*customer = c.config.Customer
	}
	r := request{method: "POST", url: strings.TrimSuffix(c.config.Callers, "/") + "/v1/keys", headers: map[string]string{"Pimentorill-Customer": *customer}}
	return c.client.send(r, func(body io.Reader) error {
		data, err := io.ReadAll(body)
		if err != nil {
			return errors.Wrap(err, "read the answer")
		}
		if c.output == outputJSON {
			return c.printRaw(data)
		}
		var k struct {
			Key string `json:"key"`
		}
		if err := json.Unmarshal(data, &k); err != nil {
			return errors.Wrap(err, "decode the answer")
		}
		_, err = fmt.Fprintln(c.env.Stdout, k.Key)
		return err
	})
}
