package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/configcheck"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/strictyaml"
)

// maxConfigBytes bounds the size of a configuration file.
const maxConfigBytes = 16 << 20

// checkConfig checks a release note, or a configuration of the users' platform, before it is
// sent. It exits with ExitUsage if the file has errors.
func checkConfig(inv *invocation) error {
	against := inv.flags.String("against", "", "compare with the version in `FILE`: a release as `release show -o json` prints it, or a platform's configuration (default for notes: the release in force)")
	if err := inv.parse("FILE"); err != nil {
		return err
	}
	data, err := readConfigFile(inv.args[0], inv.env.Stdin)
	if err != nil {
		return &usageError{err: err}
	}
	var findings []configcheck.Finding
	if isPlatformConfig(data) {
		findings, err = inv.checkPlatformConfig(data, *against)
	} else {
		findings, err = inv.checkNote(data, *against)
	}
	if err != nil {
		return err
	}
	configcheck.Sort(findings)
	if err := inv.printFindings(findings); err != nil {
		return err
	}
	if configcheck.HasErrors(findings) {
		return usagef("%s has errors", inv.args[0])
	}
	return nil
}

// readConfigFile returns the content of a file, - for standard input.
func readConfigFile(name string, stdin io.Reader) ([]byte, error) {
	in := stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxConfigBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, name)
	case len(data) > maxConfigBytes:
		return nil, errors.Errorf("%s: more than %d MiB", name, maxConfigBytes>>20)
	case len(bytes.TrimSpace(data)) == 0:
		return nil, errors.Errorf("%s: the file is empty", name)
	}
	return data, nil
}

// isPlatformConfig reports whether a file is in the form of the platform's configuration: a JSON
// object with routes, which may be cut short. Notes have none.
func isPlatformConfig(data []byte) bool {
	d := json.NewDecoder(bytes.NewReader(data))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return false
	}
	for {
		key, err := d.Token()
		if err != nil || key == json.Delim('}') {
			return false
		}
		if key == "routes" {
			return true
		}
		var skipped json.RawMessage
		if d.Decode(&skipped) != nil {
			return false
		}
	}
}

func (inv *invocation) checkPlatformConfig(data []byte, against string) ([]configcheck.Finding, error) {
	if inv.env.DecodePlatformConfig == nil {
		return nil, usagef("%s: configurations of a platform are not known here", inv.args[0])
	}
	config, err := inv.env.DecodePlatformConfig(data)
	if err != nil {
		return nil, &usageError{err: placeJSONError(inv.args[0], data, err)}
	}
	findings := configcheck.Check(config)
	if against == "" {
		return findings, nil
	}
	data, err = readConfigFile(against, inv.env.Stdin)
	if err != nil {
		return nil, &usageError{err: err}
	}
	base, err := inv.env.DecodePlatformConfig(data)
	if err != nil {
		return nil, &usageError{err: placeJSONError(against, data, err)}
	}
	return append(findings, configcheck.Diff(base, config)...), nil
}

// placeJSONError returns a one-line error that names the file and the line at which JSON is wrong.
func placeJSONError(name string, data []byte, err error) error {
	offset := int64(-1)
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &wrongType):
		offset = wrongType.Offset
	}
	if offset < 0 || offset > int64(len(data)) {
		return errors.Wrap(err, name)
	}
	before := data[:offset]
	return errors.Wrapf(err, "%s: line %d, column %d", name, 1+bytes.Count(before, []byte("\n")), len(before)-bytes.LastIndexByte(before, '\n')-1)
}

func (inv *invocation) checkNote(data []byte, against string) ([]configcheck.Finding, error) {
	note, err := release.Parse(data)
	if err != nil {
		return nil, &usageError{err: errors.Errorf("%s: %s", inv.args[0], firstLine(err))}
	}
	var base release.Release
	if against == "" {
		if err := inv.client.callOperators("GET", "release", nil, &base); err != nil {
			return nil, err
		}
		return configcheck.CheckNote(&base, note), nil
	}
	data, err = readConfigFile(against, inv.env.Stdin)
	if err == nil {
		err = strictyaml.Decode(data, &base)
	}
	if err != nil {
		return nil, &usageError{err: errors.Errorf("%s: %s", against, firstLine(err))}
	}
	return configcheck.CheckNote(&base, note), nil
}

// firstLine returns the first line of an error's text.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

func (inv *invocation) printFindings(findings []configcheck.Finding) error {
	if inv.outputFormat == outputJSON {
		if findings == nil {
			findings = []configcheck.Finding{}
		}
		data, err := json.Marshal(struct {
			Findings []configcheck.Finding `json:"findings"`
		}{findings})
		if err != nil {
			return errors.Wrap(err, "encode the findings")
		}
		return inv.printJSON(data)
	}
	for _, f := range findings {
		fmt.Fprintf(inv.env.Stdout, "%s: %s: %s\n", f.Kind, f.Place, f.Text)
	}
	if len(findings) == 0 {
		fmt.Fprintln(inv.env.Stdout, "nothing found")
	}
	return nil
}
