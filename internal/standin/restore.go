package standin

import "maps"

// StoreBackup is a copy of a MemStore's data for Restore.
type StoreBackup struct {
	entries  map[string]*storedEntry
	revision uint64
}

// Backup returns a copy of the data as of now.
func (m *MemStore) Backup() StoreBackup {
	m.mu.Lock()
	defer m.mu.Unlock()
	return StoreBackup{entries: maps.Clone(m.entries), revision: m.revision}
}

// Restore replaces the data by a backup and starts a new epoch: what was written since is
// gone, and revisions are given out again.
func (m *MemStore) Restore(b StoreBackup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries, m.revision = maps.Clone(b.entries), b.revision
	m.epoch++
	m.notifyLocked()
}
