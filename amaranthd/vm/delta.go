package vm

import (
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/configfile"
)

const dictionaryID = 1

// Compress encodes body, with the body that the receiver has as a dictionary,
// or without one if base is empty.
func Compress(body, base []byte) (frame []byte, err error) {
	defer func() { err = eris.Wrap(err, "vm: compress") }()
	opts := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(2 * configfile.MaxFileBytes)}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	enc, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = enc.Close() }()
	return enc.EncodeAll(body, nil), nil
}

// Decompress reverses Compress with the same base. It refuses bodies that are
// larger than a file may be.
func Decompress(frame, base []byte) (body []byte, err error) {
	defer func() { err = eris.Wrap(err, "vm: decompress") }()
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(8 * configfile.MaxFileBytes)}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	dec, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, err
	}
	defer dec.Close()
	body, err = dec.DecodeAll(frame, nil)
	if err == nil && len(body) > configfile.MaxFileBytes {
		return nil, eris.Errorf("body has %d bytes", len(body))
	}
	return body, err
}
