package main

import (
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// TestMetricsText checks the text served to scrapers, including labels.
func TestMetricsText(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.refused", r).Inc(3)
	metrics.GetOrRegisterCounter(`requests.ended{route="a.b-c",workspace="w",verdict="ran"}`, r).Inc(2)
	metrics.GetOrRegisterGauge("group.term", r).Update(7)
	var c fasthttp.RequestCtx
	writeMetrics(&c, r)
	const want = "weldstream_group_term 7\n" +
		"weldstream_requests_ended_total{route=\"a.b-c\",workspace=\"w\",verdict=\"ran\"} 2\n" +
		"weldstream_requests_refused_total 3\n"
	if got := string(c.Response.Body()); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
