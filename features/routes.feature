Feature: Routing tables and codes of refusals

  Scenario: Routing tables
    Then a routing table gives each slice its owner and successors back
    And a routing table of 40000 slices stays under a megabyte
    And a damaged routing table is refused

  Scenario: Keys of requests
    Then the key of a request is found where the rule says
    And a request whose key could be read in two ways has none

  Scenario: Codes
    Then the page of codes holds exactly the codes of the list
    And no code stands twice for one outcome
