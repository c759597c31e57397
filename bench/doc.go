// Package bench holds benchmarks with bounds. Each reports its measured values
// next to the bounds and fails if one is exceeded. The bounds come from the
// stated targets.
package bench
