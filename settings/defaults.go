package settings

import "time"

// The defaults of every setting that may be left out. This is the one place
// that names them.
const (
	DefaultBodyBytes       = 4 << 20                // bytes of a caller's body
	DefaultStreams         = 512                    // requests in progress on one instance
	DefaultQueue           = 256                    // requests that wait for a slot of one model, on one instance
	DefaultLoadReads       = 10                     // load reports that one instance asks for in a second
	DefaultQueueWait       = 10 * time.Second       // the longest such wait
	DefaultRequestDeadline = 120 * time.Second      // deadline of a request whose caller names none
	DefaultMaxDeadline     = 30 * time.Minute       // the longest that a caller may name
	DefaultFirstByte       = 20 * time.Second       // from dispatch to the answer, and to its first event
	DefaultChunkGap        = 10 * time.Second       // between two events of an engine's stream
	DefaultWriteStall      = 15 * time.Second       // a caller that takes no byte for so long is cut off
	DefaultDial            = 500 * time.Millisecond // to connect to a backend server or a peer
	DefaultAttempts        = 4                      // attempts of one request, the first included
	DefaultLoadPoll        = 250 * time.Millisecond // between two load reports asked of a server
	DefaultPlatformPoll    = 500 * time.Millisecond // between two reads of the platform's list
	DefaultNoticePoll      = 200 * time.Millisecond // between two reads of the platform's notices
	DefaultGossip          = 200 * time.Millisecond // between two gossip rounds
	DefaultSuspect         = 3 * time.Second        // without a beat, a member counts as lost
	DefaultDrain           = 10 * time.Minute       // a planned stop waits so long before it hands over
	DefaultElection        = 450 * time.Millisecond // least election timeout; the most is twice that
	DefaultReplicaBeat     = 120 * time.Millisecond // between two heartbeats of a leader
	DefaultSnapshotEntries = 4096                   // log entries between two snapshots
	DefaultCommitBatch     = 512                    // inputs that one sync commits at most
	DefaultReserveBytes    = 64 << 20               // bytes of the disk kept free
	DefaultClaimWindow     = time.Hour              // how old a claimed request may be
	DefaultClaimSkew       = 2 * time.Minute        // how far a caller's clock may run ahead
	DefaultClaims          = 100_000                // claims kept at once
	DefaultAnswerBytes     = 64 << 20               // bytes of stored answers, all claims together
	DefaultFleetSettle     = 30 * time.Second       // a new leader looks on before it buys: the lag of the platform's list
	DefaultFleetSurplus    = 5 * time.Minute        // an instance is one too many so long before it is given back
	DefaultLogLevel        = "info"

	// Of gateways and control instances; see Node.
	DefaultListRate     = 10                     // list calls a second of all instances
	DefaultRevoke       = 5 * time.Second        // a key that was taken away is refused everywhere
	DefaultGrace        = 8 * time.Second        // between the order to stop and the end
	DefaultDutyLease    = 3 * time.Second        // a former holder of a duty may still act
	DefaultRetryRatio   = 0.1                    // retries as a part of requests
	DefaultRetryWindow  = 10 * time.Second       // the window of the retries
	DefaultQuotaWindow  = 8 * time.Second        // the window of the quotas
	DefaultUsageWindow  = 5 * time.Second        // the window of a usage report
	DefaultUsageDue     = 10 * time.Second       // after a window its report is due
	DefaultTrialShare   = 0.1                    // the part of a service's requests that a version may get before a roll-out moves to it
	DefaultTrialSlack   = 50.0                   // requests that it may get besides
	DefaultOrderRepeat  = 5 * time.Second        // the order of a roll-out may be sent again for so long
	DefaultCopies       = true                   // shared parts of prompts are copied between servers
	DefaultMoves        = true                   // running answers of leaving servers go on elsewhere
	DefaultMoveAhead    = time.Second            // before its end a leaving server's answers are moved: a domain's servers have hundreds, of 5 to 200 ms each on their links
	DefaultMemoryPart   = 0.4                    // part of memory_mb that bodies, answers and connections may take, 0 for no limit: the heap may grow to 0.7 of it, and the collector needs a quarter above what is held
	DefaultCallerRate   = 1 << 10                // least bytes a second at which a caller sends a body or takes an answer, 0 for one byte in each window: a tenth of what the slowest links in use carry
	DefaultCallerWindow = 15 * time.Second       // the time over which that rate holds: longer than a lost packet is repeated several times
	DefaultSocketKB     = 64                     // KB that the kernel may keep of a connection of a caller or server each way, 0 to leave it to the kernel: it doubles them, and carries 20 MB/s over 6 ms there and back
	DefaultNodeElection = 200 * time.Millisecond // least election timeout of control instances
	DefaultNodeBeat     = 40 * time.Millisecond  // between two heartbeats of their leader
	DefaultNodeSnapshot = 1024                   // log entries between two snapshots of a control instance
	DefaultNodeReserve  = 8 << 20                // bytes of a control instance's disk kept free
)
