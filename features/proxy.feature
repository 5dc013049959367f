Feature: HTTP connections with callers and upstreams

  Scenario: Requests and responses pass completely over reused connections
    Then the proxy answers several requests over one connection
    And the proxy streams large bodies in both directions
    And the proxy strips hop-by-hop headers in both directions

  Scenario: Pipelined and HTTP/1.0 requests are answered in order
    Then the proxy answers pipelined requests in order however their bytes are split
    And the proxy answers an HTTP/1.0 request and closes the connection

  Scenario: Ambiguous requests are rejected to prevent request smuggling
    Then the proxy rejects each form of request smuggling without calling the handler
    And the proxy rejects a malformed chunk in a body

  Scenario: Callers cannot exceed the limits of memory, time and connections
    Then the proxy rejects heads and bodies over their limits
    And the proxy rejects connections over the limit of an address
    And the proxy rejects requests that are sent too slowly
    And the proxy aborts the connection of a caller that does not read
    And the proxy buffers few bytes for a caller that does not read

  Scenario: Work for a caller ends when the caller disconnects
    Then the proxy cancels the handler when its caller disconnects
    And the proxy closes a response body when its caller disconnects

  Scenario: A request body is sent only if it is read
    Then the proxy sends a 100 response only when the handler reads the body
    And the proxy forwards the upstream's rejection without sending the body

  Scenario: Graceful shutdown loses no request
    Then the proxy finishes running requests when it drains
    And the proxy answers requests that are in transit when it drains
    And the proxy answers requests that arrive in any event loop turn of a drain

  Scenario: Failures of upstreams are reported by the right error
    Then the pool distinguishes refused connections from failed sends
    And the pool reports an incomplete or malformed response as broken
    And the pool rejects ambiguous responses
    And the pool raises the error of a failed request body
    And the pool ends exchanges at their deadline

  Scenario: Reused connections never lose, repeat or mix up requests
    Then the pool replaces an idle connection that was closed
    And the pool never retries after the first byte was sent
    And the pool does not reuse a connection that was idle for too long
    And the pool closes a connection that received unsolicited bytes
    And the pool never exceeds its limit of connections
    And the pool never returns the response to another request
