package beryldepartures_test

import (
	"testing"
	"time"

	"berylspan/core/beryldepartures"
	"berylspan/core/berylregistration"

	"github.com/stretchr/testify/require"
)

type list = map[string]berylregistration.Registration

func TestCheckAfterRestore(t *testing.T) {
	start := time.Unix(1_000, 0)
	ready := berylregistration.Registration{ID: "i", Born: 5}
	leaving, restarted := ready, ready
	leaving.Leaving = true
	restarted.Born = 9
	for _, tc := range []struct {
		name    string
		history []list // lists of era 1, in order
		era     int64
		after   time.Duration // since era 2 began
		entry   berylregistration.Registration
		want    berylregistration.Registration
		ok      bool
	}{
		{"a server that has left is not used", []list{{"i": ready}, {}}, 2, 0, ready, ready, false},
		{"it is used when its entry outlives the lease", []list{{"i": ready}, {}}, 2, beryldepartures.EntryTTL, ready, ready, true},
		{"within an era the store is right", []list{{"i": ready}, {}}, 1, 0, ready, ready, true},
		{"a leaving server stays leaving", []list{{"i": leaving}}, 2, time.Minute, ready, leaving, true},
		{"one that came back has not left", []list{{"i": ready}, {}, {"i": ready}}, 2, 0, ready, ready, true},
		{"the run before a restart has left", []list{{"i": ready}, {"i": restarted}}, 2, 0, ready, ready, false},
		{"the run after a restart has not", []list{{"i": leaving}, {"i": restarted}}, 2, 0, restarted, restarted, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := beryldepartures.New()
			before := list{}
			for _, after := range tc.history {
				d.Update(start, 1, before, after)
				before = after
			}
			d.Check(start, tc.era, berylregistration.Registration{ID: "other"})
			got, ok := d.Check(start.Add(tc.after), tc.era, tc.entry)
			require.Equal(t, tc.want, got)
			require.Equal(t, tc.ok, ok)
		})
	}
}

func TestDeparturesAreForgottenInTime(t *testing.T) {
	now := time.Unix(1_000, 0)
	d := beryldepartures.New()
	gone := berylregistration.Registration{ID: "i", Born: 5}
	d.Update(now, 1, list{"i": gone}, list{})
	d.Update(now.Add(time.Hour), 1, list{}, list{})
	_, ok := d.Check(now.Add(time.Hour), 2, gone)
	require.True(t, ok)
}
