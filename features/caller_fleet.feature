Feature: The caller library with running processes

  Scenario: One hop to the owner over sockets
    Given a small running fleet for callers
    Then callers of the fleet reach the owner of each key in one hop
    And the fleet's routes change nothing for a caller that has them
    And the fleet names the owner of a request that was passed on
    And an order that is sent again in the fleet runs once
    And a request without a key is refused by the fleet as not run
