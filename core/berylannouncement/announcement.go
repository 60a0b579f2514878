// Package berylannouncement defines the announcement that an instance sends about itself to
// other instances.
package berylannouncement

import "berylspan/core/berylinstance"

// Announcement says that an instance is serving or leaving. Epoch increases with every
// start of the instance, and Count with every announcement since that start.
type Announcement struct {
	Instance berylinstance.Instance
	Epoch    int64
	Count    int64
}

// Newer reports whether a was made after o.
func (a Announcement) Newer(o Announcement) bool {
	if a.Epoch != o.Epoch {
		return a.Epoch > o.Epoch
	}
	return a.Count > o.Count
}
