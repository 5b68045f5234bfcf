package move

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed"
)

// TestNext checks each step of a move and its failures.
func TestNext(t *testing.T) {
	leaving, copied := LeavingMsg{"t"}, CopiedMsg{Copied, "h"}
	broke, stopped := StreamBrokenMsg{}, StoppedMsg{Copied, "h"}
	for name, c := range map[string]struct {
		msgs []Msg
		want []Cmd // want are the commands returned for the last message.
		end  Phase
	}{
		"no target":                             {[]Msg{LeavingMsg{}}, nil, Staying},
		"target available":                      {[]Msg{leaving}, []Cmd{CopyCmd{"t"}}, Copying},
		"stops after the copy":                  {[]Msg{leaving, copied}, []Cmd{StopCmd{"t"}}, Stopping},
		"continues after both":                  {[]Msg{leaving, copied, stopped, broke}, []Cmd{ContinueCmd{"t", false, "h"}}, Going},
		"continues in the other order":          {[]Msg{leaving, copied, broke, stopped}, []Cmd{ContinueCmd{"t", false, "h"}}, Going},
		"waits for the answer to the stop":      {[]Msg{leaving, copied, broke}, nil, Stopping},
		"waits for the end of the stream":       {[]Msg{leaving, copied, stopped}, nil, Stopped},
		"accepted":                              {[]Msg{leaving, copied, stopped, broke, AcceptedMsg{}}, nil, Over},
		"target full":                           {[]Msg{leaving, CopiedMsg{NoRoom, ""}}, nil, Staying},
		"copy already in progress":              {[]Msg{leaving, CopiedMsg{Busy, ""}}, nil, Staying},
		"copy not answered":                     {[]Msg{leaving, CopiedMsg{}}, nil, Staying},
		"last retry of the copy":                {append(slices.Repeat([]Msg{leaving, CopiedMsg{}}, maxFailedCopies-1), leaving), []Cmd{CopyCmd{"t"}}, Copying},
		"another target":                        {[]Msg{leaving, CopiedMsg{NoRoom, ""}, LeavingMsg{"u"}}, []Cmd{CopyCmd{"u"}}, Copying},
		"no such run":                           {[]Msg{leaving, CopiedMsg{NoRun, ""}, leaving}, nil, Over},
		"source fails during the copy":          {[]Msg{leaving, broke}, []Cmd{BreakCmd{}}, Over},
		"source answers after its stream broke": {[]Msg{leaving, broke, copied}, []Cmd{FreeCmd{"h", "t"}}, Over},
		"source fails during the stop":          {[]Msg{leaving, copied, broke, StoppedMsg{}}, []Cmd{BreakCmd{}, FreeCmd{"h", "t"}}, Over},
		"stop not answered, run continues":      {[]Msg{leaving, copied, StoppedMsg{}}, []Cmd{FreeCmd{"h", "t"}}, Staying},
		"stop refused":                          {[]Msg{leaving, copied, StoppedMsg{Busy, ""}}, []Cmd{FreeCmd{"h", "t"}}, Staying},
		"no room at the stop, kept at source":   {[]Msg{leaving, copied, StoppedMsg{NoRoom, "h"}, broke}, []Cmd{ContinueCmd{"t", true, "h"}}, Going},
		"no room at the stop, without handle":   {[]Msg{leaving, copied, StoppedMsg{NoRoom, ""}}, []Cmd{FreeCmd{"h", "t"}}, Staying},
		"target refuses, back to the source":    {[]Msg{leaving, copied, stopped, broke, RefusedMsg{}}, []Cmd{ContinueCmd{"t", true, "h"}}, Going},
		"target and source refuse":              {[]Msg{leaving, copied, stopped, broke, RefusedMsg{}, RefusedMsg{}}, []Cmd{BreakCmd{}, FreeCmd{"h", "t"}}, Over},
		"target does not answer":                {[]Msg{leaving, copied, stopped, broke, LostMsg{}}, []Cmd{BreakCmd{}, FreeCmd{"h", "t"}}, Over},
		"request ends during the copy":          {[]Msg{leaving, EndedMsg{}, copied}, []Cmd{FreeCmd{"h", "t"}}, Over},
		"request ends during the stop":          {[]Msg{leaving, copied, EndedMsg{}}, []Cmd{FreeCmd{"h", "t"}}, Over},
		"caller disconnects after the stop":     {[]Msg{leaving, copied, stopped, EndedMsg{}}, []Cmd{FreeCmd{"h", "t"}}, Over},
		"stream breaks without a move":          {[]Msg{broke}, []Cmd{BreakCmd{}}, Over},
		"too many failed copies":                {append(slices.Repeat([]Msg{leaving, CopiedMsg{}}, maxFailedCopies), leaving), nil, Over},
		"stop fails after the last retry":       {append(slices.Repeat([]Msg{leaving, CopiedMsg{}}, maxFailedCopies-1), leaving, copied, StoppedMsg{}), []Cmd{FreeCmd{"h", "t"}}, Over},
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

// TestOrder checks the order in which runs are moved.
func TestOrder(t *testing.T) {
	runs := []Run{{Priority: 2, ComputedTokens: 9000}, {Priority: 1, ComputedTokens: 10}, {Priority: 1, ComputedTokens: 500, NoRetry: true}, {Priority: 1, ComputedTokens: 9000}, {Priority: 1, ComputedTokens: 9000, RemainingTokens: 10}}
	if got := Order(runs); !slices.Equal(got, []int{2, 4, 3, 1, 0}) {
		t.Errorf("order %v", got)
	}
}

// servers is the actual state of the source and the targets, of which [State] is only the
// gateway's view.
type servers struct {
	stopped bool            // stopped is set when the source has stopped the run.
	copies  map[string]bool // copies are the copies that occupy memory, by handle.
	runs    int             // runs is the number of servers that currently execute the run.
}

// TestMoveInvariants runs moves with random failures. At most one server executes a run
// at a time, a request is sent on only after its run has stopped, and once the request
// has ended and all answers have arrived, every unused copy was freed by a FreeCmd.
func TestMoveInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		actual := servers{copies: map[string]bool{}, runs: 1}
		var pending []Cmd // pending are the commands without an answer yet.
		broke, ended, handles := false, false, 0
		do := func(cmds []Cmd) {
			for _, c := range cmds {
				switch c := c.(type) {
				case ContinueCmd:
					if !actual.stopped || actual.runs != 0 || !broke || ended {
						t.Fatalf("request sent on too early: stopped %v, %d runs, stream broken %v, ended %v", actual.stopped, actual.runs, broke, ended)
					}
					pending = append(pending, c)
				case FreeCmd:
					delete(actual.copies, c.Handle)
				case CopyCmd, StopCmd:
					pending = append(pending, c)
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
				if actual.stopped {
					outcome = NoRun // The source cannot copy a run that it has stopped.
				}
				if outcome == Copied {
					handles++
					actual.copies[handle] = true
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
					if !actual.stopped {
						actual.stopped, actual.runs = true, 0
						actual.copies[handle] = true
					}
				}
				if outcome == Failed && rapid.Bool().Draw(t, "stopped unheard") {
					actual.stopped, actual.runs = true, 0
				}
				next(StoppedMsg{outcome, name})
			case ContinueCmd:
				switch rapid.IntRange(0, 2).Draw(t, "sent on") {
				case 0:
					actual.runs++
					clear(actual.copies)
					next(AcceptedMsg{})
				case 1:
					next(RefusedMsg{})
				default:
					next(LostMsg{})
				}
			}
			if actual.runs > 1 {
				t.Fatal("two servers execute the run at the same time")
			}
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if !ended {
					next(LeavingMsg{Target: rapid.SampledFrom([]string{"", "t", "u"}).Draw(t, "target")})
				}
			case 2:
				if actual.stopped && !broke && !ended {
					broke = true
					next(StreamBrokenMsg{})
				}
			case 3:
				if !ended && !actual.stopped && rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
					ended, actual.runs = true, 0
					next(EndedMsg{})
				}
			default:
				if len(pending) > 0 {
					c := pending[0]
					pending = pending[1:]
					answer(c)
				}
			}
		}
		if !ended {
			ended = true
			next(EndedMsg{})
		}
		for len(pending) > 0 {
			c := pending[0]
			pending = pending[1:]
			if _, sent := c.(ContinueCmd); !sent {
				answer(c)
			}
		}
		for handle := range actual.copies {
			t.Fatalf("copy %s was not freed, phase %v", handle, s.Phase)
		}
	})
}
