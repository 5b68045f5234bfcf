// Package transport converts bytes into messages and commands into bytes. It
// owns all sockets of the daemon and makes no decisions: which server to use,
// whether to retry and what a caller is entitled to are decided by the
// coordination packages.
//
//	callers  -> Gateway  -> exchange -> serverConn -> engines, plain services
//	operators -> Admin
//	instances <-> Links  (net/rpc)
//	platform <- Poller
//
// One exchange handles one request. It is a loop that passes messages to
// [attempt.Update] and executes the returned commands.
package transport
