package cache

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"magnoliaspoke.example/spoke"
)

const (
	saltDomain  = "spoke-salt-1"
	chainDomain = "spoke-chain-1"
)

type (
	// Salt separates the prefix caches of services, workspaces, adapters and nonces at an engine.
	Salt string

	// Scope is everything besides the text of the prompt that determines a block key.
	Scope struct {
		Service   spoke.ServiceName
		Workspace spoke.WorkspaceID
		Model     spoke.ModelName
		Version   spoke.ModelVersion
		Adapter   spoke.AdapterName
		// Nonce keeps a run from sharing blocks with other runs; it is empty for most runs.
		Nonce string
	}
)

// ScopeOf returns the scope of a run.
func ScopeOf(spec spoke.RunSpec) Scope {
	return Scope{
		Service:   spec.Service,
		Workspace: spec.Workspace,
		Model:     spec.Model,
		Version:   spec.Version,
		Adapter:   spec.Adapter,
		Nonce:     spec.CacheNonce,
	}
}

// Salt returns the digest of service, workspace, adapter and nonce that is sent to the engine with
// each run.
func (s Scope) Salt() Salt {
	digest := sha256.New()
	writeFields(digest, saltDomain, string(s.Service), string(s.Workspace), string(s.Adapter), s.Nonce)
	return Salt(hex.EncodeToString(digest.Sum(nil)))
}

// Keys returns the block keys of a prompt, the shortest prefix first; an incomplete last piece has
// no key.
func (s Scope) Keys(prompt string) []spoke.BlockKey {
	return Chain(s.Salt(), s.Model, s.Version, prompt)
}

// Chain returns the block keys of a prompt as an engine computes them from the salt of a run. Each
// key is the hash of the preceding key and the text of the block.
func Chain(salt Salt, model spoke.ModelName, version spoke.ModelVersion, prompt string) []spoke.BlockKey {
	pieces := len(prompt) / int(spoke.PieceSize)
	if pieces == 0 {
		return nil
	}
	keys := make([]spoke.BlockKey, 0, pieces)
	digest := sha256.New()
	writeFields(digest, chainDomain, string(salt), string(model), string(version))
	var key spoke.BlockKey
	digest.Sum(key[:0])
	for i := range pieces {
		digest.Reset()
		digest.Write(key[:])
		digest.Write([]byte(prompt[i*int(spoke.PieceSize) : (i+1)*int(spoke.PieceSize)]))
		digest.Sum(key[:0])
		keys = append(keys, key)
	}
	return keys
}

// writeFields writes each field after its length, so that different lists of fields have different
// encodings.
func writeFields(digest hash.Hash, fields ...string) {
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		digest.Write(length[:])
		digest.Write([]byte(field))
	}
}
