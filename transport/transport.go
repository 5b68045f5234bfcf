// Package transport turns bytes into messages and commands into bytes. It
// holds every socket of the daemon and decides nothing: which server, whether
// to retry, what a caller may have are the decisions of the coordination
// packages.
//
//	callers  -> Gateway  -> exchange -> wire -> engines, plain services
//	operators -> Admin
//	instances <-> Links  (net/rpc)
//	platform <- Poller
//
// One exchange carries one request. It is a loop that feeds messages to
// [attempt.Update] and carries out the commands that come back.
package transport
