package backend

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
)

const soundHead = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"

// endless yields a text again and again.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.text[e.read%len(e.text):])
	e.read += n
	return n, nil
}

// TestReadHead checks the errors of heads that end early or are malformed, however the bytes arrive.
func TestReadHead(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"sound":                           {soundHead, nil},
		"as many interim as allowed":      {strings.Repeat(interim, maxInterimAnswers) + soundHead, nil},
		"one interim more":                {strings.Repeat(interim, maxInterimAnswers+1) + soundHead, ErrMalformed},
		"nothing":                         {"", io.EOF},
		"half a status line":              {"HTTP/1.1 20", io.ErrUnexpectedEOF},
		"half a version":                  {"HTT", io.ErrUnexpectedEOF},
		"half a head":                     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", io.ErrUnexpectedEOF},
		"half a head after an interim":    {interim + "HTTP/1.1 200 OK\r\n", io.ErrUnexpectedEOF},
		"nothing after an interim":        {interim, io.EOF},
		"another protocol":                {"SSH-2.0-x\r\n", ErrMalformed},
		"another protocol, no end":        {"SSH-2.0-x", ErrMalformed},
		"malformed field in an open head": {"HTTP/1.1 200 OK\r\nBad Name: x\r\n", ErrMalformed},
		"a head larger than the buffer":   {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", readBuffer) + "\r\n\r\n", ErrMalformed},
	} {
		for arrival, r := range map[string]io.Reader{
			"at once":   strings.NewReader(c.text),
			"bytewise":  iotest.OneByteReader(strings.NewReader(c.text)),
			"in halves": iotest.HalfReader(strings.NewReader(c.text)),
		} {
			var resp fasthttp.Response
			br := bufio.NewReaderSize(r, readBuffer)
			err := ReadHead(br, &resp)
			if !errors.Is(err, c.want) {
				t.Errorf("%s, %s: error %v, want %v", name, arrival, err, c.want)
			}
			if c.want == nil && (resp.StatusCode() != 200 || resp.Header.ContentLength() != 2) {
				t.Errorf("%s, %s: status %d, length %d", name, arrival, resp.StatusCode(), resp.Header.ContentLength())
			}
		}
	}
}

// TestCutHead checks that a head of any framing that ends at any byte before its last one is no head.
func TestCutHead(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for _, head := range []string{
		soundHead,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
		"HTTP/1.0 200 OK\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
		interim + soundHead,
	} {
		for at := range len(head) {
			for _, failure := range []error{io.EOF, syscall.ECONNRESET} {
				var resp fasthttp.Response
				r := io.MultiReader(strings.NewReader(head[:at]), iotest.ErrReader(failure))
				if err := ReadHead(bufio.NewReaderSize(r, readBuffer), &resp); err == nil {
					t.Errorf("%q followed by %v is a head of status %d", head[:at], failure, resp.StatusCode())
				}
			}
		}
	}
}

