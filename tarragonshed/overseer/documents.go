package overseer

import (
	"errors"
	"slices"
	"time"

	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

const (
	// maxDocumentAge is the age above which a document counts as outdated. It is longer than
	// a reader takes to check its copies.
	maxDocumentAge = 1500 * time.Millisecond
	// maxOutdated is how long the documents of a reader may be outdated while it confirms the
	// rows. After an outage of the store it has them within this time.
	maxOutdated = 800 * time.Millisecond
)

// errOutdatedDocuments means that a reader does not keep its documents current.
var errOutdatedDocuments = errors.New("overseer: the documents of the reader are outdated")

// versionsOf returns the documents in force without their bodies.
func versionsOf(documents Documents) []*peer.Document {
	var all []*peer.Document
	for name, state := range documents.States() {
		all = append(all, messageOf(name, state.Revision))
	}
	return all
}

// messageOf returns the message that names a document without its body.
func messageOf(name string, r unit.Revision) *peer.Document {
	return &peer.Document{Name: name, Era: uint64(r.Era), Version: r.Version}
}

// revisionOf returns the revision of the document in a message.
func revisionOf(d *peer.Document) unit.Revision {
	return unit.Revision{Era: unit.Era(d.Era), Version: d.Version}
}

// agesOf returns the documents in force without their bodies, and their ages at now.
func agesOf(documents Documents, now unit.Instant) []*peer.Document {
	var all []*peer.Document
	for name, state := range documents.States() {
		d := messageOf(name, state.Revision)
		if state.Confirmed {
			age := int64(now.Sub(state.AsOf))
			d.Age = &age
		}
		all = append(all, d)
	}
	return all
}

// receiveDocuments fetches, in the background, the documents that the daemon at the address has in
// a newer version than this one, and records how current the documents are. The daemon offered
// them no earlier than responded.
func (o *Overseer) receiveDocuments(address string, offered []*peer.Document, responded unit.Instant) {
	if o.documents == nil {
		return
	}
	o.confirmDocuments(offered, responded)
	if !o.lacks(offered) || !o.transfers.receiving.TryLock() {
		return
	}
	go func() {
		defer o.transfers.receiving.Unlock()
		if o.transferFrom(address) {
			o.confirmDocuments(offered, responded)
		}
	}()
}

// confirmDocuments records how current the documents are that another daemon offered no earlier than
// responded.
func (o *Overseer) confirmDocuments(offered []*peer.Document, responded unit.Instant) {
	for _, d := range offered {
		if d.Age != nil {
			o.documents.Confirm(d.Name, revisionOf(d), responded.Add(-time.Duration(*d.Age)))
		}
	}
}

// outdated returns the documents that are older than maxDocumentAge, sorted by name.
func (o *Overseer) outdated() []string {
	if o.documents == nil {
		return nil
	}
	var names []string
	for name, state := range o.documents.States() {
		if state.Confirmed && o.now().Sub(state.AsOf) > maxDocumentAge {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// checkDocuments returns an error if the documents have been outdated for longer than
// maxOutdated although the reader confirms the rows, and no part of them has arrived meanwhile.
func (o *Overseer) checkDocuments(reader unit.DaemonID) error {
	names := o.outdated()
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case len(names) == 0:
		if o.outdatedSince != 0 {
			o.logger.Info("documents from the reader are current", "reader", reader)
		}
		o.outdatedSince = 0
	case o.outdatedSince == 0:
		o.outdatedSince = now
		o.logger.Warn("documents from the reader are outdated", "reader", reader, "documents", names, "limit", maxDocumentAge)
	case now.Sub(max(o.outdatedSince, o.transfers.progressed())) >= maxOutdated:
		o.outdatedSince = 0
		return errOutdatedDocuments
	}
	return nil
}

// lacks reports whether one of the offered documents is newer than this daemon's.
func (o *Overseer) lacks(offered []*peer.Document) bool {
	known := o.documents.States()
	for _, d := range offered {
		if known[d.Name].Revision.Before(revisionOf(d)) {
			return true
		}
	}
	return false
}

// fetch requests newer documents from another daemon.
func (o *Overseer) fetch() {
	if address, ok := o.nextPeer(); ok {
		o.fetchFrom(address)
	}
}
