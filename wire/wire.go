// Package wire holds the messages and services that jayloft's processes
// exchange, generated from jayloft.proto.
//
// # Usage
//
// After a change of the schema, generate the code anew from the root of the
// repository:
//
//	go generate ./wire
//
// The generated files are committed, so that a build needs no generator.
package wire

//go:generate go tool -modfile=../tools/go.mod buf generate --template buf.gen.yaml .
