// Package berylowned is what the owner of a shard knows.
package berylowned

import (
	"time"

	"berylspan/core/berylgranter"
	"berylspan/core/berylrepeat"
)

// Owned begins anew, empty, with each ownership. Since and Until bound the
// ownership on the instance's clock; Until moves as it is renewed.
type Owned struct {
	Since   time.Time
	Until   time.Time
	Granter *berylgranter.Granter
	Records *berylrepeat.Records
}
