Feature: A configuration of thousands of routes is put in force without a stall

  Each process decodes each version in its event loop, in which requests wait meanwhile.

  Scenario: Only the entries that a version changes are decoded
    Given the decoded configuration of 1000 routes
    When a version adds a route, drops one and changes the time of another
    Then the routes that it leaves as they are have not been decoded again
    And it is the same as if it were the first one

  Scenario: A version with a malformed entry leaves the next one intact
    Given the decoded configuration of 1000 routes
    When a version has a malformed entry
    Then the malformed version is rejected
    And the next version without that entry is decoded

  Scenario: The route of a request is the one with the longest prefix of its path
    Then for all sets of routes, the index finds the longest prefix, or none

  Scenario: A request costs as many steps as the prefixes have lengths
    Given the decoded configuration of 1000 routes
    Then an index of 1000 routes takes at most 4 steps for a request
