// Package berylcrashes keeps what the instances of a fleet know about requests that were running
// when backend servers ended, and exchanges it.
package berylcrashes

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"berylspan/core/beryllifetime"
	"berylspan/core/berylquarantine"
	"berylspan/io/berylrequest"
	"berylspan/io/berylserverend"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Crashes is a quarantine that is shared with other instances. It is safe for concurrent use.
type Crashes struct {
	log  zerolog.Logger
	send func(all bool, message []byte)

	mu         sync.Mutex
	quarantine *berylquarantine.Quarantine
	known      atomic.Bool // whether the quarantine holds any request
	suspects   atomic.Int64
}

const (
	messageRecords = 40                  // in one message
	maxRecords     = 1024                // that are shared at a time
	maxAge         = 24 * 60 * 60 * 1000 // milliseconds
)

// New returns an empty quarantine. send sends a message to other instances: to all, or in a
// large fleet to those that are told of heartbeats. It may be lost.
func New(log zerolog.Logger, send func(all bool, message []byte)) *Crashes {
	return &Crashes{log: log, send: send, quarantine: berylquarantine.New()}
}

// Check reports whether a request may run in a trial only, and how long it is until the next
// trial, 0 if it is possible now.
func (c *Crashes) Check(r *berylrequest.Request) (suspect bool, wait time.Duration) {
	if !c.known.Load() {
		return false, 0
	}
	fingerprint := r.Fingerprint()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Check(time.Now(), fingerprint)
}

// Suspects returns the number of requests that may run in trials only.
func (c *Crashes) Suspects() int { return int(c.suspects.Load()) }

// Answered records that the backend server beside answered a request.
func (c *Crashes) Answered(r *berylrequest.Request) {
	if !c.known.Load() {
		return
	}
	fingerprint := r.Fingerprint()
	c.mu.Lock()
	cleared := c.quarantine.Answered(time.Now(), fingerprint)
	if cleared {
		c.update()
	}
	c.mu.Unlock()
	if cleared {
		c.log.Info().Str("fingerprint", format(fingerprint)).Str("id", r.ID).Str("rule", r.Rule).Str("server", r.ServerID).Msg("request cleared")
		c.shareChanges()
	}
}

// ServerEnded records the end of the backend server beside and tells all instances.
func (c *Crashes) ServerEnded(end berylserverend.ServerEnd) {
	ids := make(map[uint64]string, len(end.Requests))
	fingerprints := make([]uint64, 0, len(end.Requests))
	var trial uint64
	for _, r := range end.Requests {
		if _, ok := ids[r.Fingerprint]; !ok {
			fingerprints = append(fingerprints, r.Fingerprint)
		}
		ids[r.Fingerprint] = r.ID
		if r.Trial {
			trial = r.Fingerprint
		}
	}
	now := time.Now()
	c.mu.Lock()
	changed := c.quarantine.ServerEnded(now, lifetimeHash(end.Lifetime), fingerprints, trial)
	c.logSuspects(now, changed, ids)
	c.update()
	c.mu.Unlock()
	c.shareChanges()
}

// logSuspects logs requests that may run in trials only, or no longer in those. ids may be nil.
// The caller holds the lock.
func (c *Crashes) logSuspects(now time.Time, fingerprints []uint64, ids map[uint64]string) {
	for _, f := range fingerprints {
		_, wait := c.quarantine.Check(now, f)
		event := c.log.Warn().Str("fingerprint", format(f)).Dur("wait", wait)
		if id := ids[f]; id != "" {
			event = event.Str("id", id)
		}
		event.Msg("request in quarantine")
	}
}

// update sets what is read without the lock. The caller holds the lock.
func (c *Crashes) update() {
	c.known.Store(c.quarantine.Len() > 0)
	c.suspects.Store(int64(c.quarantine.SuspectCount()))
}

// Share tells other instances what changed here and which requests are suspects, and forgets
// what has expired. It is called with every heartbeat.
func (c *Crashes) Share() {
	if !c.known.Load() {
		return
	}
	c.shareChanges()
	now := time.Now()
	c.mu.Lock()
	c.quarantine.Evict(now)
	c.update()
	suspects := c.quarantine.Suspects(now, messageRecords)
	c.mu.Unlock()
	c.sendRecords(false, suspects)
}

func (c *Crashes) shareChanges() {
	c.mu.Lock()
	changes := c.quarantine.Changes(time.Now(), maxRecords)
	c.mu.Unlock()
	c.sendRecords(true, changes)
}

// record is a berylquarantine.Record in a message. Age is in milliseconds.
type record struct {
	_            struct{} `cbor:",toarray"`
	Fingerprint  uint64
	Epoch        uint32
	Ends, Trials []uint64
	Age          int64
}

func (c *Crashes) sendRecords(all bool, records []berylquarantine.Record) {
	for len(records) > 0 {
		n := min(messageRecords, len(records))
		message := make([]record, n)
		for i, r := range records[:n] {
			message[i] = record{Fingerprint: r.Fingerprint, Epoch: r.Epoch, Ends: r.Ends, Trials: r.Trials, Age: r.Age.Milliseconds()}
		}
		records = records[n:]
		data, err := cbor.Marshal(message)
		if err != nil {
			c.log.Error().Err(err).Int("records", n).Msg("quarantine not encoded")
			return
		}
		c.send(all, data)
	}
}

// Handle takes over what another instance knows.
func (c *Crashes) Handle(data []byte) error {
	var message []record
	if err := cbor.Unmarshal(data, &message); err != nil {
		return eris.Wrap(err, "quarantine")
	}
	records := make([]berylquarantine.Record, len(message))
	for i, r := range message {
		records[i] = berylquarantine.Record{Fingerprint: r.Fingerprint, Epoch: r.Epoch, Ends: r.Ends, Trials: r.Trials, Age: time.Duration(min(max(0, r.Age), maxAge)) * time.Millisecond}
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logSuspects(now, c.quarantine.Merge(now, records), nil)
	c.update()
	return nil
}

func format(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

func lifetimeHash(l beryllifetime.Lifetime) uint64 {
	return xxhash.Sum64String(l.ID + " " + strconv.FormatInt(l.BornMs, 10))
}
