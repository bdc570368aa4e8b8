package revision

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"

	"acaciapath.example/core/config"

	"github.com/ansel1/merry/v2"
)

// MaxBytes bounds the size of the files of a revision, in their stored form before
// compression.
const MaxBytes = 64 << 20

// Bundle is the stored form of the files of a revision. The same files always
// have the same SHA256.
type Bundle struct {
	// SHA256 is the hash of the files before compression, in hexadecimal.
	SHA256 string
	// Size is the size of the files before compression, in bytes.
	Size int
	// Data is the compressed content.
	Data []byte
}

// bundledFile is one file in the stored form.
type bundledFile struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Pack returns the stored form of files. Their order does not matter. It returns
// ErrTooLarge if they are larger than MaxBytes.
func Pack(files []config.File) (Bundle, error) {
	bundled := make([]bundledFile, len(files))
	for i, f := range files {
		bundled[i] = bundledFile(f)
	}
	slices.SortFunc(bundled, func(a, b bundledFile) int { return cmp.Compare(a.Name, b.Name) })
	plain, err := json.Marshal(bundled)
	if err != nil {
		return Bundle{}, merry.Prepend(err, "revision: pack")
	}
	if len(plain) > MaxBytes {
		return Bundle{}, merry.Wrap(ErrTooLarge, merry.WithValue("bytes", len(plain)))
	}
	var data bytes.Buffer
	compressor := gzip.NewWriter(&data)
	if _, err := compressor.Write(plain); err != nil {
		return Bundle{}, merry.Prepend(err, "revision: pack")
	}
	if err := compressor.Close(); err != nil {
		return Bundle{}, merry.Prepend(err, "revision: pack")
	}
	return Bundle{SHA256: hash(plain), Size: len(plain), Data: data.Bytes()}, nil
}

// Unpack returns the files of a stored form, sorted by name. It returns ErrCorrupt
// if data was not made by Pack, and ErrTooLarge if the files are larger than
// MaxBytes.
func Unpack(data []byte) ([]config.File, error) {
	plain, err := decompress(data)
	if err != nil {
		return nil, err
	}
	var bundled []bundledFile
	if err := json.Unmarshal(plain, &bundled); err != nil {
		return nil, corrupt(err)
	}
	files := make([]config.File, len(bundled))
	for i, f := range bundled {
		files[i] = config.File(f)
	}
	return files, nil
}

// verify returns an error unless data is a stored form whose content has the given
// hash. The error is ErrCorrupt or ErrTooLarge.
func verify(data []byte, sha256 string) error {
	plain, err := decompress(data)
	if err != nil {
		return err
	}
	if hash(plain) != sha256 {
		return merry.Wrap(ErrCorrupt, merry.AppendMessage("hash does not match"))
	}
	return nil
}

func decompress(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, corrupt(err)
	}
	plain, err := io.ReadAll(io.LimitReader(reader, MaxBytes+1))
	if err != nil {
		return nil, corrupt(err)
	}
	if len(plain) > MaxBytes {
		return nil, ErrTooLarge
	}
	return plain, nil
}

func hash(plain []byte) string {
	sum := sha256.Sum256(plain)
	return hex.EncodeToString(sum[:])
}
