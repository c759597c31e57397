package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/url"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/adapter/audit"
	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/release"
)

// formatAmount formats an amount, given in millionths of the unit of currency, in units.
func formatAmount(millionths int64) string { return fmt.Sprintf("%.6f", float64(millionths)/1e6) }

// printJSON prints JSON as received, followed by a newline.
func (inv *invocation) printJSON(data []byte) error {
	_, err := fmt.Fprintln(inv.env.Stdout, string(data))
	return err
}

// callAndPrint sends a request to the operators' API and prints the response: as
// received with -o json, otherwise with printText, which separates columns by tabs.
func callAndPrint[T any](inv *invocation, method, path string, body []byte, printText func(w io.Writer, v T)) error {
	var raw json.RawMessage
	if err := inv.client.callOperators(method, path, body, &raw); err != nil {
		return err
	}
	if inv.outputFormat == outputJSON {
		return inv.printJSON(raw)
	}
	var v T
	if err := json.Unmarshal(raw, &v); err != nil {
		return errors.Wrap(err, "decode the response")
	}
	w := tabwriter.NewWriter(inv.env.Stdout, 0, 8, 2, ' ', 0)
	printText(w, v)
	return w.Flush()
}

// callAndPrintWithoutArgs runs a command without arguments that prints the response
// of one GET request.
func callAndPrintWithoutArgs[T any](inv *invocation, path string, printText func(w io.Writer, v T)) error {
	if err := inv.parse(); err != nil {
		return err
	}
	return callAndPrint(inv, "GET", path, nil, printText)
}

// parseAndReadNote parses the flags and the FILE argument and returns the content of
// the file, - for standard input. It returns a *usageError if the content cannot be
// parsed as a release note; the host validates the values.
func (inv *invocation) parseAndReadNote() ([]byte, error) {
	if err := inv.parse("FILE"); err != nil {
		return nil, err
	}
	var data []byte
	var err error
	if inv.args[0] == "-" {
		data, err = io.ReadAll(inv.env.Stdin)
	} else {
		data, err = os.ReadFile(inv.args[0])
	}
	if err != nil {
		return nil, &usageError{err: err}
	}
	if _, err := release.Parse(data); err != nil {
		return nil, &usageError{err: err}
	}
	return data, nil
}

func checkRelease(inv *invocation) error {
	note, err := inv.parseAndReadNote()
	if err != nil {
		return err
	}
	return callAndPrint(inv, "POST", "release/check", note, func(w io.Writer, preview app.Preview) {
		fmt.Fprintf(w, "would create version %d from version %d:\n", preview.Version, preview.Base)
		printChanges(w, preview.Changes)
	})
}

func printChanges(w io.Writer, changes []release.Change) {
	for _, ch := range changes {
		fmt.Fprintf(w, "  %s\t%s\t%s\n", ch.Kind, ch.Section, ch.Name)
	}
}

func printAccepted(w io.Writer, a release.AcceptedNote) {
	fmt.Fprintf(w, "version %d accepted: note %s by %s\n", a.Version, a.NoteID, a.Author)
	printChanges(w, a.Changes)
}

func applyRelease(inv *invocation) error {
	wait := inv.flags.Duration("wait", 0, "maximum `DURATION` to wait until all known hosts have the note in force; lists the hosts that do not (0: do not wait)")
	note, err := inv.parseAndReadNote()
	if err != nil {
		return err
	}
	path := "release/apply"
	if *wait > 0 {
		path += "?wait_ms=" + fmt.Sprint(wait.Milliseconds())
	}
	return callAndPrint(inv, "POST", path, note, func(w io.Writer, a app.AcceptedNoteStatus) {
		printAccepted(w, a.AcceptedNote)
		if a.Rollout != nil {
			printRolloutStatus(w, *a.Rollout)
		}
	})
}

// printRolloutStatus prints on how many hosts the release is in force, and the hosts on
// which it is not.
func printRolloutStatus(w io.Writer, status app.RolloutStatus) {
	if status.Everywhere {
		fmt.Fprintf(w, "in force on all %d hosts\n", len(status.Hosts))
		return
	}
	fmt.Fprintf(w, "in force on %d hosts\n", len(status.Hosts))
	for _, h := range status.Behind {
		fmt.Fprintf(w, "  behind\t%s\t%s\tversion %d\n", h.Host, h.AvailabilityZone, h.Version)
	}
	for _, h := range status.Unresponsive {
		fmt.Fprintf(w, "  not heard of\t%s\t%s\tversion %d\tsince %s\n", h.Host, h.AvailabilityZone, h.Version, h.LastHeardAt.Format(time.RFC3339))
	}
}

