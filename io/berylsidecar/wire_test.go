package berylsidecar

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"berylspan/core/berylevacuation"
	"berylspan/core/berylregistration"
	"berylspan/io/berylgossip"
	"berylspan/io/berylratelimiter"
	"berylspan/io/berylstorecache"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// Instances of different builds run in one fleet during an upgrade. The golden
// files were recorded from commit f700c15; a renamed field without a tag or a
// changed key shows here.
func TestMessagesBetweenInstancesKeepTheirEncoding(t *testing.T) {
	for name, message := range map[string]any{
		"word": berylgossip.Heartbeat{
			Epoch: 1700000000123, Zone: "z1", ServerID: "i-1", ConfigVersion: 4, ChangeRevision: 17, Revision: 19, AgeMs: 250, Leaving: true, Busy: 3, Limit: 8,
			Demand: map[string]uint32{"acme": 120}, ZoneDemand: map[string]uint32{"luna": 340},
		},
		"snapshot": berylstorecache.Snapshot{
			ConfigVersion: 4, RawConfig: []byte(`{"version":4}`), ChangeRevision: 17, Revision: 19, AgeMs: 250,
			Servers:          []berylregistration.Registration{{ID: "i-1", Service: "back", Zone: "z1", Addr: "10.1.0.5:80", Slots: 57, Leaving: true, Warm: 1500 * time.Millisecond, Born: 99}},
			PendingRemovalMs: map[string]int64{"i-2": 1200}, BaseRevision: 15, RemovedIDs: []string{"i-3"}, Digest: 0xfeedfacecafebeef,
		},
		"quota": berylratelimiter.Message{
			Requested: map[string]int{"acme": 3}, Lent: map[string]int{"acme": 2}, RetryAfterMs: map[string]int{"acme": 40},
			ZoneRequested: map[string]int{"luna": 9}, ZoneLent: map[string]int{"luna": 8}, Requester: "10.1.0.5",
		},
	} {
		t.Run(name, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", name+".golden"))
			require.NoError(t, err)
			encoded, err := cbor.Marshal(message)
			require.NoError(t, err)
			require.Equal(t, string(golden), hex.EncodeToString(encoded)+"\n")
			recorded, err := hex.DecodeString(strings.TrimSpace(string(golden)))
			require.NoError(t, err)
			decoded := reflect.New(reflect.TypeOf(message))
			require.NoError(t, cbor.Unmarshal(recorded, decoded.Interface()))
			require.Equal(t, message, decoded.Elem().Interface())
		})
	}
}

// An instance that does not know which data centres are evacuated must not end evacuations at
// others.
func TestSnapshotTellsNoEvacuationsFromUnknownOnes(t *testing.T) {
	var unknown berylevacuation.Zones
	for name, evacuated := range map[string]*berylevacuation.Zones{"unknown": &unknown, "none": {}, "one": {"z1": 3}} {
		t.Run(name, func(t *testing.T) {
			encoded, err := cbor.Marshal(berylstorecache.Snapshot{Evacuated: evacuated})
			require.NoError(t, err)
			var decoded berylstorecache.Snapshot
			require.NoError(t, cbor.Unmarshal(encoded, &decoded))
			if *evacuated == nil {
				require.Nil(t, decoded.Evacuated)
				return
			}
			require.Equal(t, evacuated, decoded.Evacuated)
		})
	}
}
