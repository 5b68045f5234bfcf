package settings

import "time"

// Defaults of all optional settings. Nothing else defines a default.
const (
	DefaultBodyBytes        = 4 << 20                // maximum size of a request body, in bytes
	DefaultStreams          = 512                    // maximum number of requests in progress on one instance
	DefaultQueue            = 256                    // maximum number of requests that wait for a slot of one model, on one instance
	DefaultLoadReads        = 10                     // maximum number of load reports that one instance requests per second
	DefaultQueueWait        = 10 * time.Second       // maximum time that a request waits for a slot
	DefaultRequestDeadline  = 120 * time.Second      // deadline of a request whose caller does not set one
	DefaultMaxDeadline      = 30 * time.Minute       // longest deadline that a caller may set
	DefaultFirstByte        = 20 * time.Second       // time from dispatch to the response header, and from there to the first event
	DefaultChunkGap         = 10 * time.Second       // maximum time between two events of an engine's stream
	DefaultWriteStall       = 15 * time.Second       // a caller that reads no byte for this long is disconnected
	DefaultDial             = 500 * time.Millisecond // time to connect to a backend server or a peer
	DefaultAttempts         = 4                      // maximum number of attempts per request, including the first
	DefaultLoadPoll         = 250 * time.Millisecond // interval between two load reports requested from one server
	DefaultPlatformPoll     = 500 * time.Millisecond // interval between two reads of the platform's server list
	DefaultNoticePoll       = 200 * time.Millisecond // interval between two reads of the platform's notices
	DefaultGossip           = 200 * time.Millisecond // interval between two gossip rounds
	DefaultSuspect          = 3 * time.Second        // a member without a heartbeat for this long counts as lost
	DefaultDrain            = 10 * time.Minute       // a planned stop waits this long for running requests before it hands them over
	DefaultElection         = 450 * time.Millisecond // minimum election timeout; the maximum is twice as long
	DefaultReplicaHeartbeat = 120 * time.Millisecond // interval between two heartbeats of a leader
	DefaultSnapshotEntries  = 4096                   // log entries between two snapshots
	DefaultCommitBatch      = 512                    // maximum number of inputs that one disk sync commits
	DefaultReserveBytes     = 64 << 20               // bytes of disk space kept free
	DefaultClaimWindow      = time.Hour              // maximum age of a claimed request
	DefaultClaimSkew        = 2 * time.Minute        // how far a caller's clock may run ahead
	DefaultMaxClaims        = 100_000                // maximum number of claims kept at a time
	DefaultAnswerBytes      = 64 << 20               // maximum size of the stored answers of all claims together, in bytes
	DefaultFleetSettle      = 30 * time.Second       // a new leader observes this long before it buys instances: the lag of the platform's list
	DefaultFleetSurplus     = 5 * time.Minute        // an instance must have been surplus for this long before it is returned
	DefaultLogLevel         = "info"

	// Defaults for gateways and control instances; see Node.
	DefaultListRate       = 10                     // maximum number of list calls per second, all instances together
	DefaultRevoke         = 5 * time.Second        // time within which every instance refuses a revoked key
	DefaultGrace          = 8 * time.Second        // time from the stop signal to the end of the process
	DefaultDutyLease      = 3 * time.Second        // how long a former holder of a duty may still act
	DefaultRetryRatio     = 0.1                    // retries as a fraction of requests
	DefaultRetryWindow    = 10 * time.Second       // window over which retries are counted
	DefaultQuotaWindow    = 8 * time.Second        // window over which quotas are checked
	DefaultUsageWindow    = 5 * time.Second        // window that one usage report covers
	DefaultUsageDue       = 10 * time.Second       // a usage report is due this long after the end of its window
	DefaultTrialShare     = 0.1                    // fraction of a service's requests that a new version may receive before a roll-out moves to it
	DefaultTrialSlack     = 50.0                   // requests that the version may receive in addition to bounds.trial_share
	DefaultOrderRepeat    = 5 * time.Second        // time during which the order of a roll-out may be sent again
	DefaultCopies         = true                   // copy shared prompt prefixes between servers
	DefaultMoves          = true                   // move running answers from leaving servers to other servers
	DefaultMoveAhead      = time.Second            // answers are moved this long before their server ends: the servers of a domain have hundreds, and each takes 5 to 200 ms on their links
	DefaultMemoryFraction = 0.4                    // fraction of memory_mb that bodies, answers and connections may use, 0 for no limit: the heap may grow to 0.7 of memory_mb, and the garbage collector needs a quarter more than what is held
	DefaultCallerRate     = 1 << 10                // minimum rate in bytes per second at which a caller must send a body or read an answer, 0 for one byte per window: a tenth of the throughput of the slowest links in use
	DefaultCallerWindow   = 15 * time.Second       // window over which memory.rate is measured: longer than it takes to retransmit a lost packet several times; what a caller reads beyond the rate counts for up to three more windows, in which it may read nothing
	DefaultSocketKB       = 64                     // kernel buffer of a connection of a caller or server in each direction, in KB, 0 for the default of the kernel: the kernel doubles the value, which is enough for 20 MB/s at a round trip of 6 ms
	DefaultNodeElection   = 200 * time.Millisecond // minimum election timeout; the maximum is twice as long
	DefaultNodeHeartbeat  = 40 * time.Millisecond  // interval between two heartbeats of a leader
	DefaultNodeSnapshot   = 1024                   // log entries between two snapshots
	DefaultNodeReserve    = 8 << 20                // bytes of disk space kept free
)
