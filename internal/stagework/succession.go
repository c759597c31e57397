package stagework

// recordSilence records that a host did not respond.
func (d *Dispatcher) recordSilence(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silentUntil[host] = d.cfg.Clock.Now().Add(noResponseBackoff)
}

// succeeds reports whether this host coordinates the group because those before it do not
// respond to this host either. It is not known yet that they are lost.
func (d *Dispatcher) succeeds(group string) bool {
	hosts := d.cfg.Peers.Coordinators(group, d.zonesOf(group))
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	for host, until := range d.silentUntil {
		if !now.Before(until) {
			delete(d.silentUntil, host)
		}
	}
	for _, host := range hosts {
		if host == d.cfg.Peers.Self() {
			return true
		}
		if _, silent := d.silentUntil[host]; !silent {
			return false
		}
	}
	return false
}
