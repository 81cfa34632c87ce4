// Package wire defines the RPC services and messages of jayloft's processes and of
// the platform. All code in it is generated from jayloft.proto.
//
// # Usage
//
// After a change of the schema, regenerate the code from the root of the
// repository:
//
//	go generate ./wire
//
// The generated files are committed, so that a build needs no generator.
package wire

//go:generate go tool -modfile=../tools/go.mod buf generate --template buf.gen.yaml .
