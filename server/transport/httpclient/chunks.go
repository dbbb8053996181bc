package httpclient

import (
	"bytes"
	"fmt"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

const (
	// chunkLineMax limits the line of a chunk's size and extensions, in bytes.
	chunkLineMax = readBufferBytes
	// chunkSizeDigitsMax limits the digits of a chunk's size.
	chunkSizeDigitsMax = 16
)

var crlf = []byte("\r\n")

// takeChunks reads a body in chunks and its trailer (RFC 9112, section 7.1). Extensions and trailer fields are dropped.
func (b *body) takeChunks() error {
	for extensionBytes := 0; ; {
		size, extension, err := b.readChunkSize()
		if err != nil {
			return err
		}
		if extensionBytes += extension; extensionBytes > b.trailerMax {
			return fmt.Errorf("%w: chunk extensions", ErrTooLarge)
		}
		if size == 0 {
			return b.skipTrailer()
		}
		if err := b.take(size); err != nil {
			return err
		}
		if err := b.skipLineEnd(); err != nil {
			return err
		}
	}
}

// readChunkSize reads the line before a chunk: hexadecimal digits and extensions, which a recipient must ignore. extension is
// the number of bytes of these.
func (b *body) readChunkSize() (size, extension int, err error) {
	line, err := b.reader.readLine(chunkLineMax)
	if err == errLineTooLong {
		return 0, 0, fmt.Errorf("%w: chunk line longer than %d bytes", ErrMalformed, chunkLineMax)
	}
	if err != nil {
		return 0, 0, err
	}
	digits := 0
	for digits < len(line) && isHexDigit(line[digits]) {
		digits++
	}
	parsed, err := strconv.ParseUint(string(line[:digits]), 16, strconv.IntSize-1)
	if err != nil || digits > chunkSizeDigitsMax || !isChunkExtension(line[digits:]) {
		return 0, 0, fmt.Errorf("%w: chunk line %.*q", ErrMalformed, quotedMax, line)
	}
	b.unusualChunks = b.unusualChunks || hasBlankBeforeExtension(line[digits:])
	return int(parsed), len(line) - digits, nil
}

func isHexDigit(b byte) bool {
	return isDigit(b) || b >= 'a' && b <= 'f' || b >= 'A' && b <= 'F'
}

// isChunkExtension reports whether what follows a chunk's size is nothing, or begins with a semicolon after blanks and holds no
// control bytes.
func isChunkExtension(text []byte) bool {
	return len(text) == 0 || bytes.HasPrefix(bytes.TrimLeft(text, " \t"), []byte(";")) && httpguts.ValidHeaderFieldValue(string(text))
}

// hasBlankBeforeExtension reports whether a blank stands where a digit of the size could have been.
func hasBlankBeforeExtension(text []byte) bool { return len(text) > 0 && text[0] != ';' }

// skipLineEnd reads the line end after the data of a chunk.
func (b *body) skipLineEnd() error {
	end, err := b.reader.Peek(len(crlf))
	if err != nil {
		return err
	}
	if !bytes.Equal(end, crlf) {
		return fmt.Errorf("%w: no line end after a chunk", ErrMalformed)
	}
	return b.reader.Skip(len(crlf))
}

// skipTrailer reads the fields after the last chunk and the empty line that ends them.
func (b *body) skipTrailer() error {
	lines := lineReader{reader: b.reader, left: b.trailerMax}
	for {
		line, err := lines.next()
		if err != nil || len(line) == 0 {
			return err
		}
		name, _, err := parseField(line)
		if err != nil {
			return err
		}
		if isFramingField(string(name)) {
			return fmt.Errorf("%w: trailer field %.*q", ErrMalformed, quotedMax, name)
		}
	}
}
