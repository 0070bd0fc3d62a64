// Package backend decides which backend server gets each attempt and speaks
// to the servers over HTTP.
//
// A backend server is a model engine or a plain service. For each server, one
// entry is the keeper: its Allocator alone grants the server's slots, from
// the load reports that the server sends and from the grants that it has
// made. An entry that has a request to serve sends a SlotRequest to a keeper,
// sends the attempt to the server of the granted slot through a Client, and
// releases the slot with the attempt's outcome.
//
// A server that has just started is cold and may take little load; its limit
// rises in steps to the warm capacity as it completes answers. Prompts that
// are too large for one server are split among a group of servers, which
// reserves its memory under a lease.
package backend
