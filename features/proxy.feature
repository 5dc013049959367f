Feature: HTTP towards callers and upstreams

  Scenario: Exchanges over kept connections
    Then the proxy answers requests over one kept connection
    And the proxy streams large bodies both ways
    And the proxy strips the headers of single connections both ways

  Scenario: Requests however they come in
    Then the proxy answers pipelined requests in order however they are split
    And the proxy answers an HTTP/1.0 request and closes

  Scenario: Requests that two parsers could read differently
    Then the proxy refuses each smuggling shape without running it
    And the proxy refuses a broken chunk within a body

  Scenario: Limits towards callers
    Then the proxy refuses heads and bodies over their limits
    And the proxy refuses connections over the limit of an address
    And the proxy refuses slow senders
    And the proxy cuts a caller that does not read
    And the proxy holds few bytes for a caller that does not read

  Scenario: Callers that leave
    Then the proxy cancels the handler when its caller disconnects
    And the proxy closes a body that nobody reads any more

  Scenario: Bodies that wait to be wanted
    Then the proxy lets the body come only when the handler wants it
    And the proxy forwards the upstream's refusal before the body

  Scenario: Graceful shutdown
    Then the proxy finishes running requests when it drains
    And the proxy answers requests that were on their way when it drains
    And the proxy answers requests that come in any turn of the loop as it drains

  Scenario: Failures of upstreams
    Then the pool tells refused connections from broken ones
    And the pool tells a broken response from a broken request
    And the pool refuses responses that could be read differently
    And the pool passes on the failure of a request's body
    And the pool ends exchanges in time

  Scenario: Connections that are shared
    Then the pool replaces a kept connection that was closed
    And the pool never retries after the first byte
    And the pool passes over a kept connection that has rested for too long
    And the pool drops a connection that got bytes unasked
    And the pool keeps to its number of connections
    And the pool never crosses answers
