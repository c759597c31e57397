package order

import (
	"strconv"
	"strings"
)

// newOrderID returns the id of a host's n-th order. It contains the lease's
// fencing token, so that any host that reads an engine's state can tell under
// which lease the engine's last order was sent.
func newOrderID(fence uint64, host string, n uint64) string {
	return strconv.FormatUint(fence, 10) + "/" + host + "/" + strconv.FormatUint(n, 10)
}

// fenceOf returns the fencing token in an order's id, false if the id does not
// have the format of newOrderID.
func fenceOf(id string) (uint64, bool) {
	token, rest, ok := strings.Cut(id, "/")
	if !ok || !strings.Contains(rest, "/") {
		return 0, false
	}
	fence, err := strconv.ParseUint(token, 10, 64)
	return fence, err == nil
}
