package backpressure

import (
	"slices"
	"strings"
	"time"
)

// RoomUse is the room at the brittle servers of a service, as the leader counts it.
type RoomUse struct {
	Service        string `json:"service"`
	Servers        int    `json:"servers"`
	Places         int    `json:"places"`          // Places is the number of requests that the servers have room for.
	GrantedPlaces  int    `json:"granted_places"`  // GrantedPlaces is how many of them gateways have.
	Credits        int    `json:"credits"`         // Credits is the number of requests that may be undecided at a time.
	GrantedCredits int    `json:"granted_credits"` // GrantedCredits is how many of them gateways have.
	RestingCredits int    `json:"resting_credits"` // RestingCredits is how many may have been used up by a rejection.
	Gateways       int    `json:"gateways"`        // Gateways is the number of gateways that have room.
	Short          int    `json:"short"`           // Short is the number of gateways that lately got less than they asked for.
	Refused        uint64 `json:"refused"`         // Refused counts the requests for room that got none.
}

// use returns the room at the brittle servers of each service.
func (l *RoomLedger) use(now time.Time) (list []RoomUse) {
	for name, s := range l.services {
		u := RoomUse{Service: name, Gateways: len(s.used), Short: len(s.short), Refused: s.refused}
		for _, room := range s.servers {
			credits := room.credits
			if credits == 0 {
				continue
			}
			u.Servers++
			u.Places, u.GrantedPlaces = u.Places+room.ceiling.limit(room.slots, now), u.GrantedPlaces+room.used.places
			u.Credits, u.GrantedCredits = u.Credits+credits, u.GrantedCredits+room.used.credits
			for _, r := range room.resting {
				if now.Before(r.until) {
					u.RestingCredits += r.count
				}
			}
		}
		if u.Servers > 0 {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b RoomUse) int { return strings.Compare(a.Service, b.Service) })
	return list
}
