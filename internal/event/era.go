package event

// InEra is embedded in events that carry revisions of the platform's store.
type InEra struct {
	// Era is the store's era to which the revisions belong, or 0 if the sender does not name
	// it.
	Era uint64 `msgpack:",omitempty"`
}

// StoreEra returns the era.
func (e InEra) StoreEra() uint64 { return e.Era }
