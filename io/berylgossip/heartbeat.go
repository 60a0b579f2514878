package berylgossip

// Heartbeat is the state that an instance reports about itself a few times a
// second. Demand and ZoneDemand are in tenths of a request per second, by workspace.
// Demand is that of the sender. Heartbeats to other data centres of a large fleet
// carry ZoneDemand instead, the demand of the sender's whole data centre.
type Heartbeat struct {
	Epoch          int64             `cbor:"1,keyasint"` // increases with every start of the instance
	Zone           string            `cbor:"2,keyasint"`
	ServerID       string            `cbor:"3,keyasint,omitempty"` // of the instance's backend server
	ConfigVersion  int64             `cbor:"4,keyasint"`           // 0 while no configuration is known
	ChangeRevision int64             `cbor:"5,keyasint"`           // of the last change to the published lists that the sender knows
	Revision       int64             `cbor:"6,keyasint"`           // up to which the store was read
	AgeMs          int64             `cbor:"7,keyasint"`           // since the store was last known to hold this state
	Leaving        bool              `cbor:"8,keyasint,omitempty"`
	Busy           int               `cbor:"9,keyasint,omitempty"`  // requests that run or wait at the backend server
	Limit          int               `cbor:"10,keyasint,omitempty"` // concurrency limit of the backend server
	Demand         map[string]uint32 `cbor:"11,keyasint,omitempty"`
	ZoneDemand     map[string]uint32 `cbor:"12,keyasint,omitempty"`
	Era            int64             `cbor:"13,keyasint,omitempty"` // of the store that ChangeRevision and Revision belong to
	Slowdown       int               `cbor:"14,keyasint,omitempty"` // per cent of the usual time that work takes on the backend server, 0 when unknown; to the own data centre only
	Shedding       uint8             `cbor:"15,keyasint,omitempty"` // per cent of the latest arrivals that the backend server rejected
}
