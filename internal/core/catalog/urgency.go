package catalog

import (
	"cmp"
	"slices"
)

// priorities determine a request's urgency: the customer's priority is compared
// first, the route's breaks ties.
type priorities struct{ customer, route int }

// Urgency returns the rank of the combination of a customer's and a route's
// priorities among all combinations in the configuration: 0 for the most urgent
// requests, higher for less urgent ones. customer is nil for requests without a
// known API key. Call BuildIndexes first.
func (c *Config) Urgency(r *Route, customer *Customer) int {
	return c.urgencyByPriorities[prioritiesOf(r, customer)]
}

func prioritiesOf(r *Route, customer *Customer) priorities {
	p := priorities{route: r.Priority}
	if customer != nil && customer.HasPriority {
		p.customer = customer.Priority
	}
	return p
}

// assignUrgencies ranks all combinations of priorities that requests can have.
// Equal combinations share a rank.
func (c *Config) assignUrgencies() {
	c.urgencyByPriorities = make(map[priorities]int)
	var all []priorities
	add := func(p priorities) {
		if _, exists := c.urgencyByPriorities[p]; !exists {
			c.urgencyByPriorities[p] = 0
			all = append(all, p)
		}
	}
	for _, r := range c.Routes {
		if r.Public || len(c.Customers) == 0 {
			add(prioritiesOf(r, nil))
		}
		for i := range c.Customers {
			add(prioritiesOf(r, &c.Customers[i]))
		}
	}
	slices.SortFunc(all, func(a, b priorities) int {
		return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.route, b.route))
	})
	for i, p := range all {
		c.urgencyByPriorities[p] = i
	}
}
