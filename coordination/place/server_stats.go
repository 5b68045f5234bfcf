package place

import (
	"sync"
	"time"
)

const (
	// reportDecayTime is the age at which the load of other gateways in a report counts
	// half: it is weighted by 1/(1+age/reportDecayTime).
	reportDecayTime = 2 * time.Second
	// minDistrust and maxDistrust bound how long a failing server is suspect and so penalized
	// (exponential backoff).
	minDistrust = 400 * time.Millisecond
	maxDistrust = 6 * time.Second
	// distrustThreshold is the number of consecutive failures after which a server is
	// suspect.
	distrustThreshold = 2
	// sharedDistrustTTL is how long a distrust shared by other gateways holds unless it is
	// renewed.
	sharedDistrustTTL = 800 * time.Millisecond
	// failureRateWeight is the weight of the latest request in the failure rate
	// (exponential moving average).
	failureRateWeight = 0.15
)

// ServerStats holds what one gateway knows of one backend server: its own outstanding
// requests, the load of all gateways, and the failures that it saw.
type ServerStats struct {
	mu                  sync.Mutex // mu guards all fields below.
	outstanding         int        // outstanding counts the requests sent to the server that have not ended.
	reportedLoad        int        // reportedLoad is the latest reported load of the server, from the requests of all gateways.
	outstandingAtReport int        // outstandingAtReport is the part of reportedLoad that is this gateway's.
	reportedAt          time.Time
	consecutiveFailures int
	distrustedUntil     time.Time // distrustedUntil is the end of the distrust for failures that this gateway saw.
	sharedDistrustUntil time.Time // sharedDistrustUntil is the same for failures that other gateways saw.
	sentOutstanding     int       // sentOutstanding is outstanding as last sent to the leader.
	assumedStop         time.Time // assumedStop is when a leaving server counts as stopped, see SetLeaving; zero if unknown.
	pendingPrefill      float64   // pendingPrefill is the prompt length still to be prefilled, in prompts of mean length.
	failureRate         float64   // failureRate is the moving average of failed requests, from 0 to 1.
}

// RequestStarted records a request sent to the server.
func (s *ServerStats) RequestStarted() {
	s.mu.Lock()
	s.outstanding++
	s.mu.Unlock()
}

// RequestEnded records the end of a request sent to the server.
func (s *ServerStats) RequestEnded() {
	s.mu.Lock()
	s.outstanding--
	s.mu.Unlock()
}

// PrefillStarted adds a prompt, as a multiple of the mean length, to the prefill work that
// the server still has to do for this gateway.
func (s *ServerStats) PrefillStarted(prompt float64) {
	s.mu.Lock()
	s.pendingPrefill += prompt
	s.mu.Unlock()
}

// PrefillDone removes a prompt that the server has prefilled.
func (s *ServerStats) PrefillDone(prompt float64) { s.PrefillStarted(-prompt) }

// SetReportedLoad records the load that the server itself reported: the running and waiting
// requests of all gateways.
func (s *ServerStats) SetReportedLoad(load int, now time.Time) {
	s.mu.Lock()
	s.reportedLoad, s.outstandingAtReport, s.reportedAt = load, s.outstanding, now
	s.mu.Unlock()
}

// reportOutstanding returns the outstanding requests of this gateway and remembers the
// number as the one sent to the leader.
func (s *ServerStats) reportOutstanding() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentOutstanding = s.outstanding
	return s.outstanding
}

// applyLoad records the load from all gateways, in which this gateway's part is the number
// it sent last, and whether other gateways distrust the server. It reports whether that
// distrust is new.
func (s *ServerStats) applyLoad(load int, distrusted bool, now time.Time) (newly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedLoad, s.outstandingAtReport, s.reportedAt = load, s.sentOutstanding, now
	newly = distrusted && !now.Before(s.sharedDistrustUntil)
	s.sharedDistrustUntil = time.Time{}
	if distrusted {
		s.sharedDistrustUntil = now.Add(sharedDistrustTTL)
	}
	return newly
}

// distrustedLocally reports whether the server is suspect for failures that this
// gateway saw itself.
func (s *ServerStats) distrustedLocally(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.distrustedUntil)
}

// RequestFailed records a failure that counts against the server, and reports whether the
// failure makes a server suspect that was not. A hard failure, such as a refused
// connection, reaches the threshold at once.
func (s *ServerStats) RequestFailed(hard bool, now time.Time) (started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	trusted := !now.Before(s.distrustedUntil)
	s.consecutiveFailures++
	s.failureRate += failureRateWeight * (1 - s.failureRate)
	if hard {
		s.consecutiveFailures = max(s.consecutiveFailures, distrustThreshold)
	}
	if s.consecutiveFailures < distrustThreshold {
		return false
	}
	wait := min(minDistrust<<min(s.consecutiveFailures-distrustThreshold, 5), maxDistrust)
	s.distrustedUntil = now.Add(wait)
	return trusted
}

// RequestSucceeded records an answer that counts in favor of the server, and reports
// whether failures seen here had made the server suspect since the previous success.
func (s *ServerStats) RequestSucceeded() (wasDistrusted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasDistrusted = !s.distrustedUntil.IsZero()
	s.consecutiveFailures, s.distrustedUntil = 0, time.Time{}
	s.failureRate -= failureRateWeight * s.failureRate
	return wasDistrusted
}

// Outstanding returns how many requests of this gateway the server has.
func (s *ServerStats) Outstanding() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outstanding
}

// Suspect reports whether the server failed recently, as seen here or by other gateways. It
// is penalized then, and chosen only if all others are worse.
func (s *ServerStats) Suspect(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspect(now)
}

// suspect is Suspect for callers that hold s.mu.
func (s *ServerStats) suspect(now time.Time) bool {
	return now.Before(s.distrustedUntil) || now.Before(s.sharedDistrustUntil)
}

// load returns the estimated number of requests at the server, the pending prefill in
// prompts of mean length, the failure rate, and whether the server is suspect. The part of
// the load that other gateways caused decays with the age of the report.
func (s *ServerStats) load(now time.Time) (load, pending, failing float64, suspect bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load = float64(s.outstanding)
	if !s.reportedAt.IsZero() {
		age := float64(now.Sub(s.reportedAt)) / float64(reportDecayTime)
		others := float64(max(0, s.reportedLoad-s.outstandingAtReport)) / (1 + age)
		load += others
	}
	return load, s.pendingPrefill, s.failureRate, s.suspect(now)
}

// maxUseAfterNotice is how long after its notice a leaving server may still get requests.
// Users require that it gets no new work after a few seconds, and the notice itself may
// arrive a second late.
const maxUseAfterNotice = 1500 * time.Millisecond

// SetLeaving records that the server is leaving and stops after the given time. It counts as
// stopped earlier if that time is long: leavingCandidates requires minRemainingTime before
// the stop, so the last request is sent at most maxUseAfterNotice after the notice. The
// first notice counts, since a later one may have been delayed for longer.
func (s *ServerStats) SetLeaving(after time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assumedStop.IsZero() {
		s.assumedStop = now.Add(min(after, maxUseAfterNotice+minRemainingTime))
	}
}

// stopTime returns when a leaving server counts as stopped; zero if unknown.
func (s *ServerStats) stopTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assumedStop
}
