// Package engine models an inference engine that batches continuously: it
// reads prompts and writes answers in passes, holds both in bounded memory, and
// reads parts of prompts for other engines. It does no I/O and reads no clock,
// so that a stand-in process and an experiment in virtual time run the same model.
package engine
