package catalog

import (
	"testing"

	"github.com/matryer/is"
)

func TestUrgencyOrdersByCustomerPriorityThenRoutePriority(t *testing.T) {
	is := is.New(t)
	chapter, query := &Route{Name: "chapter", Priority: 0}, &Route{Name: "query", Priority: 2}
	c := &Config{Routes: []*Route{chapter, query}, Customers: []Customer{
		{Name: "a", Priority: 1, HasPriority: true}, {Name: "b", Priority: 1, HasPriority: true}, {Name: "c", Priority: 3, HasPriority: true}}}
	c.BuildIndexes()
	first, second, third := &c.Customers[0], &c.Customers[1], &c.Customers[2]
	is.Equal(c.Urgency(chapter, first), 0)
	is.Equal(c.Urgency(chapter, second), 0)
	is.Equal(c.Urgency(query, first), 1)
	is.Equal(c.Urgency(chapter, third), 2)
	is.Equal(c.Urgency(query, third), 3)
}

func TestUrgencyWithoutCustomersFollowsRoutePriority(t *testing.T) {
	is := is.New(t)
	low, high := &Route{Priority: 5}, &Route{Priority: 1}
	c := &Config{Routes: []*Route{low, high}}
	c.BuildIndexes()
	is.Equal(c.Urgency(high, nil), 0)
	is.Equal(c.Urgency(low, nil), 1)
}
