Feature: The caller library with running processes

  Scenario: Callers of running processes reach the owner in one hop
    Given a small running fleet for callers
    Then callers of the fleet reach the owner of each key in one hop
    And the fleet sends no table to a caller that has the latest one
    And the fleet names the owner that answered a forwarded request
    And a request that is sent to the fleet again runs once
    And the fleet rejects a request without a key as not run
    And the fleet names the request in each kind of response
