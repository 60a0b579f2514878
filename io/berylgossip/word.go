package berylgossip

// Word is what an instance tells others of itself a few times a second. Start
// tells its lifetimes apart. Demand is in tenths of a request per second by
// workspace, of the sender; in words to other data centres of a large fleet Sums
// holds in its place that of the sender's whole data centre.
type Word struct {
	Start    int64             `cbor:"1,keyasint"`
	Zone     string            `cbor:"2,keyasint"`
	Server   string            `cbor:"3,keyasint,omitempty"` // id of its backend server
	Version  int64             `cbor:"4,keyasint"`
	Change   int64             `cbor:"5,keyasint"`
	Revision int64             `cbor:"6,keyasint"`
	AgeMs    int64             `cbor:"7,keyasint"`
	Leaving  bool              `cbor:"8,keyasint,omitempty"`
	Busy     int               `cbor:"9,keyasint,omitempty"`
	Limit    int               `cbor:"10,keyasint,omitempty"`
	Demand   map[string]uint32 `cbor:"11,keyasint,omitempty"`
	Sums     map[string]uint32 `cbor:"12,keyasint,omitempty"`
}
