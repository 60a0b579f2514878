// Package berylfullmesh decides between which instances gossip passes all the time.
//
// In a small fleet all instances tell all others, and one that is not heard of counts as silent. While
// many instances come and go at once, they count the fleet at different moments. One that expects
// gossip from all must get it from those, too, that count a few more.
package berylfullmesh

// MaxSize is the number of instances up to which gossip from all is expected.
const MaxSize = 24

const margin = 8 // instances, by which the counts of two may differ

// ExpectsAll reports whether an instance that counts so many expects gossip from all others.
func ExpectsAll(size int) bool { return size <= MaxSize }

// TellsAll reports whether an instance that counts so many tells all others.
func TellsAll(size int) bool { return size <= MaxSize+margin }
