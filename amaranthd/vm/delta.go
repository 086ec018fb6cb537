package vm

import (
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/configfile"
)

// dictionaryID is the Zstandard dictionary ID of a base body in a frame.
const dictionaryID = 1

// Compress encodes body as a Zstandard frame, with base, a body that the receiver
// has, as the dictionary. It uses no dictionary if base is empty.
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

// Decompress reverses Compress with the same base. It returns an error if the
// body is larger than configfile.MaxFileBytes.
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
		return nil, eris.Errorf("decompressed body of %d bytes exceeds the limit", len(body))
	}
	return body, err
}
