package reports

// Discovered reports whether this instance knows the others: since its start it has read their reports to the end once.
func (r *Reports) Discovered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.backlog
}
