package poison

// Suspicion is how much speaks against a trait.
type Suspicion uint8

// The suspicions.
const (
	// Unsuspected traits are at least two crashes from a blame.
	Unsuspected Suspicion = iota
	// OneMoreBlames means that one more crash would have the trait blamed.
	OneMoreBlames
	// IsBlamed means that requests with the trait are not to be sent.
	IsBlamed
)

// Suspicion returns how much speaks against a trait.
func (l *Ledger) Suspicion(t Trait) Suspicion {
	if l.Idle() {
		return Unsuspected
	}
	if _, blamed := l.Blamed([]Trait{t}); blamed {
		return IsBlamed
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.traits[t]; e != nil && e.crashes+1 >= t.threshold() {
		return OneMoreBlames
	}
	return Unsuspected
}
