Feature: The ownership policy stays safe and live under faults

  Scenario: Fuzzing finds no key with two owners and none without an owner after recovery
    Then the ownership machine runs its fixed budget without a failure
