package order

import (
	"strconv"
	"strings"
)

// newOrderID names an order so that any host that reads an engine's state can
// tell under which lease the engine's last order was given.
func newOrderID(fence uint64, host string, n uint64) string {
	return strconv.FormatUint(fence, 10) + "/" + host + "/" + strconv.FormatUint(n, 10)
}

// fenceOf returns the lease's number in an order's id; false if it is no id
// of this package.
func fenceOf(id string) (uint64, bool) {
	number, rest, ok := strings.Cut(id, "/")
	if !ok || !strings.Contains(rest, "/") {
		return 0, false
	}
	fence, err := strconv.ParseUint(number, 10, 64)
	return fence, err == nil
}
