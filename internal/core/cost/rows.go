package cost

import (
	"cmp"
	"slices"
)

// compareKeys orders keys by customer, pipeline, stage and cause.
func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Customer, b.Customer),
		cmp.Compare(a.Pipeline, b.Pipeline),
		cmp.Compare(a.Stage, b.Stage),
		cmp.Compare(a.Cause, b.Cause),
	)
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
}

// Merge returns the sums of the rows of all lists by key, sorted by customer,
// pipeline, stage and cause.
func Merge(rowLists ...[]Row) []Row {
	sums := map[Key]Row{}
	for _, rows := range rowLists {
		for _, r := range rows {
			sum := sums[r.Key]
			sum.Key = r.Key
			sum.Attempts += r.Attempts
			sum.Amount += r.Amount
			sums[r.Key] = sum
		}
	}
	out := make([]Row, 0, len(sums))
	for _, r := range sums {
		out = append(out, r)
	}
	sortRows(out)
	return out
}

// Total returns the sum of the rows' amounts in millionths of the unit of currency.
func Total(rows []Row) int64 {
	var sum int64
	for _, r := range rows {
		sum += r.Amount
	}
	return sum
}
