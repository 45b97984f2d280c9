package reports

// Discovered returns a channel that is closed when this instance knows the others: it has read their reports to the end once since
// its start.
func (r *Reports) Discovered() <-chan struct{} { return r.discovered }

// endBacklog records that the reports were read to the end.
func (r *Reports) endBacklog() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.backlog {
		r.backlog = false
		close(r.discovered)
	}
}

// PeersKnown reports whether this instance has looked for others since its start. Members may still lack some of them.
func (r *Reports) PeersKnown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peersKnown
}