func showRelease(inv *invocation) error {
	return callAndPrintWithoutArgs(inv, "release", func(w io.Writer, r release.Release) {
		fmt.Fprintf(w, "version %d, note %s by %s, accepted %s\n", r.Version, r.NoteID, r.Author, r.AcceptedAt.Format(time.RFC3339))
		for _, p := range r.Pipelines {
			fmt.Fprintf(w, "pipeline %s\tdeadline %s\t%d stages\n", p.Name, p.Timeout(), len(p.Stages))
		}
		for _, cu := range r.Customers {
			fmt.Fprintf(w, "customer %s\tshare %d\t%v\n", cu.Name, cu.Share, cu.Pipelines)
		}
		fmt.Fprintf(w, "zones %d, services %d, endpoints %d, models %d (-o json shows all)\n", len(r.Zones), len(r.Services), len(r.Endpoints), len(r.Models))
	})
}

// historyResponse is the response of GET release/history.
type historyResponse struct {
	Notes []release.AcceptedNote `json:"notes"`
}

func showReleaseHistory(inv *invocation) error {
	return callAndPrintWithoutArgs(inv, "release/history", func(w io.Writer, h historyResponse) {
		fmt.Fprintln(w, "VERSION\tAT\tAUTHOR\tNOTE\tCHANGES\tREASON")
		for _, n := range h.Notes {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%s\n", n.Version, n.At.Format(time.RFC3339), n.Author, n.NoteID, len(n.Changes), n.Reason)
		}
	})
}

func showStatus(inv *invocation) error {
	return callAndPrintWithoutArgs(inv, "status", func(w io.Writer, s app.Status) {
		ready := "ready"
		if !s.Ready {
			ready = "not ready: " + s.NotReadyReason
		}
		fmt.Fprintf(w, "host %s\tzone %s\t%s\n", s.Host, s.AvailabilityZone, ready)
		fmt.Fprintf(w, "release %d\tnote %s\tin force here since %s\n", s.ReleaseVersion, s.ReleaseNote, s.InForceAt.Format(time.RFC3339))
		fmt.Fprintf(w, "store last heard\t%s\n", s.StoreRespondedAt.Format(time.RFC3339))
		for _, z := range s.Zones {
			state := "in"
			if z.OutOfService {
				state = "out"
			}
			if slices.Contains(s.UnreachableZones, z.Name) {
				state += ", unreachable from this host"
			}
			fmt.Fprintf(w, "zone %s\tregion %s\t%s\n", z.Name, z.Region, state)
		}
		if s.Stale {
			fmt.Fprintln(w, "stale\tneither the store nor another zone responds; this status may be out of date")
		}
		for _, zone := range slices.Sorted(maps.Keys(s.LeaseHolders)) {
			fmt.Fprintf(w, "lease of zone %s\tlast reported holder %s\n", zone, s.LeaseHolders[zone])
		}
		for _, h := range s.Hosts {
			fmt.Fprintf(w, "known host %s\tzone %s\t%s, release %d, heard %s\n", h.Host, h.AvailabilityZone, h.State, h.Version, h.LastHeardAt.Format(time.RFC3339))
		}
		fmt.Fprintf(w, "requests under way\t%d\n", s.RequestsInProgress)
	})
}

func takeZoneOut(inv *invocation) error { return setZoneService(inv, "out") }

func putZoneIn(inv *invocation) error { return setZoneService(inv, "in") }

func setZoneService(inv *invocation, action string) error {
	if err := inv.parse("ZONE"); err != nil {
		return err
	}
	return callAndPrint(inv, "POST", "zones/"+url.PathEscape(inv.args[0])+"/"+action, nil, printAccepted)
}

// costResponse is the response of GET cost.
type costResponse struct {
	Rows []cost.Row `json:"rows"`
	// Deferred is the number of the host's attempts whose cost is still being queried,
	// Unknown the number of those for which it gave up.
	Deferred int   `json:"deferred"`
	Unknown  int64 `json:"unknown"`
	// Stale lists the hosts that did not respond.
	Stale []string `json:"stale,omitempty"`
	// Partial is true if the stored rows could not be read.
	Partial bool `json:"partial"`
}

