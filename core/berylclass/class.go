// Package berylclass defines the priority classes of calls.
package berylclass

// Class is the priority class of a route. Under overload the calls with the highest
// values are shed first.
type Class int

// The classes, from the most to the least important.
const (
	Critical Class = iota
	Standard
	Bulk
)

// Count is the number of classes.
const Count = 3

func names() [Count]string { return [Count]string{"critical", "standard", "bulk"} }

// Parse returns the class called name, and false if there is none.
func Parse(name string) (Class, bool) {
	for i, n := range names() {
		if n == name {
			return Class(i), true
		}
	}
	return Standard, false
}

// String returns the name of the class in the published lists.
func (c Class) String() string {
	if c < 0 || c >= Count {
		return "unknown"
	}
	return names()[c]
}
