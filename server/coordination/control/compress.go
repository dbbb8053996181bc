package control

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"wagtailford.example/server/state/config"
)

// compress compresses a snapshot for the transfer to other nodes. Routes resemble each other, so the result is a
// small fraction of the size.
func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress snapshot: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress snapshot: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress snapshot: %w", err)
	}
	return out.Bytes(), nil
}

// decompress reverses compress. Its result is limited to one byte more than the maximum size of a snapshot; a result
// of that length is rejected when it is decoded.
func decompress(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), config.MaxSnapshotBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress snapshot: %w", err)
	}
	return out, nil
}
