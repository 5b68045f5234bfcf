package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// EngineConfig configures an engine stand-in.
type EngineConfig struct {
	ID           string
	Models       []string
	Adapters     []string
	TokenTime    time.Duration // TokenTime is the time per token with one request in the batch.
	BatchTime    time.Duration // BatchTime is added per token for each further request in the batch.
	MaxBatch     int           // MaxBatch is the maximum number of requests that run at once.
	PrefillRate  int           // PrefillRate is the number of prompt tokens computed per step.
	CacheTokens  int           // CacheTokens is the capacity of the prefix cache.
	ReportLag    time.Duration // ReportLag is the interval at which the load report is updated, and so its maximum age.
	IgnoreFence  bool          // IgnoreFence accepts orders with any fence.
	CrashWord    string        // CrashWord makes the engine crash when a prompt that contains it starts to run; empty for none.
	Crash        func()        // Crash ends the process of the engine.
	EventGapEach int           // EventGapEach drops every n-th cache event; 0 drops none.
}

// EngineStats counts what an engine actually did.
type EngineStats struct {
	Running    int            `json:"running"`
	Waiting    int            `json:"waiting"`
	Started    int            `json:"started"`
	Finished   int            `json:"finished"`
	Canceled   int            `json:"canceled"`
	Exported   int            `json:"exported"`
	Imported   int            `json:"imported"`
	Tokens     int            `json:"tokens"`
	Prefilled  int            `json:"prefilled"`
	Recomputed int            `json:"recomputed"` // Recomputed counts tokens prefilled by later attempts.
	Runs       map[string]int `json:"runs"`       // Runs counts starts per idempotency key, without continuations.
	Orders     []OrderRecord  `json:"orders"`
}

// OrderRecord is an order and whether it was accepted.
type OrderRecord struct {
	protocol.Order
	Accepted bool `json:"accepted"`
}

// Engine is a model engine stand-in. As in real engines, one loop advances the
// whole batch: each step generates one token for every running request and takes
// longer with more requests.
type Engine struct {
	cfg    EngineConfig
	faults *faultState
	ctx    context.Context

	mu       sync.Mutex
	running  []*job
	waiting  []*job
	jobs     map[string]*job
	exports  map[string]export
	cache    *prefixCache
	events   []protocol.CacheEvent
	models   []string
	adapters []string
	fence    uint64
	sequence uint64
	report   protocol.LoadReport
	stats    EngineStats
}

// export is an ended request whose KV cache other engines can fetch.
type export struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

// NewEngine returns an engine stand-in that is not serving yet.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{
		cfg:      cfg,
		faults:   newFaultState(),
		jobs:     map[string]*job{},
		exports:  map[string]export{},
		models:   slices.Clone(cfg.Models),
		adapters: slices.Clone(cfg.Adapters),
	}
	e.cache = newPrefixCache(cfg.CacheTokens, e.cacheEvent)
	e.stats.Runs = map[string]int{}
	e.report = e.loadReport()
	return e
}

// Serve runs the engine until ctx ends.
func (e *Engine) Serve(ctx context.Context, l Listeners) error {
	e.ctx = ctx
	go e.runSteps(ctx)
	go e.reportLoop(ctx)
	return l.serve(ctx, e.handler(), e.controlHandler())
}

func (e *Engine) runSteps(ctx context.Context) {
	for ctx.Err() == nil {
		d := e.step()
		if !pause.For(ctx, d) || !e.faults.waitUnfrozen(ctx) {
			return
		}
	}
}

// step advances the batch by one token and returns how long that takes.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	for _, j := range e.running {
		e.advance(j)
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.ended })
	return e.cfg.TokenTime + time.Duration(max(0, len(e.running)-1))*e.cfg.BatchTime
}

// admit moves waiting requests into the batch, highest priority first.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *job) int { return b.priority - a.priority })
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxBatch {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if j.ended {
			continue
		}
		if e.cfg.CrashWord != "" && strings.Contains(j.prompt, e.cfg.CrashWord) {
			e.cfg.Crash()
		}
		e.prefill(j)
		e.running = append(e.running, j)
	}
}

func (e *Engine) prefill(j *job) {
	available := max(e.cache.lookup(j.prompt, j.promptTokens), j.imported)
	missing := max(0, j.promptTokens+j.start-available)
	j.prefillLeft = missing
	e.stats.Prefilled += missing
	if j.attempt > 1 {
		e.stats.Recomputed += missing
	}
	e.cache.add(j.prompt, j.promptTokens)
}

