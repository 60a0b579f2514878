// Package berylownership defines the state that the owner of a shard keeps.
package berylownership

import (
	"time"

	"berylspan/core/berylgranter"
	"berylspan/core/berylidempotency"
)

// Ownership is the state of one ownership of a shard. A new ownership starts without
// any state of the one before. AcquiredAt and ExpiresAt are readings of the instance's
// clock; ExpiresAt moves when the lease is renewed.
type Ownership struct {
	AcquiredAt time.Time
	ExpiresAt  time.Time
	Granter    *berylgranter.Granter
	Records    *berylidempotency.Records
}
