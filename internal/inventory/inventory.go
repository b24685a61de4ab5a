// Package inventory parses published values: it checks each file against the schema, merges
// the files and checks the references between them. An inventory is accepted as a whole or
// rejected.
package inventory

import (
	"crypto/sha256"
	"os"
	"path/filepath"
	"sort"

	"basilrudder/internal/schema/inventory"
	"basilrudder/schema"
)

const (
	schemaRef      = "inventory.json"
	rulesSchemaRef = "inventory.json#/$defs/Rules"
	fileSuffix     = ".toml"
	// wholeInventory is the file name of problems that belong to no single file.
	wholeInventory = "inventory"
)

// Problem is one error in an inventory.
type Problem = schema.Problem

// Problems lists all errors in an inventory; it is an error if it is not empty.
type Problems = schema.Problems

// File is one published value.
type File struct {
	// Name is the key of the value or the name of the file.
	Name string
	// Data is the TOML text.
	Data []byte
}

// Parse checks and merges files. It returns either the inventory or all problems found.
func Parse(files []File) (*inventory.Inventory, Problems) {
	return new(Parser).Parse(files)
}

// LoadDir parses all TOML files of a directory in the order of their names.
func LoadDir(dir string) (*inventory.Inventory, Problems) {
	files, problems := readDir(dir)
	if len(problems) > 0 {
		return nil, problems
	}
	return Parse(files)
}

func readDir(dir string) ([]File, Problems) {
	names, err := filepath.Glob(filepath.Join(dir, "*"+fileSuffix))
	if err != nil || len(names) == 0 {
		return nil, Problems{{File: dir, Expected: "a directory with files ending in " + fileSuffix}}
	}
	sort.Strings(names)
	files := make([]File, 0, len(names))
	var problems Problems
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			problems = append(problems, Problem{File: filepath.Base(name), Expected: "a readable file: " + err.Error()})
			continue
		}
		files = append(files, File{Name: filepath.Base(name), Data: data})
	}
	return files, problems
}

// Parser parses successive revisions. It caches the decoded files of the last one, so that
// only changed files are decoded again. It is not safe for concurrent use.
type Parser struct {
	cache map[cacheKey]*decodedFile
}

type cacheKey struct {
	name   string
	digest [sha256.Size]byte
}

// decodedFile is a file after the check against the schema. It is immutable.
type decodedFile struct {
	file     string
	content  *inventory.Inventory
	problems Problems
}

// Parse is like the function Parse, but does not decode unchanged files again.
func (p *Parser) Parse(files []File) (*inventory.Inventory, Problems) {
	parts := p.decodeAll(files)
	var problems Problems
	for _, part := range parts {
		problems = append(problems, part.problems...)
	}
	// Checks across files would report items as missing that are in an invalid file.
	if len(problems) > 0 {
		problems.Sort()
		return nil, problems
	}
	merged, problems := merge(parts)
	problems = append(problems, check(parts, merged)...)
	if len(problems) > 0 {
		problems.Sort()
		return nil, problems
	}
	return merged, nil
}

func (p *Parser) decodeAll(files []File) []*decodedFile {
	newCache := make(map[cacheKey]*decodedFile, len(files))
	parts := make([]*decodedFile, 0, len(files))
	for _, file := range files {
		key := cacheKey{name: file.Name, digest: sha256.Sum256(file.Data)}
		part := p.cache[key]
		if part == nil {
			part = decode(file)
		}
		newCache[key] = part
		parts = append(parts, part)
	}
	p.cache = newCache
	return parts
}

func decode(file File) *decodedFile {
	part := &decodedFile{file: file.Name, content: &inventory.Inventory{}}
	part.problems = schema.Decode(schemaRef, file.Name, file.Data, part.content)
	return part
}

// merge concatenates the lists of the files in order. At most one file may contain rules;
// without any, the defaults apply.
func merge(parts []*decodedFile) (*inventory.Inventory, Problems) {
	out := &inventory.Inventory{}
	var problems Problems
	for _, part := range parts {
		in := part.content
		out.DataCentres = append(out.DataCentres, in.DataCentres...)
		out.Models = append(out.Models, in.Models...)
		out.Servers = append(out.Servers, in.Servers...)
		out.Classes = append(out.Classes, in.Classes...)
		out.Customers = append(out.Customers, in.Customers...)
		out.Tiers = append(out.Tiers, in.Tiers...)
		out.PeerKeys = append(out.PeerKeys, in.PeerKeys...)
		if in.Rules == nil {
			continue
		}
		if out.Rules != nil {
			problems = append(problems, Problem{File: part.file, Key: "rules", Expected: "rules in one file only"})
			continue
		}
		out.Rules = in.Rules
	}
	if out.Rules == nil {
		out.Rules = &inventory.Rules{}
		problems = append(problems, schema.Decode(rulesSchemaRef, wholeInventory, nil, out.Rules)...)
	}
	return out, problems
}
