package model

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// importBlocks pulls blocks in order and stops at the first failure, because the later blocks
// of a chain are useless without the earlier ones.
func (e *Engine) importBlocks(w http.ResponseWriter, r *http.Request) {
	var body importBody
	if !decodeBody(w, r, &body) {
		return
	}
	ctx := r.Context()
	if body.LimitMs > 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(body.LimitMs)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	response := importResponse{Imported: []string{}, Rejected: []string{}}
	for i, wanted := range body.Keys {
		if err := e.pull(ctx, wanted); err != nil {
			for _, rest := range body.Keys[i:] {
				response.Rejected = append(response.Rejected, rest.Key)
			}
			break
		}
		response.Imported = append(response.Imported, wanted.Key)
	}
	e.sample()
	writeJSON(w, http.StatusOK, response)
}

// pull fetches a block and adds it to the cache only if its length, checksum and header match.
func (e *Engine) pull(ctx context.Context, wanted importKey) error {
	key, err := spoke.ParseBlockKey(wanted.Key)
	if err != nil {
		return err
	}
	content, err := e.fetch(ctx, wanted)
	if err != nil {
		return err
	}
	if spoke.ByteSize(len(content)) != wanted.Length || checksumOf(content) != wanted.Checksum {
		return eris.Errorf("block %s has %d bytes, want %d, or its checksum does not match", key, len(content), wanted.Length)
	}
	header, err := decodeContent(content)
	if err != nil {
		return err
	}
	if header.Key != wanted.Key {
		return eris.Errorf("block %s has the content of block %s", key, header.Key)
	}
	e.cache.add([]spoke.BlockKey{key}, block{model: header.Model, version: header.Version, salt: header.Salt})
	e.count(func(c *countersBody) { c.TokensImported += spoke.PieceTokens })
	return nil
}

func (e *Engine) fetch(ctx context.Context, wanted importKey) ([]byte, error) {
	address := blockAddress(wanted.Store, wanted.Key) + "?generation=" + strconv.FormatUint(uint64(wanted.Generation), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, eris.Wrapf(err, "store address %q", wanted.Store)
	}
	response, err := e.settings.client.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "fetch block %s", wanted.Key)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("store %s answered %d for block %s", wanted.Store, response.StatusCode, wanted.Key)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, int64(wanted.Length)+1))
	return content, eris.Wrapf(err, "fetch block %s", wanted.Key)
}

func (e *Engine) exportBlocks(w http.ResponseWriter, r *http.Request) {
	var body exportBody
	if !decodeBody(w, r, &body) {
		return
	}
	response := exportResponse{Exported: []string{}, Failed: []string{}}
	for _, wanted := range body.Keys {
		if err := e.push(r.Context(), wanted); err != nil {
			response.Failed = append(response.Failed, wanted.Key)
			continue
		}
		response.Exported = append(response.Exported, wanted.Key)
	}
	writeJSON(w, http.StatusOK, response)
}

func (e *Engine) push(ctx context.Context, wanted exportKey) error {
	key, err := spoke.ParseBlockKey(wanted.Key)
	if err != nil {
		return err
	}
	resident, ok := e.cache.get(key)
	if !ok {
		return eris.Errorf("block %s is not resident", key)
	}
	content := encodeContent(key, resident, e.settings.blockSize)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut,
		blockAddress(wanted.Store, wanted.Key), bytes.NewReader(content))
	if err != nil {
		return eris.Wrapf(err, "store address %q", wanted.Store)
	}
	request.Header.Set("X-Checksum", string(checksumOf(content)))
	response, err := e.settings.client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "push block %s", key)
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("store %s answered %d for block %s", wanted.Store, response.StatusCode, key)
	}
	return nil
}

func blockAddress(store spoke.Address, key string) string {
	return "http://" + string(store) + "/blocks/" + key
}

func checksumOf(content []byte) spoke.Checksum {
	sum := sha256.Sum256(content)
	return spoke.Checksum(hex.EncodeToString(sum[:]))
}
