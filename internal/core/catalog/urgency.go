package catalog

import (
	"cmp"
	"slices"
)

// rank is what a request's urgency follows from: the customer's priority goes
// first, the route's decides among equals.
type rank struct{ customer, route int }

// Urgency returns the place of a route's requests among all that the
// configuration knows, 0 for the most urgent. customer is nil for requests
// without a key. Call it after Index.
func (c *Config) Urgency(r *Route, customer *Customer) int {
	return c.urgencies[rankOf(r, customer)]
}

func rankOf(r *Route, customer *Customer) rank {
	out := rank{route: r.Priority}
	if customer != nil && customer.HasPriority {
		out.customer = customer.Priority
	}
	return out
}

// orderRanks numbers the ranks that requests may have.
func (c *Config) orderRanks() {
	c.urgencies = make(map[rank]int)
	var ranks []rank
	note := func(r rank) {
		if _, known := c.urgencies[r]; !known {
			c.urgencies[r] = 0
			ranks = append(ranks, r)
		}
	}
	for _, r := range c.Routes {
		if r.Public || len(c.Customers) == 0 {
			note(rankOf(r, nil))
		}
		for i := range c.Customers {
			note(rankOf(r, &c.Customers[i]))
		}
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.route, b.route))
	})
	for i, r := range ranks {
		c.urgencies[r] = i
	}
}
