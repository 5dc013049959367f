Feature: The caller library

  Scenario: Requests go to the owner of their key
    Then the caller sends requests directly to the owner of their key
    And the caller caches the owner that answered a forwarded request
    And the caller replaces its table with a newer one and never with an older one
    And the caller uses its seeds without a table

  Scenario: Only requests that did not run are sent again
    Then the caller retries only requests that did not run
    And the caller reports a broken connection as an unknown outcome
    And the caller treats a response without an outcome as an unknown outcome
    And the caller returns the last outcome by the deadline

  Scenario: Attempts keep their request id, deadline and ticket
    Then all attempts of a call carry one id and a decreasing deadline
    And the caller drops a stale ticket
    And a call that is sent again carries its earlier id and ticket
    And the caller returns the ticket received with an unknown outcome

  Scenario: Retries do not multiply an overload
    Then the caller limits retries under overload to a share of its requests
