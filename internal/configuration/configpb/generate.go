package configpb

// Needs protoc 3.21 (Debian's protobuf-compiler) and protoc-gen-go of the version in go.mod on the PATH.
//go:generate protoc -I ../../.. --go_out=../../.. --go_opt=module=starlingvalve internal/configuration/configpb/configuration.proto internal/configuration/configpb/watch.proto
