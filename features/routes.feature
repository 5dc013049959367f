Feature: Routing tables, request keys and error codes

  Scenario: A routing table is encoded losslessly, stays small and is validated
    Then a decoded routing table has the owner and successors of each slice
    And a routing table of 40000 slices stays under a megabyte
    And a damaged routing table is rejected

  Scenario: A key is read only where it is unambiguous
    Then the key of a request is read from the place that the rule names
    And a request with an ambiguous key has none

  Scenario: The documented codes match the list, which has no duplicates
    Then the page of codes contains exactly the listed codes
    And no code is listed twice for one outcome
