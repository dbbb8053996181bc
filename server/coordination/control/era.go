package control

// storeEra returns the highest era of the store that this node knows of; 0 if it has no store.
func (l *Loop) storeEra() uint64 {
	if l.settings.StoreEra == nil {
		return 0
	}
	return l.settings.StoreEra()
}

// heardOfEra passes an era that a peer stated to the callback if it is above the one that this node knows of. Most nodes call
// the store rarely, and so learn from the readers that it was restored.
func (l *Loop) heardOfEra(era uint64) {
	if era > l.storeEra() {
		l.notify.post(func() { l.notify.storeEra = max(l.notify.storeEra, era) })
	}
}

// OnStoreEra sets the function that is called with an era of the store that a peer stated and that this node does not know of.
// It must be set before Run.
func (l *Loop) OnStoreEra(f func(uint64)) { l.notify.onStoreEra = f }
