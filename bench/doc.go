// Package bench holds benchmarks. Those that check a stated target report the
// measured value next to the bound and fail if it is missed; the others only report
// values.
package bench