// TestHeadWithoutEnd checks that a head whose bytes never end is given up after a bounded part of it.
func TestHeadWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct{ start, rest string }{
		"a status line":         {"HTTP/1.1 200 ", "x"},
		"a field":               {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"fields":                {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"informational answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"line ends":             {"", "\r\n"},
		"zeros":                 {"", "\x00"},
	} {
		var resp fasthttp.Response
		rest := &endless{text: c.rest}
		br := bufio.NewReaderSize(io.MultiReader(strings.NewReader(c.start), rest), readBuffer)
		if err := ReadHead(br, &resp); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
		if rest.read > (maxInterimAnswers+1)*readBuffer {
			t.Errorf("%s: %d bytes were read", name, rest.read)
		}
	}
}

// TestBody checks what readers of a body get, and how it ends.
func TestBody(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		text, body string
		want       error // want is nil for a complete body.
		left       string
	}{
		"length":                   {soundHead + "okHTTP", "ok", nil, "HTTP"},
		"half of the length":       {soundHead + "o", "o", io.ErrUnexpectedEOF, ""},
		"no body":                  {"HTTP/1.1 204 No Content\r\n\r\nHTTP", "", nil, "HTTP"},
		"no body, a length":        {"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\nHTTP", "", nil, "HTTP"},
		"no length":                {"HTTP/1.1 200 OK\r\n\r\nok", "ok", ErrEndUnconfirmed, ""},
		"chunks":                   {chunked + "1\r\no\r\n1\r\nk\r\n0\r\n\r\nHTTP", "ok", nil, "HTTP"},
		"an extension":             {chunked + "2;a=\"b\"\r\nok\r\n0\r\n\r\n", "ok", nil, ""},
		"a trailer":                {chunked + "2\r\nok\r\n0\r\nA: x\r\nB: y\r\n\r\nHTTP", "ok", nil, "HTTP"},
		"chunks without end":       {chunked + "2\r\nok\r\n", "ok", io.ErrUnexpectedEOF, ""},
		"half a chunk":             {chunked + "3\r\nok", "ok", io.ErrUnexpectedEOF, ""},
		"no end behind the last":   {chunked + "2\r\nok\r\n0\r\n", "ok", io.ErrUnexpectedEOF, ""},
		"half a trailer":           {chunked + "2\r\nok\r\n0\r\nA: x\r\n", "ok", io.ErrUnexpectedEOF, ""},
		"a size that is none":      {chunked + "2\r\nok\r\n0x\r\n\r\n", "ok", ErrMalformed, ""},
		"a negative size":          {chunked + "2\r\nok\r\n-1\r\n\r\n", "ok", ErrMalformed, ""},
		"no size":                  {chunked + "2\r\nok\r\n\r\n\r\n", "ok", ErrMalformed, ""},
		"a chunk longer than told": {chunked + "2\r\nokay\r\n0\r\n\r\n", "ok", ErrMalformed, ""},
		"a size that is too large": {chunked + "fffffffffffffffff\r\nok\r\n", "", ErrMalformed, ""},
		"a space in a trailer":     {chunked + "2\r\nok\r\n0\r\nA B: x\r\n\r\n", "ok", ErrMalformed, ""},
		"an answer for a trailer":  {chunked + "2\r\nok\r\n0\r\n" + soundHead, "ok", ErrMalformed, ""},
	} {
		for arrival, r := range map[string]io.Reader{"at once": strings.NewReader(c.text), "bytewise": iotest.OneByteReader(strings.NewReader(c.text))} {
			var resp fasthttp.Response
			br := bufio.NewReaderSize(r, readBuffer)
			if err := ReadHead(br, &resp); err != nil {
				t.Fatal(err)
			}
			body := NewBody(br, &resp)
			data, err := io.ReadAll(body)
			if _, again := body.Read(make([]byte, 1)); c.want == nil && !errors.Is(again, io.EOF) {
				t.Errorf("%s, %s: a read behind the end returned %v", name, arrival, again)
			}
			if string(data) != c.body || !errors.Is(err, c.want) || (c.want == nil) != (err == nil) {
				t.Errorf("%s, %s: %q, error %v", name, arrival, data, err)
			}
			if left, _ := io.ReadAll(br); c.want == nil && string(left) != c.left {
				t.Errorf("%s, %s: %q follows the body", name, arrival, left)
			}
		}
	}
}

// TestBodyWithoutEnd checks that sizes of chunks and trailers whose bytes never end are given up.
func TestBodyWithoutEnd(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, rest string }{
		"a size":       {"", "0"},
		"an extension": {"2;", "x"},
		"a trailer":    {"0\r\n", "A: x\r\n"},
		"a field":      {"0\r\nA: ", "x"},
	} {
		var resp fasthttp.Response
		rest := &endless{text: c.rest}
		br := bufio.NewReaderSize(io.MultiReader(strings.NewReader(chunked+c.start), rest), readBuffer)
		if err := ReadHead(br, &resp); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(NewBody(br, &resp)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
		if rest.read > 2*readBuffer {
			t.Errorf("%s: %d bytes were read", name, rest.read)
		}
	}
}

// TestLastChunkDoesNotWaitForTrailer checks that the data of the last chunk is returned although the trailer
// behind it has not arrived.
func TestLastChunkDoesNotWaitForTrailer(t *testing.T) {
	var resp fasthttp.Response
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	br := bufio.NewReaderSize(io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrNoProgress)), readBuffer)
	if err := ReadHead(br, &resp); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 8)
	if n, err := NewBody(br, &resp).Read(buf); string(buf[:n]) != "ok" || err != nil {
		t.Errorf("%q, error %v", buf[:n], err)
	}
}
