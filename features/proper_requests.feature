Feature: Proper requests are not turned away as if they were wrong

  A process that knows no configuration yet can't tell whether a request is within the
  operators' limits.

  Scenario Outline: A process without a configuration gets a request with <size>
    Given a process without a configuration
    When a caller sends a request with <size>
    Then it is told within 1 seconds that it did not run, and when to come back

    Examples:
      | size              |
      | a body of 2 MB    |
      | a body of 20 MB   |
      | a head of 40 kB   |
