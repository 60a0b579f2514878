// Package berylrefusalevent describes refused calls as reported by explain.
package berylrefusalevent

import "time"

// Event is a refused call. RunStatus says whether it ran, see berylrefusal.Refusal.
type Event struct {
	Time      time.Time `json:"at"`
	CallID    string    `json:"call"`
	Workspace string    `json:"workspace"`
	Route     string    `json:"route"`
	Reason    string    `json:"reason"`
	RunStatus string    `json:"run"`
	Text      string    `json:"text"`
}
