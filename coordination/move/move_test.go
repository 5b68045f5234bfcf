package move

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed"
)

// TestNext walks through a move and what may go wrong at each step.
func TestNext(t *testing.T) {
	leaves, copied := LeavingMsg{"t"}, CopiedMsg{Copied, "h"}
	broke, stopped := StreamBrokenMsg{}, StoppedMsg{Copied, "h"}
	for name, c := range map[string]struct {
		msgs []Msg
		want []Cmd // want are the commands of the last message.
		end  Phase
	}{
		"no target":                             {[]Msg{LeavingMsg{}}, nil, Staying},
		"copied first":                          {[]Msg{leaves}, []Cmd{CopyCmd{"t"}}, Copying},
		"then stopped":                          {[]Msg{leaves, copied}, []Cmd{StopCmd{"t"}}, Stopping},
		"goes on behind both":                   {[]Msg{leaves, copied, stopped, broke}, []Cmd{ContinueCmd{"t", false, "h"}}, Going},
		"goes on in the other order":            {[]Msg{leaves, copied, broke, stopped}, []Cmd{ContinueCmd{"t", false, "h"}}, Going},
		"not before the answer":                 {[]Msg{leaves, copied, broke}, nil, Stopping},
		"not before the end of the stream":      {[]Msg{leaves, copied, stopped}, nil, Stopped},
		"taken":                                 {[]Msg{leaves, copied, stopped, broke, AcceptedMsg{}}, nil, Over},
		"target full":                           {[]Msg{leaves, CopiedMsg{NoRoom, ""}}, nil, Staying},
		"copy already under way":                {[]Msg{leaves, CopiedMsg{Busy, ""}}, nil, Staying},
		"copy not answered":                     {[]Msg{leaves, CopiedMsg{}}, nil, Staying},
		"once more":                             {append(slices.Repeat([]Msg{leaves, CopiedMsg{}}, mostTries-1), leaves), []Cmd{CopyCmd{"t"}}, Copying},
		"another target":                        {[]Msg{leaves, CopiedMsg{NoRoom, ""}, LeavingMsg{"u"}}, []Cmd{CopyCmd{"u"}}, Copying},
		"no such run":                           {[]Msg{leaves, CopiedMsg{NoRun, ""}, leaves}, nil, Over},
		"source dies while it copies":           {[]Msg{leaves, broke}, []Cmd{BreakCmd{}}, Over},
		"and answers later":                     {[]Msg{leaves, broke, copied}, []Cmd{FreeCmd{"h", "t"}}, Over},
		"source dies while it stops":            {[]Msg{leaves, copied, broke, StoppedMsg{}}, []Cmd{BreakCmd{}, FreeCmd{"h", "t"}}, Over},
		"stop not answered, the run goes on":    {[]Msg{leaves, copied, StoppedMsg{}}, []Cmd{FreeCmd{"h", "t"}}, Staying},
		"stop refused":                          {[]Msg{leaves, copied, StoppedMsg{Busy, ""}}, []Cmd{FreeCmd{"h", "t"}}, Staying},
		"no room at the stop, it lies at home":  {[]Msg{leaves, copied, StoppedMsg{NoRoom, "h"}, broke}, []Cmd{ContinueCmd{"t", true, "h"}}, Going},
		"no room at the stop, without a name":   {[]Msg{leaves, copied, StoppedMsg{NoRoom, ""}}, []Cmd{FreeCmd{"h", "t"}}, Staying},
		"the target refuses it, back home":      {[]Msg{leaves, copied, stopped, broke, RefusedMsg{}}, []Cmd{ContinueCmd{"t", true, "h"}}, Going},
		"both refuse it":                        {[]Msg{leaves, copied, stopped, broke, RefusedMsg{}, RefusedMsg{}}, []Cmd{BreakCmd{}, FreeCmd{"h", "t"}}, Over},
		"the target does not answer":            {[]Msg{leaves, copied, stopped, broke, LostMsg{}}, []Cmd{BreakCmd{}, FreeCmd{"h", "t"}}, Over},
		"it ends by itself while it is copied":  {[]Msg{leaves, EndedMsg{}, copied}, []Cmd{FreeCmd{"h", "t"}}, Over},
		"it ends by itself while it is stopped": {[]Msg{leaves, copied, EndedMsg{}}, []Cmd{FreeCmd{"h", "t"}}, Over},
		"the caller leaves behind the stop":     {[]Msg{leaves, copied, stopped, EndedMsg{}}, []Cmd{FreeCmd{"h", "t"}}, Over},
		"breaks without a move":                 {[]Msg{broke}, []Cmd{BreakCmd{}}, Over},
		"too often":                             {append(slices.Repeat([]Msg{leaves, CopiedMsg{}}, mostTries), leaves), nil, Over},
		"the last stop of too many fails":       {append(slices.Repeat([]Msg{leaves, CopiedMsg{}}, mostTries-1), leaves, copied, StoppedMsg{}), []Cmd{FreeCmd{"h", "t"}}, Over},
	} {
		var s State
		var cmds []Cmd
		for _, m := range c.msgs {
			s, cmds = Next(s, m)
		}
		if !reflect.DeepEqual(cmds, c.want) || s.Phase != c.end {
			t.Errorf("%s: %v and %+v, want %v and %+v", name, s.Phase, cmds, c.end, c.want)
		}
	}
}

