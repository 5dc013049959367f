Feature: Keys map to slices the same way everywhere

  Scenario: Any key has exactly one slice
    Then every key maps to one slice within range

  Scenario: A carved key leaves its base slice and comes back
    Then a carved key maps to its own slice only while it is carved

  Scenario: Removing a candidate keeps the order of the others
    Then rendezvous order is stable under removal