// printOmissions prints what the rows do not include and which of them may be out of
// date.
func (r costResponse) printOmissions(w io.Writer) {
	if r.Partial {
		fmt.Fprintln(w, "partial: the store is unavailable; only rows of hosts that responded are included")
	}
	for _, host := range r.Stale {
		fmt.Fprintf(w, "stale: host %s did not respond; its rows are the last stored ones\n", host)
	}
	if r.Deferred > 0 || r.Unknown > 0 {
		fmt.Fprintf(w, "not in yet: %d attempts whose charges are being queried from their endpoints, %d given up\n", r.Deferred, r.Unknown)
	}
}

func showCost(inv *invocation) error {
	return callAndPrintWithoutArgs(inv, "cost", func(w io.Writer, response costResponse) {
		fmt.Fprintln(w, "CUSTOMER\tPIPELINE\tSTAGE\tCAUSE\tATTEMPTS\tCOST")
		for _, r := range response.Rows {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", r.Customer, r.Pipeline, r.Stage, r.Cause, r.Attempts, formatAmount(r.Amount))
		}
		fmt.Fprintf(w, "total\t\t\t\t\t%s\n", formatAmount(cost.Total(response.Rows)))
		response.printOmissions(w)
	})
}

func showAudit(inv *invocation) error {
	kind := inv.flags.String("kind", "", "only records of this `KIND`: release, order, lease, quarantine or operator")
	subject := inv.flags.String("subject", "", "only records with this `SUBJECT`")
	since := inv.flags.Duration("since", 0, "only records of the last `DURATION` (0: all records)")
	if err := inv.parse(); err != nil {
		return err
	}
	q := url.Values{}
	if *kind != "" {
		q.Set("kind", *kind)
	}
	if *subject != "" {
		q.Set("subject", *subject)
	}
	if *since > 0 {
		q.Set("since_ms", fmt.Sprint(since.Milliseconds()))
	}
	return callAndPrint(inv, "GET", "audit?"+q.Encode(), nil, func(w io.Writer, trail audit.Trail) {
		if trail.Partial {
			fmt.Fprintln(w, "partial: not all stored records could be read; those of this host that are not stored yet are shown")
		}
		fmt.Fprintln(w, "TIME\tHOST\tKIND\tACTOR\tACTION\tSUBJECT\tVERSION\tOUTCOME")
		for _, r := range trail.Records {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", r.Time.Format(time.RFC3339), r.Host, r.Kind, r.Actor, r.Action, r.Subject, r.Version, r.Outcome)
		}
	})
}

// endpointsResponse is the response of GET endpoints.
type endpointsResponse struct {
	Endpoints []app.EndpointStatus `json:"endpoints"`
}

func showEndpoints(inv *invocation) error {
	return callAndPrintWithoutArgs(inv, "endpoints", func(w io.Writer, response endpointsResponse) {
		fmt.Fprintln(w, "ENDPOINT\tSERVICE\tZONE\tSTATE\tLOAD\tURL\tSLOTS\tCOLD LIMIT")
		for _, e := range response.Endpoints {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%s\t%d\t%d\n", e.ID, e.Service, e.AvailabilityZone, e.State, e.Load, e.URL, e.Slots, e.ColdLimit)
		}
	})
}

func showTrace(inv *invocation) error {
	if err := inv.parse("REQUEST_ID"); err != nil {
		return err
	}
	return callAndPrint(inv, "GET", "explain/"+url.PathEscape(inv.args[0]), nil, func(w io.Writer, t app.Trace) {
		fmt.Fprintf(w, "request %s\tcustomer %s\tpipeline %s\trelease %d\t%d ms\tcost %s\n", t.RequestID, t.Customer, t.Pipeline, t.ReleaseVersion, t.DurationMs, formatAmount(t.Cost))
		for _, s := range t.Stages {
			fmt.Fprintf(w, "  stage %s\t%s\t%s\tattempts %d\t%d ms\tcost %s\n", s.Stage, s.Endpoint, s.AvailabilityZone, s.Attempts, s.DurationMs, formatAmount(s.Cost))
		}
		for _, a := range t.Attempts {
			fmt.Fprintf(w, "  attempt %s\t%s\t%s\t%s\t%s\t%d ms\t%s\n", a.Stage, a.Endpoint, a.AvailabilityZone, a.Cause, a.Verdict, a.DurationMs, a.Detail)
		}
		if t.Error != nil {
			fmt.Fprintf(w, "  failed: %s (%s): %s\n", t.Error.Code, t.Error.Verdict, t.Error.Detail)
		}
	})
}
