package front

// Used returns the bytes that are taken from the budget.
func (m *Memory) Used() int64 { return m.used.Load() }

// Acquire exports acquire for tests.
func (m *Memory) Acquire(n int64) bool { return m.acquire(n) }

// Release exports release for tests.
func (m *Memory) Release(n int64) { m.release(n) }
