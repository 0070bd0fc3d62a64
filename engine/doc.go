// Package engine models an inference engine with continuous batching: it
// prefills prompts and decodes answers in passes, keeps both in a KV cache of
// bounded size, and prefills parts of prompts for other engines. It does no I/O
// and reads no clock, so a stand-in process and an experiment in virtual time
// run the same model.
package engine
