package facts

import "github.com/pimentorill/pimentorill/internal/port"

// rolloutsOf returns the keys among which that of an order for a roll-out, or of its status,
// is, and its name among them; nil if it is another key.
func (s *state) rolloutsOf(cfg Config, key string) (keys map[string]string, name string) {
	if name, ok := entryName(cfg.RolloutOrderName, key); ok {
		return s.rolloutOrders, name
	}
	if name, ok := entryName(cfg.RolloutStatusName, key); ok {
		return s.rolloutStatuses, name
	}
	return nil, ""
}

// itemsOf returns the items of some keys by name; nil without any.
func (s *state) itemsOf(keys map[string]string) map[string]port.KeyValue {
	if len(keys) == 0 {
		return nil
	}
	items := make(map[string]port.KeyValue, len(keys))
	for name, key := range keys {
		items[name] = s.items[key]
	}
	return items
}
