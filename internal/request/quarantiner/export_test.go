package quarantiner

// Records returns the number of requests that are remembered.
func (q *Quarantiner) Records() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.records)
}
