Feature: HTTP towards callers and upstreams

  Scenario: Exchanges over kept connections
    Then the proxy answers requests over one kept connection
    And the proxy streams large bodies both ways
    And the proxy cancels the handler when its caller disconnects
