package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// A parser that tolerates malformed bytes makes an answer of what is none: fasthttp takes the status
// 000 for 200 and accepts spaces in field names. So heads and trailers are checked against the grammar
// of RFC 9112 before anything in them is believed.

// ErrMalformed is returned for an answer that breaks the grammar of HTTP/1.1. The request may have run.
var ErrMalformed = eris.New("the answer is malformed")

const (
	// maxInterimAnswers bounds the informational answers before the final one.
	maxInterimAnswers = 16
	minStatus         = 100
	maxStatus         = 599
	// versionPrefix is the start of each status line.
	versionPrefix = "HTTP/1."
)

// ReadHead reads the head of a final answer and leaves the body in br, whose buffer bounds the size of
// each head. It returns an error that wraps io.EOF if the connection ended before the first byte, and
// one that wraps ErrMalformed if the bytes are no answer.
func ReadHead(br *bufio.Reader, resp *fasthttp.Response) error {
	for range maxInterimAnswers + 1 {
		resp.Header.Reset()
		if err := readAnyHead(br, resp); err != nil {
			return err
		}
		switch status := resp.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return eris.Wrap(ErrMalformed, "the server switches to a protocol that was not asked for")
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return eris.Wrapf(ErrMalformed, "there are more than %d informational answers", maxInterimAnswers)
}

// readAnyHead reads one head, which may be that of an informational answer.
func readAnyHead(br *bufio.Reader, resp *fasthttp.Response) error {
	if start, err := br.Peek(len(versionPrefix)); err != nil {
		return readError(err, len(start))
	} else if string(start) != versionPrefix { // No line may ever follow.
		return eris.Wrapf(ErrMalformed, "it begins with %q", start)
	}
	var g headGrammar
	size, err := awaitLines(br, g.checkLine)
	if err != nil {
		return err
	}
	buffered := br.Buffered()
	if err := resp.Header.Read(br); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	if parsed := buffered - br.Buffered(); parsed != size {
		return eris.Wrapf(ErrMalformed, "the head has %d bytes, but %d were parsed", size, parsed)
	}
	return nil
}

// awaitLines waits until br has buffered all lines up to the one that check reports as the last, and
// returns their size in bytes. Each line is checked as soon as it has arrived, without its CRLF.
func awaitLines(br *bufio.Reader, check func(line []byte) (last bool, err error)) (size int, err error) {
	for {
		buffered, _ := br.Peek(br.Buffered()) // It cannot fail: the bytes are there.
		for n := lineLength(buffered[size:]); n > 0; n = lineLength(buffered[size:]) {
			line, ok := bytes.CutSuffix(buffered[size:size+n], []byte("\r\n"))
			if !ok {
				return 0, eris.Wrapf(ErrMalformed, "the line %q does not end with CRLF", line)
			}
			size += n
			if last, err := check(line); last || err != nil {
				return size, err
			}
		}
		if _, err := br.Peek(len(buffered) + 1); err != nil {
			return 0, readError(err, len(buffered))
		}
	}
}

// lineLength returns the length of the first line of p, including its end; 0 if it has no end.
func lineLength(p []byte) int { return bytes.IndexByte(p, '\n') + 1 }

// readError returns the error of a read that failed when some bytes of a head were buffered.
func readError(err error, buffered int) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return eris.Wrapf(ErrMalformed, "the head is larger than %d bytes", buffered)
	case errors.Is(err, io.EOF) && buffered > 0:
		err = io.ErrUnexpectedEOF
	}
	return eris.Wrap(err, "read answer")
}

// headGrammar checks the lines of one head in turn.
type headGrammar struct {
	inFields  bool // inFields reports that the status line was seen.
	http11    bool
	hasLength bool
	hasChunks bool
}

// checkLine checks the next line of the head. The empty line is the last one.
func (g *headGrammar) checkLine(line []byte) (last bool, err error) {
	if !g.inFields {
		g.inFields = true
		g.http11 = bytes.HasPrefix(line, []byte("HTTP/1.1 "))
		return false, checkStatusLine(line)
	}
	if len(line) == 0 {
		return true, nil
	}
	name, err := checkFieldLine(line)
	if err != nil {
		return false, err
	}
	g.hasLength = g.hasLength || bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength))
	g.hasChunks = g.hasChunks || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
	switch {
	case g.hasChunks && g.hasLength:
		return false, eris.Wrap(ErrMalformed, "it has both a length and a transfer encoding")
	case g.hasChunks && !g.http11:
		return false, eris.Wrap(ErrMalformed, "it has a transfer encoding, but its version is not HTTP/1.1")
	}
	return false, nil
}

// checkTrailerLine checks a line behind the last chunk. The empty line is the last one.
func checkTrailerLine(line []byte) (last bool, err error) {
	if len(line) == 0 {
		return true, nil
	}
	_, err = checkFieldLine(line)
	return false, err
}

// checkStatusLine checks a status line. The space before a missing reason may be missing, too: many
// servers leave it out.
func checkStatusLine(line []byte) error {
	rest, ok := bytes.CutPrefix(line, []byte(versionPrefix))
	if !ok || len(rest) < len("1 200") || !isDigit(rest[0]) || rest[1] != ' ' {
		return eris.Wrapf(ErrMalformed, "%q is no status line", line)
	}
	code, reason := rest[2:5], rest[5:]
	status, err := fasthttp.ParseUint(code)
	if err != nil || status < minStatus || status > maxStatus {
		return eris.Wrapf(ErrMalformed, "%q is no status", code)
	}
	if len(reason) > 0 && (reason[0] != ' ' || !isText(reason)) {
		return eris.Wrapf(ErrMalformed, "%q is no status line", line)
	}
	return nil
}

// checkFieldLine checks a line of a head or a trailer and returns the name of its field.
func checkFieldLine(line []byte) (name []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !isToken(name) {
		return nil, eris.Wrapf(ErrMalformed, "%q is no name of a field", name)
	}
	if !isText(value) {
		return nil, eris.Wrapf(ErrMalformed, "the field %q has a control byte", name)
	}
	return name, nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isLetter(c byte) bool { return 'a' <= c|0x20 && c|0x20 <= 'z' }

// tokenMarks are the bytes of tokens other than letters and digits.
const tokenMarks = "!#$%&'*+-.^_`|~"

// isToken reports whether p is a token of RFC 9110, section 5.6.2.
func isToken(p []byte) bool {
	for _, c := range p {
		if !isDigit(c) && !isLetter(c) && strings.IndexByte(tokenMarks, c) < 0 {
			return false
		}
	}
	return len(p) > 0
}

// isText reports whether p holds no control byte but tabs.
func isText(p []byte) bool {
	for _, c := range p {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
