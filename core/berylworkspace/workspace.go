// Package berylworkspace describes a workspace, which is a customer.
package berylworkspace

import (
	"berylspan/core/beryldigest"
	"berylspan/core/berylplan"
)

// Workspace is a customer with its plan and the digests of its API keys.
type Workspace struct {
	Name       string
	Plan       *berylplan.Plan
	KeyDigests []beryldigest.Digest
}