// TestOrder checks which runs are moved first.
func TestOrder(t *testing.T) {
	runs := []Run{{Priority: 2, ComputedTokens: 9000}, {Priority: 1, ComputedTokens: 10}, {Priority: 1, ComputedTokens: 500, NoRetry: true}, {Priority: 1, ComputedTokens: 9000}, {Priority: 1, ComputedTokens: 9000, RemainingTokens: 10}}
	if got := Order(runs); !slices.Equal(got, []int{2, 4, 3, 1, 0}) {
		t.Errorf("order %v", got)
	}
}

// servers are a source and targets as they really are, beside what the state knows.
type servers struct {
	stopped bool            // stopped says that the source has stopped the run.
	copies  map[string]bool // copies are those set aside, by handle.
	runs    int             // runs are servers that work on the run now.
}

// TestMovesKeepTheirPromises drives moves through drawn failures. At most one server
// works on a run at a time, nothing is sent on before the run has stopped, and when the
// request has ended and all answers are here, no copy is left without a FreeCmd.
func TestMovesKeepTheirPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		w := servers{copies: map[string]bool{}, runs: 1}
		var waiting []Cmd // waiting are calls without an answer yet.
		broke, ended, handles := false, false, 0
		do := func(cmds []Cmd) {
			for _, c := range cmds {
				switch c := c.(type) {
				case ContinueCmd:
					if !w.stopped || w.runs != 0 || !broke || ended {
						t.Fatalf("sent on: stopped %v, %d runs, broke %v, ended %v", w.stopped, w.runs, broke, ended)
					}
					waiting = append(waiting, c)
				case FreeCmd:
					delete(w.copies, c.Handle)
				case CopyCmd, StopCmd:
					waiting = append(waiting, c)
				}
			}
		}
		next := func(m Msg) {
			var cmds []Cmd
			s, cmds = Next(s, m)
			do(cmds)
		}
		answer := func(c Cmd) {
			handle := fmt.Sprint("h", handles)
			outcome := Outcome(rapid.IntRange(0, 4).Draw(t, "outcome"))
			switch c.(type) {
			case CopyCmd:
				if w.stopped {
					outcome = NoRun // A run that has stopped is not there to be copied.
				}
				if outcome == Copied {
					handles++
					w.copies[handle] = true
					next(CopiedMsg{outcome, handle})
					return
				}
				next(CopiedMsg{outcome, ""})
			case StopCmd:
				handle = s.Handle
				if handle == "" {
					handle = fmt.Sprint("h", handles-1)
				}
				name := ""
				if outcome == Copied || (outcome == NoRoom && rapid.Bool().Draw(t, "named")) {
					name = handle
					if !w.stopped {
						w.stopped, w.runs = true, 0
						w.copies[handle] = true
					}
				}
				if outcome == Failed && rapid.Bool().Draw(t, "stopped unheard") {
					w.stopped, w.runs = true, 0
				}
				next(StoppedMsg{outcome, name})
			case ContinueCmd:
				switch rapid.IntRange(0, 2).Draw(t, "sent on") {
				case 0:
					w.runs++
					clear(w.copies)
					next(AcceptedMsg{})
				case 1:
					next(RefusedMsg{})
				default:
					next(LostMsg{})
				}
			}
			if w.runs > 1 {
				t.Fatal("two servers work on the run")
			}
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if !ended {
					next(LeavingMsg{Target: rapid.SampledFrom([]string{"", "t", "u"}).Draw(t, "target")})
				}
			case 2:
				if w.stopped && !broke && !ended {
					broke = true
					next(StreamBrokenMsg{})
				}
			case 3:
				if !ended && !w.stopped && rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
					ended, w.runs = true, 0
					next(EndedMsg{})
				}
			default:
				if len(waiting) > 0 {
					c := waiting[0]
					waiting = waiting[1:]
					answer(c)
				}
			}
		}
		if !ended {
			ended = true
			next(EndedMsg{})
		}
		for len(waiting) > 0 {
			c := waiting[0]
			waiting = waiting[1:]
			if _, sent := c.(ContinueCmd); !sent {
				answer(c)
			}
		}
		for handle := range w.copies {
			t.Fatalf("the copy %s serves nobody in phase %v", handle, s.Phase)
		}
	})
}
