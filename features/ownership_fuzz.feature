Feature: The ownership policy holds its promises under faults

  Scenario: Fuzzing finds no second owner and no key without an owner
    Then the ownership machine runs its fixed budget without a failure
