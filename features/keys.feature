Feature: Keys map to the same slices in every process

  Scenario: Any key has exactly one slice
    Then every key maps to one slice within range

  Scenario: A key moves to its carved slice and back
    Then a carved key maps to its own slice only while it is carved

  Scenario: Removing a candidate keeps the order of the others
    Then rendezvous order is stable under removal
