// Package jsonc reads JSON with comments value by value and collects every
// problem with its line and field, so that all problems of a text can be
// reported at once.
package jsonc
