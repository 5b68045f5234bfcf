package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// quantiles are the quantiles reported for each timer.
var quantiles = []float64{0.5, 0.9, 0.99}

// writeMetrics writes all metrics as text, one per line: name, labels, value.
func writeMetrics(c *fasthttp.RequestCtx, r metrics.Registry) {
	c.SetContentType("text/plain; version=0.0.4")
	var lines []string
	r.Each(func(name string, m any) { lines = append(lines, metricLines(metricName(name), m)...) })
	slices.Sort(lines)
	for _, line := range lines {
		_, _ = io.WriteString(c, line)
	}
}

// metricName returns the name of a metric in the format that scrapers expect. Labels,
// which may follow the name in braces, are left unchanged.
func metricName(name string) string {
	name, labels := cutLabels(name)
	return "weldstream_" + strings.NewReplacer(".", "_", "-", "_").Replace(name) + labels
}

func cutLabels(name string) (bare, labels string) {
	if i := strings.IndexByte(name, '{'); i >= 0 {
		return name[:i], name[i:]
	}
	return name, ""
}

func metricLines(name string, m any) []string {
	switch m := m.(type) {
	case metrics.Counter:
		bare, labels := cutLabels(name)
		return []string{fmt.Sprintf("%s_total%s %d\n", bare, labels, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d\n", name, m.Value())}
	case metrics.Timer:
		t := m.Snapshot()
		lines := []string{fmt.Sprintf("%s_seconds_count %d\n", name, t.Count())}
		for i, v := range t.Percentiles(quantiles) {
			lines = append(lines, fmt.Sprintf("%s_seconds{quantile=\"%g\"} %g\n", name, quantiles[i], v/1e9))
		}
		return lines
	}
	return nil
}

func writeDump(c *fasthttp.RequestCtx, dump any) {
	data, err := json.MarshalIndent(dump, "", "  ")
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(data)
}
