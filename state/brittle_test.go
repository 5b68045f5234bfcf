package state

import (
	"slices"
	"testing"

	"github.com/weldstream/weldstream/protocol"
)

// TestBrittleServicesSurviveSnapshots checks that the services with brittle servers are replaced as a whole and kept
// in snapshots.
func TestBrittleServicesSurviveSnapshots(t *testing.T) {
	m := NewMachine()
	m.Apply(&protocol.Command{Brittle: &protocol.BrittleServicesMsg{Services: []protocol.BrittleService{{Service: "old", MaxRejections: 1}}}})
	want := []protocol.BrittleService{{Service: "a", MaxRejections: 3}, {Service: "b", MaxRejections: 8}}
	m.Apply(&protocol.Command{Brittle: &protocol.BrittleServicesMsg{Services: want}})
	data, err := m.Image().Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if got := restored.BrittleServices(); !slices.Equal(got, want) || restored.BrittleChanges() != 2 {
		t.Errorf("got %+v after %d changes, want %+v", got, restored.BrittleChanges(), want)
	}
}
