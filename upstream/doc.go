// Package upstream sends requests to backend servers over reused HTTP/1.1
// connections. If a request got no response, the error states whether the
// server can have run it. Unlike http.Transport, it never retries a request by
// itself, and it skips late responses to earlier requests.
package upstream
