package cli

import (
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/pimentorill/pimentorill/internal/app"
)

func listQuarantine(inv *invocation) error {
	return callAndPrintWithoutArgs(inv, "quarantine", printQuarantine)
}

func removeFromQuarantine(inv *invocation) error {
	if err := inv.parse("FINGERPRINT"); err != nil {
		return err
	}
	return callAndPrint(inv, "DELETE", "quarantine/"+url.PathEscape(inv.args[0]), nil, printQuarantine)
}

func printQuarantine(w io.Writer, l app.QuarantineList) {
	fmt.Fprintln(w, "FINGERPRINT\tENDPOINT\tHOST\tSINCE\tUNTIL")
	for _, q := range l.Quarantined {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", q.Fingerprint, q.Endpoint, q.Host, q.Since.Format(time.RFC3339), q.Until.Format(time.RFC3339))
	}
}
