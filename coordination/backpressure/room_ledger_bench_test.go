package backpressure

import (
	"fmt"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// BenchmarkRoomReport measures the leader's work for a report of one of 300 gateways that asks for room at any of
// 1,000 brittle servers, and has some at five of them.
func BenchmarkRoomReport(b *testing.B) {
	const gateways, servers, held = 300, 1000, 5
	a := NewPermitAllocator()
	var list []protocol.ListedServer
	for i := range servers {
		list = append(list, protocol.ListedServer{Server: fmt.Sprint("s", i), Service: "a", Slots: 16, Takes: true})
	}
	a.RememberBrittle([]protocol.BrittleService{{Service: "a", MaxRejections: 8}}, start)
	a.SetServers(list, start)
	now, numbers := start, [gateways]uint64{}
	held0 := make([][]protocol.RoomRequest, gateways)
	for g := range gateways {
		for k := range held {
			held0[g] = append(held0[g], protocol.RoomRequest{Server: fmt.Sprint("s", (g*held+k)%servers), Service: "a", Slots: 16, Wanted: 1})
		}
	}
	b.ResetTimer()
	for n := range b.N {
		g := n % gateways
		now = now.Add(time.Millisecond)
		numbers[g]++
		m := protocol.LimitsMsg{Gateway: fmt.Sprint("g", g), Life: 1, Term: 1, Held: a.Change(), Number: numbers[g], Rooms: held0[g], Wanted: []protocol.RoomWant{{Service: "a", Count: 1}}}
		a.HandleReport(&m, 1, now)
	}
}