func (e *Engine) advance(j *job) {
	if j.ended {
		return
	}
	if j.prefillLeft > 0 {
		j.prefillLeft -= e.cfg.PrefillRate
		return
	}
	token := jobToken{offset: j.next}
	if j.next < j.maxTokens {
		token.text = TokenText(j.prompt, j.next)
		j.next++
		e.stats.Tokens++
	}
	if j.next >= j.maxTokens {
		token.finish = "length"
		e.stats.Finished++
		e.removeLocked(j)
	}
	j.tokens <- token
	if j.ended {
		close(j.tokens)
	}
}

// removeLocked marks a job as ended and removes it from e.jobs. The caller holds e.mu.
func (e *Engine) removeLocked(j *job) {
	j.ended = true
	delete(e.jobs, j.id)
}

// submit queues a job unless the engine refuses new work.
func (e *Engine) submit(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f := e.faults.get(); f.Refuse || f.Leaving {
		return false
	}
	e.stats.Started++
	if !j.continued {
		e.stats.Runs[j.key]++
	}
	e.jobs[j.id] = j
	e.waiting = append(e.waiting, j)
	return true
}

// cancel ends a job whose caller has disconnected.
func (e *Engine) cancel(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.ended {
		return
	}
	e.stats.Canceled++
	e.removeLocked(j)
	close(j.tokens)
}

// exportJob ends a request and keeps its KV cache for other engines to fetch.
func (e *Engine) exportJob(id string) (export, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := e.jobs[id]
	if !ok {
		x, done := e.exports[id]
		return x, done
	}
	x := export{Prompt: j.prompt, Tokens: j.promptTokens + j.next}
	e.exports[id] = x
	e.stats.Exported++
	e.removeLocked(j)
	j.tokens <- jobToken{offset: j.next, finish: finishExported}
	close(j.tokens)
	return x, true
}

func (e *Engine) loadReport() protocol.LoadReport {
	e.sequence++
	used := 0.0
	if e.cfg.CacheTokens > 0 {
		used = float64(e.cache.used) / float64(e.cfg.CacheTokens)
	}
	return protocol.LoadReport{
		Server:   e.cfg.ID,
		Sequence: e.sequence,
		Models:   slices.Clone(e.models),
		Adapters: slices.Clone(e.adapters),
		Slots:    e.cfg.MaxBatch,
		Running:  len(e.running),
		Waiting:  len(e.waiting),
		KVUsed:   used,
		Leaving:  e.faults.get().Leaving,
	}
}

func (e *Engine) reportLoop(ctx context.Context) {
	for pause.For(ctx, max(e.cfg.ReportLag, time.Millisecond)) {
		e.mu.Lock()
		e.report = e.loadReport()
		e.mu.Unlock()
	}
}

func (e *Engine) cacheEvent(ev protocol.CacheEvent) {
	ev.Sequence = uint64(len(e.events) + 1)
	e.events = append(e.events, ev)
}

// applyOrder carries out a fenced order and reports whether it was accepted.
func (e *Engine) applyOrder(o protocol.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok := e.cfg.IgnoreFence || o.Fence >= e.fence
	e.stats.Orders = append(e.stats.Orders, OrderRecord{Order: o, Accepted: ok})
	if !ok {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case protocol.OrderLoadAdapter:
		e.adapters = appendNew(e.adapters, o.Name)
	case protocol.OrderLoadModel:
		e.models = appendNew(e.models, o.Name)
	case protocol.OrderUnloadAdapter:
		e.adapters = slices.DeleteFunc(e.adapters, func(a string) bool { return a == o.Name })
	case protocol.OrderRole:
		e.models = []string{o.Name}
	}
	return true
}

func appendNew(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}

// Stats returns a copy of the statistics.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Running, s.Waiting = len(e.running), len(e.waiting)
	s.Runs = make(map[string]int, len(e.stats.Runs))
	for id, n := range e.stats.Runs {
		s.Runs[id] = n
	}
	s.Orders = slices.Clone(e.stats.Orders)
	return s
}

func (e *Engine) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", e.faults.handleFaults)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Stats())
	})
	return mux
}
